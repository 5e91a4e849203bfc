package rules

import (
	"errors"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"nutmeghoist.example/nutmeghoist/pkg/mesh"
)

const sample = `# tray menus
route GET      /menus   to orderdesk tray-2 from tray-1 by 2026-12-05T06:00:00Z           # Oyuna: new tray menu

route POST     /orders  to orderdesk tray-1 class urgent timeout 3s                       # Oyuna: orders first
route GET,POST /pantry  to galley g-7 class background                                    # Bat-Erdene: tallies may wait
`

// Guards against wrong line and column numbers and against findings that hide
// others.
func TestParseFindings(t *testing.T) {
	const ok = "route GET /a to s v # N: r"
	for _, tc := range []struct{ name, text, want string }{
		{"accepted", sample, ""},
		{"CRLF", strings.ReplaceAll(sample, "\n", "\r\n"), ""},
		{"no comment", "route GET /a to s v", `f:1:20: rule has no trailing comment`},
		{"no colon", "route GET /a to s v # N", `f:1:21: comment has no colon`},
		{"no name", "route GET /a to s v # : r", `f:1:21: comment has no name`},
		{"empty reason", "route GET /a to s v # N:", ""},
		{"wrong first word", "rout GET /a to s v # N: r", `f:1:1: expected "route", found "rout"`},
		{"forgotten version", "route GET /a to s from v by 2026-12-05T06:00:00Z # N: r", `f:1:19: expected VERSION, found the keyword "from"`},
		{"incomplete line", "route GET /a # N: r", `f:1:13: line ends where "to" is expected`},
		{"method", "route get,GET,GET /a to s v # N: r", "f:1:7: \"get\" is not a method (write GET)|f:1:15: method GET is repeated"},
		{"star in a list", "route *,GET /a to s v # N: r", `f:1:7: "*" is not a method`},
		{"prefix", "route GET a to s v # N: r", `f:1:11: prefix "a" does not start with a slash (write /a)`},
		{"trailing slash", "route GET /a/ to s v # N: r", `ends with a slash`},
		{"dot segment", "route GET /a/../b to s v # N: r", `dot segment`},
		{"escape", "route GET /a%2fb to s v # N: r", `decoded path`},
		{"name", "route GET /a to s/ v # N: r", `f:1:17: "s/" is not a name`},
		{"to itself", "route GET /a to s v from v by 2026-12-05T06:00:00Z # N: r", `f:1:26: move from v to itself`},
		{"no zone", "route GET /a to s v from w by 2026-12-05T06:00:00 # N: r", `f:1:31: time "2026-12-05T06:00:00" has no zone`},
		{"no time", "route GET /a to s v from w by soon # N: r", `f:1:31: "soon" is not an RFC 3339 time`},
		{"attempt", "route GET /a to s v from w by 2026-12-05T06:00:00Z attempt 0 # N: r", `f:1:60: attempt "0"`},
		{"by without from", "route GET /a to s v by 2026-12-05T06:00:00Z # N: r", `f:1:21: "by" without a move`},
		{"order", "route GET /a to s v timeout 1s class urgent # N: r", `f:1:32: "class" is repeated or out of order`},
		{"several values", "route GET /a to s v class x timeout 1h idempotent maybe # N", `"x" is not a class|timeout 1h is out of range (write a duration from 10ms to 1m0s)|neither yes nor no|no colon`},
		{"unknown word", "route GET /a to s v share 3 # N: r", `f:1:21: unexpected word "share" (expected one of from, weight, class`},
		{"host", "route GET m.example/a to s v # N: r\nroute GET /a to s v # N: r", ""},
		{"host in capitals", "route GET M.example/a to s v # N: r", `f:1:11: host "M.example" is not in lower case (write m.example)`},
		{"host with a port", "route GET m:80/a to s v # N: r", `f:1:11: "m:80" is not a host`},
		{"prefix below a host", "route GET m.example/a/ to s v # N: r", `f:1:20: prefix "/a/" ends with a slash`},
		{"same host twice", "route GET m.example/a to s v # N: r\nroute GET m.example/a to s w # N: r", `line 1 already matches GET m.example/a`},
		{"weights", "route GET /a to s v weight 90 and t w weight 10 priority 3 timeout 1s latency 250ms retries 0 # N: r", ""},
		{"one weight", "route GET /a to s v weight 90 # N: r", `f:1:28: a single version needs no weight`},
		{"weight of a move", "route GET /a to s v from w by 2026-12-05T06:00:00Z weight 1 and s u weight 1 # N: r", `f:1:52: a move has no weights`},
		{"no weight", "route GET /a to s v weight 1 and s u # N: r", `line ends where "weight" is expected`},
		{"weight out of range", "route GET /a to s v weight 0 and s u weight 1001 # N: r", `f:1:28: weight "0" is not|f:1:45: weight "1001" is not`},
		{"same version twice", "route GET /a to s v weight 1 and s v weight 1 # N: r", `f:1:34: s@v is repeated`},
		{"priority", "route GET /a to s v priority 10 # N: r", `f:1:30: priority "10" is not a whole number in range`},
		{"class and priority", "route GET /a to s v class normal priority 2 # N: r", `f:1:43: a rule has a class or a priority`},
		{"latency", "route GET /a to s v latency soon # N: r", `f:1:29: latency "soon"`},
		{"latency above the timeout", "route GET /a to s v timeout 1s latency 1s # N: r", `latency 1s is not below the timeout 1s`},
		{"retries", "route GET /a to s v retries 3 # N: r", `f:1:29: retries "3" is not`},
		{"service", ok + "\nservice s connections 40 health /ok # N: r", ""},
		{"service without limits", ok + "\nservice s # N: r", `f:2:10: service has neither`},
		{"service twice", ok + "\nservice s connections 4 # N: r\nservice s health /h # N: r", `f:3:1: service s: line 2 describes it already`},
		{"service without a route", ok + "\nservice t connections 4 # N: r", `f:2:1: service t: no route leads to it`},
		{"service without a comment", ok + "\nservice s connections 4", `f:2:24: rule has no trailing comment`},
		{"options of a service", ok + "\nservice s health h connections x # N: r", `f:2:18: health path "h" is not a plain path|"connections" is repeated or out of order`},
		{"timeout of a service", ok + "\nservice s timeout 1s # N: r", `f:2:11: unexpected word "timeout" (expected one of connections, health`},
		{"duplicate", ok + "\nroute POST,GET /a to t v # N: r", `f:2:1: route GET,POST /a: line 1 already matches GET /a`},
		{"star overlaps", ok + "\nroute * /a to t v # N: r", `line 1 already matches GET /a`},
		{"other method", ok + "\nroute POST /a to t v # N: r", ""},
		{"tab", "route\tGET\t/a to s v # N: r", "f:1:6: tab character (separate words with spaces)"},
		{"no-break space", "route GET\u00a0/a to s v # N: r", "f:1:10: character U+00A0"},
		{"invisible character", "route GET /a to s v\u200b # N: r", "f:1:20: character U+200B|not a name"},
		{"control character", "route GET /a to s v # N: \x1b[2J", "f:1:26: character U+001B"},
		{"byte order mark", "\ufeff" + ok, "f:1:1: file starts with a byte order mark"},
		{"invalid UTF-8", ok + "\n# \xff\nroute GET /b to s v # N: \xfe", "f:2:3: byte 0xff is not valid UTF-8|f:3:26: byte 0xfe"},
		{"long line", ok + strings.Repeat("r", MaxLineSize), "f:1:4097: line has 4122 bytes"},
		{"large file", strings.Repeat("\n", MaxFileSize+1), "f: file has 1048577 bytes"},
		{"two lines", "route GET a to s v # N: r\nroute GET b to s v # N: r", "f:1:11|f:2:11"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			file, findings := Parse("f", []byte(tc.text))
			wantFindings(t, findings.Error(), len(findings), tc.want)
			if tc.want == "" && len(file.Rules) == 0 {
				t.Fatal("no rules")
			}
		})
	}
}

