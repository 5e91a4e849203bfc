package announce

import (
	"bytes"
	"testing"
)

// Guards against an announcement that crashes the node, or that is accepted
// although a required field is missing or invalid.
func FuzzParseAnnouncement(f *testing.F) {
	f.Add("t1", []byte(`{"service":"orderdesk","version":"tray-1","address":"127.0.0.1:9000","slots":12,"connections":130}`))
	f.Add("", []byte(`{"slots":-1}`))
	f.Fuzz(func(t *testing.T, id string, body []byte) {
		target, findings := parseAnnouncement(id, bytes.NewReader(body))
		if len(findings) == 0 && (target.ID == "" || target.Service == "" || target.Version == "" || target.Address == "" || target.Slots < 1 || target.Connections < 1) {
			t.Fatalf("accepted without a finding: %+v", target)
		}
	})
}
