package trace

import (
	"strings"
	"testing"
)

// Guards against a trace that omits the lines of other nodes, includes lines of
// other calls, or is out of order.
func TestTrace(t *testing.T) {
	entry := `time=2026-12-04T05:00:00.120Z host="h1" id="c1" status=503 "call ended"
time=2026-12-04T05:00:00.121Z host="h1" id="c10" status=200 "call ended"
time=2026-12-04T05:00:00.122Z host="h1" "store lost"
`
	owner := `time=2026-12-04T05:00:00.110Z host="h2" id="c1" reason="late" "call not admitted"
time=2026-12-04T05:00:00.115Z host="h2" id="c1.7" status=200 "call ended"
`
	var tr Trace
	for _, log := range []string{entry, owner} {
		if err := tr.Read(strings.NewReader(log), "c1"); err != nil {
			t.Fatal(err)
		}
	}
	var out strings.Builder
	if err := tr.Write(&out); err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	if len(lines) != 3 || !strings.Contains(lines[0], "not admitted") || !strings.Contains(lines[1], "c1.7") || !strings.Contains(lines[2], "503") {
		t.Errorf("got\n%s", out.String())
	}
}