// wantFindings checks that there are as many findings as parts of want, which are
// separated by "|", and that each finding contains its part.
func wantFindings(t *testing.T, got string, count int, want string) {
	t.Helper()
	parts := strings.Split(want, "|")
	if want == "" {
		parts = nil
	}
	if count != len(parts) {
		t.Fatalf("got %d findings, want %d:\n%s", count, len(parts), got)
	}
	for i, line := range strings.Split(got, "\n") {
		if len(parts) > 0 && !strings.Contains(line, parts[i]) {
			t.Errorf("finding %d is %q, want %q", i, line, parts[i])
		}
	}
}

// Guards against rejecting a file with MaxRules rules, and against parsing a file
// with more rules to its end.
func TestParseRuleLimit(t *testing.T) {
	var b strings.Builder
	for i := range MaxRules {
		fmt.Fprintf(&b, "route GET /a/%d to s v # N:\n", i)
	}
	file, findings := Parse("f", []byte(b.String()))
	if len(file.Rules) != MaxRules || len(findings) != 0 {
		t.Fatalf("got %d rules and %d findings at the limit", len(file.Rules), len(findings))
	}
	b.WriteString("route GET /b to s v # N:\nnonsense\n")
	if _, findings = Parse("f", []byte(b.String())); len(findings) != 1 || findings[0].Line != MaxRules+1 {
		t.Fatalf("above the limit: got %v", findings)
	}
}

