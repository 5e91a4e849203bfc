// Package distribution distributes configuration heads, rules texts, host records
// and vetoes among the hosts of a mesh. Changes are pushed over links to a few
// neighbours. Heartbeats carry digests that detect missed changes, and an
// anti-entropy exchange repairs them.
package distribution

import (
	"context"
	"errors"

	"nutmeghoist.example/nutmeghoist/pkg/mesh"
)

// Bounds of what a Transport carries.
const (
	MaxFrame = 64 << 10 // bytes of one gossip message
	MaxText  = 1 << 20  // bytes of a rules text
	// MaxResponse leaves room for a text that does not compress.
	MaxResponse = MaxText + 4<<10
	MaxRequest  = 1 << 10 // bytes
)

// CloseReason is the reason for closing a link; it is sent to the peer.
type CloseReason uint8

// The reasons for closing a link.
const (
	CloseUnneeded  CloseReason = iota + 1 // the hosts are no longer neighbours
	CloseDuplicate                        // another link to the same host is kept
	CloseSilent                           // no progress within the timeout
	CloseShutdown                         // the host stops
	CloseProtocol                         // the peer sent something invalid
)

// Errors that a Transport returns.
var (
	// ErrBusy means that a live peer refused a link because of its own limits.
	ErrBusy = errors.New("peer accepts no further links now")
	// ErrUnauthorized means that one side does not trust the other's certificate.
	ErrUnauthorized = errors.New("peer is not authorized")
	// ErrTooLarge means that a frame, request or response exceeds its bound.
	ErrTooLarge = errors.New("message is too large")
)

// ClosedError is the error of a link that one of its ends has closed.
type ClosedError struct {
	Reason CloseReason
	Remote bool // the peer closed it
}

var closeNames = map[CloseReason]string{
	CloseUnneeded: "no longer needed", CloseDuplicate: "duplicate", CloseSilent: "no progress",
	CloseShutdown: "host stops", CloseProtocol: "protocol violation",
}

func (e *ClosedError) Error() string {
	side := "locally"
	if e.Remote {
		side = "by peer"
	}
	return "link closed " + side + ": " + closeNames[e.Reason]
}

// Endpoint is the address at which a host accepts links. Host is empty for a
// seed.
type Endpoint struct {
	Host    mesh.HostID
	Address string // IP:port
}

// Transport opens and accepts links between hosts. Both ends of a link have
// proved their host IDs.
type Transport interface {
	// Serve accepts links and requests until the context ends.
	Serve(ctx context.Context, h Handler) error
	// Dial opens a link. It fails when the peer is not the host of the endpoint.
	Dial(ctx context.Context, to Endpoint) (Link, error)
}

// Handler handles links and requests from peers. Its methods are called
// concurrently.
type Handler interface {
	// HandleLink takes ownership of an accepted link. It does not wait for the
	// link to end.
	HandleLink(l Link)
	// HandleRequest answers a request from a peer.
	HandleRequest(ctx context.Context, peer mesh.HostID, request []byte) ([]byte, error)
}

// Link is an open connection to one peer. Send and Receive are each called by
// one goroutine at a time; Request and Close may be called by any.
type Link interface {
	Peer() mesh.HostID
	Dialed() bool // by this host
	// Send passes a frame to the transport. When the context's deadline passes
	// first, it fails and the link is unusable.
	Send(ctx context.Context, frame []byte) error
	// Receive waits for the next frame. It fails when the link is closed.
	Receive() ([]byte, error)
	Request(ctx context.Context, request []byte) ([]byte, error)
	// Close closes the link at once, without waiting for the peer.
	Close(reason CloseReason)
}
