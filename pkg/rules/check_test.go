package rules

import (
	"testing"
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/mesh"
)

// Guards against accepting a file that cannot be put in force, and against a
// finding that blocks a harmless edit.
func TestValidate(t *testing.T) {
	now := time.Date(2026, 12, 5, 6, 0, 0, 500, time.UTC)
	hasTargets := func(v mesh.ServiceVersion) bool { return v.Version != "gone" }
	isVetoed := func(_ mesh.ServiceName, v mesh.TargetVersion, attempt int) bool { return v == "bad" && attempt <= 2 }
	for _, tc := range []struct{ name, previous, text, want string }{
		{"too soon", "", "route GET /a to s v2 from v1 by 2026-12-05T06:00:30Z # N:", "f:1:33: route GET /a: move cannot be complete by 2026-12-05T06:00:30Z (the earliest possible time is 2026-12-05T06:00:31Z"},
		{"in time", "", "route GET /a to s v2 from v1 by 2026-12-05T06:00:31Z # N:", ""},
		{"old move kept", "route GET /a to s v2 from v1 by 2026-12-05T05:00:00Z # N:", "route GET /a to s v2 from v1 by 2026-12-05T05:00:00Z timeout 1s # N:", ""},
		{"old move, old version gone", "route GET /a to s v2 from gone by 2026-12-05T05:00:00Z # N:", "route GET /a to s v2 from gone by 2026-12-05T05:00:00Z # N:", ""},
		{"watched move, old version gone", "route GET /a to s v2 from gone by 2026-12-05T05:51:00Z # N:", "route GET /a to s v2 from gone by 2026-12-05T05:51:00Z # N:", "f:1:27: route GET /a: old version gone"},
		{"time moved back", "route GET /a to s v2 from v1 by 2026-12-05T07:00:00Z # N:", "route GET /a to s v2 from v1 by 2026-12-05T05:00:00Z # N:", "f:1:33: route GET /a: move cannot"},
		{"unknown version", "", "route GET /a to s gone # N:", "f:1:19: route GET /a: no target of s version gone"},
		{"unknown versions", "", "route GET /a to s gone from gone2 by 2026-12-06T05:00:00Z # N:\nroute GET b to s v # N:", "f:1:19|f:2:11"},
		{"no targets for a while", "route GET /a to s gone # N:", "route GET /a to s gone timeout 1s # N:", ""},
		{"rolled back", "", "route GET /a to s bad from v1 by 2026-12-06T05:00:00Z attempt 2 # N:", "f:1:63: route GET /a: version bad of s was rolled back at attempt 2"},
		{"rolled back, default attempt", "", "route GET /a to s bad from v1 by 2026-12-06T05:00:00Z # N:", "f:1:19: route GET /a: version bad"},
		{"attempt raised", "", "route GET /a to s bad from v1 by 2026-12-06T05:00:00Z attempt 3 # N:", ""},
		{"rolled back move kept", "route GET /a to s bad from v1 by 2026-12-06T05:00:00Z # N:", "route GET /a to s bad from v1 by 2026-12-06T05:00:00Z # N:", ""},
		{"rolled back move given another time", "route GET /a to s bad from v1 by 2026-12-06T05:00:00Z # N:", "route GET /a to s bad from v1 by 2026-12-06T06:00:00Z # N:", "was rolled back at attempt 1"},
		{"complete move given another time", "route GET /a to s v2 from v1 by 2026-12-05T05:00:00Z # N:", "route GET /a to s v2 from v1 by 2026-12-06T06:00:00Z # N:", "f:1:33: route GET /a: move was complete at 2026-12-05T05:00:00Z"},
		{"complete move started again", "route GET /a to s v2 from v1 by 2026-12-05T05:00:00Z # N:", "route GET /a to s v2 from v1 by 2026-12-06T06:00:00Z attempt 2 # N:", "move starts from v1, but v2 serves"},
		{"running move started again", "route GET /a to s v2 from v1 by 2026-12-05T07:00:00Z # N:", "route GET /a to s v2 from v1 by 2026-12-06T06:00:00Z attempt 2 # N:", ""},
		{"methods of several rules", "route GET /a to s v2 # N:\nroute POST / to s v1 # N:", "route GET,POST /a to s v2 # N:", "switches all requests from v1 to v2"},
		{"rolled back without a move", "", "route GET /a to s bad # N:", "f:1:19: route GET /a: version bad of s was rolled back"},
		{"serves by a move that is over", "route GET /a to s bad from v1 by 2026-12-05T05:00:00Z attempt 3 # N:", "route GET /a to s bad # N:", ""},
		{"full switch", "route GET /a to s v1 # N:", "route GET /a to s v2 # N:", "f:1:19: route GET /a: switches all requests from v1 to v2 at once (write to s v2 from v1 by TIME)"},
		{"full switch of one method", "route GET,POST /a to s v1 # N:", "route POST /a to s v2 # N:", "switches all"},
		{"full switch below a prefix", "route * /a to s v1 # N:", "route POST /a/b to s v2 # N:", "switches all"},
		{"another service", "route GET /a to s v1 # N:", "route GET /a to t v2 # N:", ""},
		{"new route", "route GET /a to s v1 # N:", "route GET /ab to s v2 # N:", ""},
		{"move is over", "route GET /a to s v2 from v1 by 2026-12-05T05:00:00Z # N:", "route GET /a to s v2 # N:", ""},
		{"move is not over", "route GET /a to s v2 from v1 by 2026-12-05T07:00:00Z # N:", "route GET /a to s v2 # N:", "keep from v1 by 2026-12-05T07:00:00Z until the move is over"},
		{"withdrawn", "route GET /a to s v2 from v1 by 2026-12-05T07:00:00Z # N:", "route GET /a to s v1 # N:", ""},
		{"withdrawn after its time", "route GET /a to s v2 from v1 by 2026-12-05T05:00:00Z # N:", "route GET /a to s v1 # N:", ""},
		{"from a version that does not serve", "route GET /a to s v1 # N:", "route GET /a to s v3 from v2 by 2026-12-05T07:00:00Z # N:", "f:1:27: route GET /a: move starts from v2, but v1 serves the route"},
		{"next move", "route GET /a to s v2 from v1 by 2026-12-05T05:00:00Z # N:", "route GET /a to s v3 from v2 by 2026-12-05T07:00:00Z # N:", ""},
		{"unknown share", "", "route GET /a to s v1 weight 1 and s gone weight 2 # N:", "f:1:37: route GET /a: no target of s version gone"},
		{"rolled back share", "", "route GET /a to s v1 weight 1 and s bad weight 2 # N:", "f:1:37: route GET /a: version bad of s was rolled back"},
		{"share of a version that did not serve", "route GET /a to s v1 # N:", "route GET /a to s v1 weight 9 and s v2 weight 1 # N:", "f:1:37: route GET /a: sends calls to s@v2 at once"},
		{"share of another service", "route GET /a to s v1 # N:", "route GET /a to s v1 weight 9 and t v2 weight 1 # N:", ""},
		{"other weights", "route GET /a to s v1 weight 9 and s v2 weight 1 # N:", "route GET /a to s v1 weight 1 and s v2 weight 9 # N:", ""},
		{"one share is left", "route GET /a to s v1 weight 9 and s v2 weight 1 # N:", "route GET /a to s v2 # N:", ""},
		{"move from a share", "route GET /a to s v1 weight 9 and s v2 weight 1 # N:", "route GET /a to s v3 from v2 by 2026-12-05T07:00:00Z # N:", ""},
		{"move from no share", "route GET /a to s v1 weight 9 and s v2 weight 1 # N:", "route GET /a to s v3 from v4 by 2026-12-05T07:00:00Z # N:", "sends calls to s@v4 at once"},
		{"full switch for a host", "route GET /a to s v1 # N:", "route GET m.example/a to s v2 # N:", "f:1:28: route GET m.example/a: switches all"},
		{"next move after a rollback", "route GET /a to s bad from v1 by 2026-12-05T05:00:00Z # N:", "route GET /a to s v3 from bad by 2026-12-05T07:00:00Z # N:", "move starts from bad, but v1 serves"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			previous, findings := Parse("f", []byte(tc.previous))
			if len(findings) > 0 {
				t.Fatal(findings)
			}
			_, findings = Validate("f", []byte(tc.text), CheckOptions{Now: now, HasTargets: hasTargets, IsVetoed: isVetoed, Previous: previous.Rules})
			wantFindings(t, findings.Error(), len(findings), tc.want)
		})
	}
}