// Guards against findings that exceed a node's memory, and against accepting
// invalid rules once the limit of findings is reached.
func TestParseBoundsFindings(t *testing.T) {
	file, findings := Parse("f", []byte(strings.Repeat("#\xff\n", MaxFindings+5)+"route GET a to s v # N:\n"))
	rs := file.Rules
	if len(rs) != 0 || len(findings) != MaxFindings+1 || !strings.Contains(findings[MaxFindings].Message, "6 further findings") {
		t.Fatalf("got %d rules, %d findings, last %v", len(rs), len(findings), findings[len(findings)-1])
	}
}

func TestParseDefaults(t *testing.T) {
	file, _ := Parse("f", []byte(sample))
	rs := file.Rules
	want := Rule{
		Line: 2, Methods: []string{"GET"}, Prefix: "/menus", Service: "orderdesk", Version: "tray-2",
		From: "tray-1", By: time.Date(2026, 12, 5, 6, 0, 0, 0, time.UTC), Attempt: 1,
		Class: mesh.ClassNormal, Timeout: 2 * time.Second, Author: "Oyuna", Reason: "new tray menu",
	}
	if len(rs) != 3 || !reflect.DeepEqual(rs[0], want) {
		t.Fatalf("got %+v", rs)
	}
}

func genName() *rapid.Generator[string] {
	return rapid.StringMatching(`[a-z0-9][A-Za-z0-9._-]{0,10}`).Filter(func(s string) bool { return !slices.Contains(keywords, s) })
}

