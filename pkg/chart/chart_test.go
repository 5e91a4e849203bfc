package chart

import (
	"errors"
	"strings"
	"testing"

	"nutmeghoist.example/nutmeghoist/pkg/finding"
)

var vocabulary = Vocabulary{Events: []Event{"start", "stop"}, Actions: []Action{"run"}}

// Guards against a faulty chart that fails only when a rare event reaches a
// state that does not handle it: Load must report all faults together.
func TestLoadReportsAllFindings(t *testing.T) {
	_, err := Load("bad.toml", []byte(`
initial = "idle"
[states.idle]
on.start = {to = "busy", actions = ["jump"]}
[states.busy]
on.stop = {to = "gone"}
ignore = ["start"]
[states.island]
final = true
`), vocabulary)
	var l finding.List
	if !errors.As(err, &l) || len(l) != 4 {
		t.Fatalf("got %v, want 4 findings", err)
	}
	for _, want := range []string{`unknown action "jump"`, `neither handles nor ignores event "stop"`, `"gone", which does not exist`, `"island" cannot be reached`} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("finding %q is missing from:\n%v", want, err)
		}
	}
}

// Guards against an unexpected event that changes the state without an error.
func TestNext(t *testing.T) {
	c := MustLoad("ok.toml", []byte(`
initial = "idle"
[states.idle]
on.start = {to = "done", actions = ["run"]}
ignore = ["stop"]
[states.done]
final = true
`), vocabulary)
	tr, err := c.Next("idle", "start")
	if err != nil || tr.To != "done" || len(tr.Actions) != 1 {
		t.Fatalf("got %v, %v", tr, err)
	}
	if tr, err := c.Next("idle", "stop"); err != nil || tr.To != "idle" {
		t.Fatalf("ignored event: got %v, %v", tr, err)
	}
	if _, err := c.Next("done", "start"); !errors.Is(err, ErrNotAllowed) {
		t.Fatalf("final state: got %v, want ErrNotAllowed", err)
	}
}
