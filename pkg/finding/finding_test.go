package finding

import "testing"

// Guards against findings that are reported without their position or one at a
// time.
func TestListErrorReportsAllPositions(t *testing.T) {
	var l List
	if l.Err() != nil {
		t.Fatalf("empty list: got error %v", l.Err())
	}
	l.Add(Finding{File: "rules.txt", Line: 3, Column: 7, Message: "unknown word", Suggestion: "write to"})
	l.Add(Finding{File: "rules.txt", Line: 9, Message: "no author"})
	want := "rules.txt:3:7: unknown word (write to)\nrules.txt:9: no author"
	if got := l.Err().Error(); got != want {
		t.Fatalf("got %q, want %q", got, want)
	}
}