func genRule() *rapid.Generator[Rule] {
	return rapid.Custom(func(t *rapid.T) Rule {
		r := Rule{
			Line:    1,
			Prefix:  rapid.SampledFrom([]string{"/", "/menus", "/сүлжээ/a", "/a.b/c"}).Draw(t, "prefix"),
			Service: mesh.ServiceName(genName().Draw(t, "service")),
			Version: mesh.TargetVersion(genName().Draw(t, "version")),
			Attempt: 1,
			Class:   rapid.SampledFrom([]mesh.Class{mesh.ClassUrgent, mesh.ClassNormal, mesh.ClassBackground}).Draw(t, "class"),
			Timeout: time.Duration(rapid.Int64Range(int64(MinTimeout), int64(MaxTimeout)).Draw(t, "timeout")),
			Author:  rapid.StringMatching(`[\pL#]([\pL #.-]{0,8}\pL)?`).Draw(t, "author"),
			Reason:  rapid.StringMatching(`([\pL:#]([\pL #:]{0,8}\pL)?)?`).Draw(t, "reason"),
		}
		if m := rapid.SliceOfNDistinct(rapid.SampledFrom(knownMethods), 0, 4, rapid.ID).Draw(t, "methods"); len(m) > 0 {
			slices.Sort(m)
			r.Methods = m
		}
		if rapid.Bool().Draw(t, "host set") {
			r.Host = rapid.SampledFrom([]string{"menus.example", "a", "10.1.0.9"}).Draw(t, "host")
		}
		if rapid.Bool().Draw(t, "priority set") {
			n := rapid.IntRange(0, MaxPriority).Draw(t, "priority")
			r.Priority, r.Class = &n, mesh.ClassOfPriority(n)
		}
		if r.Timeout > MinTimeout && rapid.Bool().Draw(t, "latency set") {
			r.Latency = time.Duration(rapid.Int64Range(int64(MinTimeout), int64(r.Timeout)-1).Draw(t, "latency"))
		}
		if rapid.Bool().Draw(t, "retries set") {
			n := rapid.IntRange(0, MaxRetries).Draw(t, "retries")
			r.Retries = &n
		}
		switch rapid.SampledFrom([]string{"plain", "move", "shares"}).Draw(t, "kind") {
		case "shares":
			weight := rapid.IntRange(1, MaxWeight)
			r.Shares = []Share{
				{r.Destination(), weight.Draw(t, "weight")},
				{mesh.ServiceVersion{Service: r.Service, Version: r.Version + "x"}, weight.Draw(t, "weight")},
			}
		case "move":
			r.From, r.Attempt = r.Version+"x", rapid.IntRange(1, MaxAttempt).Draw(t, "attempt")
			r.By = time.Unix(rapid.Int64Range(0, 200_000_000_000).Draw(t, "by"), rapid.Int64Range(0, 999_999_999).Draw(t, "ns")).UTC()
		}
		if rapid.Bool().Draw(t, "idempotent set") {
			yes := rapid.Bool().Draw(t, "idempotent")
			r.Idempotent = &yes
		}
		return r
	})
}

// Guards against a rule that changes when it is formatted and parsed again.
func TestFormatRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := genRule().Draw(t, "rule")
		got, findings := Parse("f", []byte(Format(want)))
		if len(findings) > 0 || len(got.Rules) != 1 || !reflect.DeepEqual(got.Rules[0], want) {
			t.Fatalf("%s\ngot %+v, want %+v, findings %v", Format(want), got, want, findings)
		}
	})
}

func FuzzParse(f *testing.F) {
	for _, seed := range []string{
		sample, "route GET m.example/a to s v weight 3 and t w weight 1 priority 3 timeout 1s latency 250ms retries 0 # N: r\nservice s connections 4 health /h # N: r",
		"route * / to a b # c:\r\n", "\ufeffroute", "route GET /a to s v from w by 2026-12-05T06:00:00+08:00 attempt 2 # N: r",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		file, findings := Parse("f", text)
		rs := file.Rules
		for _, finding := range findings {
			if finding.Message == "" || finding.Line < 0 || finding.Column < 0 {
				t.Fatalf("incomplete finding %+v", finding)
			}
		}
		Validate("f", text, CheckOptions{Now: time.Unix(0, 0), Previous: rs})
		if len(findings) > 0 {
			return
		}
		var b strings.Builder
		for i := range rs {
			if _, err := Withdraw(text, rs[i].Route()); (err == nil) != rs[i].IsMove() {
				t.Fatalf("withdraw %s: %v", rs[i].Route(), err)
			}
			b.WriteString(Format(rs[i]) + "\n")
			rs[i].Line = i + 1
		}
		for i := range file.Services {
			b.WriteString(FormatService(file.Services[i]) + "\n")
			file.Services[i].Line = len(rs) + i + 1
		}
		again, findings := Parse("f", []byte(b.String()))
		if len(findings) > 0 || len(rs) > 0 && !reflect.DeepEqual(again, file) {
			t.Fatalf("parsed again: got %+v, want %+v, findings %v", again, file, findings)
		}
	})
}

