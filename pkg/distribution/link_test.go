package distribution

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"

	"nutmeghoist.example/nutmeghoist/pkg/membership"
	"nutmeghoist.example/nutmeghoist/pkg/mesh"
	"nutmeghoist.example/nutmeghoist/pkg/pause"
)

// stubLink is a Link, and a Transport, that carries no frames.
type stubLink struct {
	peer    mesh.HostID
	dialed  bool
	once    sync.Once
	closed  chan struct{}
	reason  CloseReason
	dialErr error // returned by Dial; without it, Dial blocks until its context ends
}

func newStubLink(peer mesh.HostID, dialed bool) *stubLink {
	return &stubLink{peer: peer, dialed: dialed, closed: make(chan struct{})}
}

func (s *stubLink) Peer() mesh.HostID                               { return s.peer }
func (s *stubLink) Dialed() bool                                    { return s.dialed }
func (s *stubLink) Send(context.Context, []byte) error              { return nil }
func (s *stubLink) Request(context.Context, []byte) ([]byte, error) { return nil, errObjectNotFound }
func (s *stubLink) Serve(ctx context.Context, _ Handler) error      { <-ctx.Done(); return nil }

func (s *stubLink) Dial(ctx context.Context, _ Endpoint) (Link, error) {
	if s.dialErr != nil {
		return nil, s.dialErr
	}
	<-ctx.Done()
	return nil, ctx.Err()
}

func (s *stubLink) Receive() ([]byte, error) {
	<-s.closed
	return nil, &ClosedError{Reason: s.reason}
}

func (s *stubLink) Close(r CloseReason) {
	s.once.Do(func() { s.reason = r; close(s.closed) })
}

func (s *stubLink) isOpen() bool {
	select {
	case <-s.closed:
		return false
	default:
		return true
	}
}

// Guards against two hosts that dial each other at once and each close the
// link that the other keeps, and against a replaced link that stays open.
func TestSimultaneousLinks(t *testing.T) {
	for _, c := range []struct {
		self, peer mesh.HostID
		later      bool // the second link is opened after simultaneousDialWindow
	}{{"a", "b", false}, {"b", "a", false}, {"a", "b", true}, {"b", "a", true}} {
		for _, dialedFirst := range []bool{true, false} {
			synctest.Test(t, func(t *testing.T) {
				g, err := New(Config{
					Members:   membership.NewTable(membership.Host{ID: c.self}, membership.Options{}),
					Transport: newStubLink("", false), ActiveVersion: func() (v mesh.ConfigVersion) { return },
				})
				if err != nil {
					t.Fatal(err)
				}
				ctx, cancel := context.WithCancel(t.Context())
				done := make(chan error, 1)
				go func() { done <- g.Run(ctx) }()
				synctest.Wait()
				first, second := newStubLink(c.peer, dialedFirst), newStubLink(c.peer, !dialedFirst)
				g.HandleLink(first)
				if c.later {
					pause.For(ctx, simultaneousDialWindow)
				}
				g.HandleLink(second)
				synctest.Wait()
				fromLowerID := first // link opened by the host with the lower ID
				if dialedFirst != (c.self < c.peer) {
					fromLowerID = second
				}
				want := fromLowerID
				if c.later {
					want = second
				}
				if first.isOpen() != (want == first) || second.isOpen() != (want == second) || g.LinkCount() != 1 {
					t.Errorf("%+v, dialled first %v: open %v %v, %d links", c, dialedFirst, first.isOpen(), second.isOpen(), g.LinkCount())
				}
				cancel()
				if err := <-done; err != nil {
					t.Error(err)
				}
			})
		}
	}
}

