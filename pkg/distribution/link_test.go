package distribution

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"

	"nutmeghoist.example/nutmeghoist/pkg/membership"
	"nutmeghoist.example/nutmeghoist/pkg/mesh"
	"nutmeghoist.example/nutmeghoist/pkg/pause"
)

// stubLink is a link that carries nothing.
type stubLink struct {
	peer   mesh.HostID
	dialed bool
	once   sync.Once
	closed chan struct{}
	reason CloseReason
	dial   error // of Dial, which hangs without one
}

func newStub(peer mesh.HostID, dialed bool) *stubLink {
	return &stubLink{peer: peer, dialed: dialed, closed: make(chan struct{})}
}

func (s *stubLink) Peer() mesh.HostID                               { return s.peer }
func (s *stubLink) Dialed() bool                                    { return s.dialed }
func (s *stubLink) Send(context.Context, []byte) error              { return nil }
func (s *stubLink) Request(context.Context, []byte) ([]byte, error) { return nil, errNotHeld }
func (s *stubLink) Serve(ctx context.Context, _ Handler) error      { <-ctx.Done(); return nil }

func (s *stubLink) Dial(ctx context.Context, _ Endpoint) (Link, error) {
	if s.dial != nil {
		return nil, s.dial
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

func (s *stubLink) open() bool {
	select {
	case <-s.closed:
		return false
	default:
		return true
	}
}

// Guards against two hosts that dial each other at once and each close the
// link that the other keeps; and against a replaced link that stays.
func TestSimultaneousLinks(t *testing.T) {
	for _, c := range []struct {
		self, peer mesh.HostID
		later      bool // the second link comes after simultaneousWindow
	}{{"a", "b", false}, {"b", "a", false}, {"a", "b", true}, {"b", "a", true}} {
		for _, dialedFirst := range []bool{true, false} {
			synctest.Test(t, func(t *testing.T) {
				g, err := New(Config{
					Members:   membership.NewTable(membership.Host{ID: c.self}, membership.Options{}),
					Transport: newStub("", false), ActiveVersion: func() (v mesh.ConfigVersion) { return },
				})
				if err != nil {
					t.Fatal(err)
				}
				ctx, cancel := context.WithCancel(t.Context())
				done := make(chan error, 1)
				go func() { done <- g.Run(ctx) }()
				synctest.Wait()
				first, second := newStub(c.peer, dialedFirst), newStub(c.peer, !dialedFirst)
				g.HandleLink(first)
				if c.later {
					pause.For(ctx, simultaneousWindow)
				}
				g.HandleLink(second)
				synctest.Wait()
				lower := first // the link that the host with the lower ID dialled
				if dialedFirst != (c.self < c.peer) {
					lower = second
				}
				want := lower
				if c.later {
					want = second
				}
				if first.open() != (want == first) || second.open() != (want == second) || g.LinkCount() != 1 {
					t.Errorf("%+v, dialled first %v: open %v %v, %d links", c, dialedFirst, first.open(), second.open(), g.LinkCount())
				}
				cancel()
				if err := <-done; err != nil {
					t.Error(err)
				}
			})
		}
	}
}

// Guards against a live host that is suspected because both dialled at once
// and the link of this host lost, or because its limits are reached.
func TestWhichDialsMakeSuspects(t *testing.T) {
	for _, c := range []struct {
		err    error
		linked bool
		want   membership.Status
	}{
		{nil, false, membership.StatusSuspect}, // hangs until its time is over
		{ErrUnauthorized, false, membership.StatusSuspect},
		{&ClosedError{Reason: CloseShutdown, Remote: true}, false, membership.StatusSuspect},
		{&ClosedError{Reason: CloseDuplicate, Remote: true}, false, membership.StatusAlive},
		{ErrBusy, false, membership.StatusAlive},
		{nil, true, membership.StatusAlive},
	} {
		synctest.Test(t, func(t *testing.T) {
			table := membership.NewTable(membership.Host{ID: "a"}, membership.Options{})
			table.Merge([]membership.Host{{ID: "b", Status: membership.StatusAlive}})
			transport := newStub("", false)
			transport.dial = c.err
			g, err := New(Config{Members: table, Transport: transport, ActiveVersion: func() (v mesh.ConfigVersion) { return }})
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
		})
	}
}