// Guards against a diff that loses a line: applying it to a must give b.
func TestDiffApplies(t *testing.T) {
	gen := rapid.SliceOfN(rapid.SampledFrom([]string{"a", "b", "c", "d", "e", "f", ""}), 0, 12)
	rapid.Check(t, func(t *rapid.T) {
		a, b := gen.Draw(t, "a"), gen.Draw(t, "b")
		text := func(lines []string) []byte { return []byte(strings.Join(append(slices.Clone(lines), ""), "\n")) }
		removed, added := map[int]string{}, map[int]string{}
		for _, c := range Diff(text(a), text(b)) {
			if c.Kind == Removed {
				removed[c.Line] = c.Text
			} else {
				added[c.Line] = c.Text
			}
		}
		var got, kept []string
		for i, line := range a {
			if text, isRemoved := removed[i+1]; !isRemoved {
				kept = append(kept, line)
			} else if text != line {
				t.Fatalf("removed line %d is %q, not %q", i+1, line, text)
			}
		}
		for len(kept) > 0 || len(got) < len(b) {
			if line, isAdded := added[len(got)+1]; isAdded {
				got = append(got, line)
				continue
			}
			if len(kept) == 0 {
				break
			}
			got, kept = append(got, kept[0]), kept[1:]
		}
		if !slices.Equal(got, b) {
			t.Fatalf("got %q, want %q", got, b)
		}
	})
}

// Guards against a withdrawal that breaks the line of the rule or changes its
// other options.
func TestWithdrawKeepsOtherOptions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := genRule().Filter(func(r Rule) bool { return r.IsMove() }).Draw(t, "rule")
		text, err := Withdraw([]byte(Format(r)), r.Route())
		if err != nil {
			t.Fatal(err)
		}
		r.Version, r.From, r.By, r.Attempt = r.From, "", time.Time{}, DefaultAttempt
		if got, findings := Parse("f", text); len(findings) > 0 || len(got.Rules) != 1 || !reflect.DeepEqual(got.Rules[0], r) {
			t.Fatalf("%s\ngot %+v, want %+v, findings %v", text, got, r, findings)
		}
	})
}

func TestDiffReportsEditedLine(t *testing.T) {
	got := Diff([]byte(sample), []byte(strings.Replace(sample, "3s", "4s", 1)))
	if len(got) != 2 || got[0].Kind != Removed || got[0].Line != 4 || got[1].Kind != Added || got[1].Line != 4 {
		t.Fatalf("got %+v", got)
	}
}

// Guards against a withdrawal that changes more than the move.
func TestWithdraw(t *testing.T) {
	for _, tc := range []struct {
		name, line, route, want string
		err                     error
	}{
		{"move", "route GET /a to s v2  from v1 by 2026-12-05T06:00:00Z attempt 2 class urgent  # N: from v1 by\r\n", "GET /a", "route GET /a to s v1 class urgent  # N: from v1 by\r\n", nil},
		{"order of methods", "route GET,POST /a to s v2 from v1 by 2026-12-05T06:00:00Z # N:", "post,GET  /a", "route GET,POST /a to s v1 # N:", nil},
		{"no move", "route GET /a to s v2 # N:", "GET /a", "", ErrNoMove},
		{"no route", "route GET /a to s v2 # N:", "GET /b", "", ErrNoRoute},
	} {
		t.Run(tc.name, func(t *testing.T) {
			got, err := Withdraw([]byte("# first\n"+tc.line), tc.route)
			if !errors.Is(err, tc.err) {
				t.Fatalf("got error %v, want %v", err, tc.err)
			}
			if err == nil && string(got) != "# first\n"+tc.want {
				t.Fatalf("got %q, want %q", got, tc.want)
			}
		})
	}
}