// Guards against a live host that is suspected because both hosts dialled at
// once and this host's link was closed as the duplicate, or because the live
// host has reached its limits.
func TestDialFailuresThatRaiseSuspicion(t *testing.T) {
	for _, c := range []struct {
		err    error
		linked bool
		want   membership.Status
	}{
		{nil, false, membership.StatusSuspect}, // blocks until the dial timeout
		{ErrUnauthorized, false, membership.StatusSuspect},
		{&ClosedError{Reason: CloseShutdown, Remote: true}, false, membership.StatusSuspect},
		{&ClosedError{Reason: CloseDuplicate, Remote: true}, false, membership.StatusAlive},
		{ErrBusy, false, membership.StatusAlive},
		{nil, true, membership.StatusAlive},
	} {
		synctest.Test(t, func(t *testing.T) {
			table := membership.NewTable(membership.Host{ID: "a"}, membership.Options{})
			table.Merge([]membership.Host{{ID: "b", Status: membership.StatusAlive}})
			transport := newStubLink("", false)
			transport.dialErr = c.err
			var unauthorized bool
			g, err := New(Config{
				Members: table, Transport: transport, ActiveVersion: func() (v mesh.ConfigVersion) { return },
				OnFault: func(f Fault, _ mesh.HostID, _ error) { unauthorized = unauthorized || f == FaultUnauthorized },
			})
			if err != nil {
				t.Fatal(err)
			}
			if c.linked {
				g.links["b"] = &link{}
			}
			g.dialHost(t.Context(), "b", true)
			if h, _ := table.Get("b"); h.Status != c.want {
				t.Errorf("%v, linked %v: status %d, not %d", c.err, c.linked, h.Status, c.want)
			}
			if want := errors.Is(c.err, ErrUnauthorized); unauthorized != want {
				t.Errorf("%v: reported as unauthorized %v, want %v", c.err, unauthorized, want)
			}
		})
	}
}

// Guards against a host that is started again and is not told which of its targets
// were leaving, because a newer record of it is sent instead.
func TestNewerRecordDoesNotReplaceWhatLeft(t *testing.T) {
	const peer = mesh.HostID("b")
	old := membership.Host{ID: peer, DataCentre: "north", Status: membership.StatusAlive, Incarnation: 1, Sequence: 7, Targets: []membership.Target{{ID: "gone", State: membership.TargetDraining}}}
	restarted := membership.Host{ID: peer, DataCentre: "north", Status: membership.StatusAlive, Incarnation: 2}
	suspect, failed := restarted, old
	suspect.Status, failed.Status, failed.Targets = membership.StatusSuspect, membership.StatusFailed, nil
	for name, c := range map[string]struct {
		before []membership.Host // known when the link opens
		queued []membership.Host // before its first message
	}{
		"restart not yet known":     {before: []membership.Host{old}},
		"restart known":             {before: []membership.Host{old, restarted}},
		"restart known while open":  {before: []membership.Host{old}, queued: []membership.Host{restarted}},
		"restarted and suspect":     {before: []membership.Host{old, restarted, suspect}},
		"failed, then started":      {before: []membership.Host{old, failed, restarted}},
		"failed and not yet known":  {before: []membership.Host{old, failed}},
		"suspect when it is queued": {before: []membership.Host{old, restarted}, queued: []membership.Host{suspect}},
	} {
		table := membership.NewTable(membership.Host{ID: "a", DataCentre: "north"}, membership.Options{})
		for _, h := range c.before {
			table.Merge([]membership.Host{h})
		}
		g, err := New(Config{Members: table, Transport: newStubLink("", false), ActiveVersion: func() (v mesh.ConfigVersion) { return }})
		if err != nil {
			t.Fatal(err)
		}
		l := &link{g: g, conn: newStubLink(peer, false), peer: peer, wakeup: make(chan struct{}, 1)}
		l.queueInitialState()
		l.enqueueHosts(c.queued)
		told := false
		for m := l.nextMessage(); m != nil; m = l.nextMessage() {
			for _, raw := range m.Hosts {
				h, err := decodeHost(raw)
				if err != nil {
					t.Fatal(err)
				}
				told = told || h.ID == peer && h.Incarnation == old.Incarnation && h.HasLeavingTarget()
			}
		}
		if !told {
			t.Errorf("%s: the peer is not told", name)
		}
	}
}
