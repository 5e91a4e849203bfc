package peer

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/quic-go/quic-go"

	"nutmeghoist.example/nutmeghoist/pkg/distribution"
	"nutmeghoist.example/nutmeghoist/pkg/mesh"
)

// greeting is the first byte on the gossip stream in each direction. The
// accepting side sends it after it has verified the dialling side's certificate.
const greeting byte = 1

// The first byte of a response.
const (
	responseOK     byte = 1
	responseFailed byte = 2
)

// readBufferSize fits a typical heartbeat; larger frames bypass the buffer.
const readBufferSize = 256 // bytes

// maxErrorBytes limits the error text in the response to a failed request.
const maxErrorBytes = 256

// link is one QUIC connection to a peer.
type link struct {
	transport *Transport
	conn      *quic.Conn
	gossip    *quic.Stream
	reader    *bufio.Reader
	peer      mesh.HostID
	dialed    bool
}

func newLink(t *Transport, conn *quic.Conn, gossip *quic.Stream, peer mesh.HostID, dialed bool) *link {
	return &link{
		transport: t, conn: conn, gossip: gossip, reader: bufio.NewReaderSize(gossip, readBufferSize),
		peer: peer, dialed: dialed,
	}
}

// Peer implements distribution.Link.
func (l *link) Peer() mesh.HostID { return l.peer }

// Dialed implements distribution.Link.
func (l *link) Dialed() bool { return l.dialed }

// acceptGreeting reads the greeting of the dialling peer and responds.
func (l *link) acceptGreeting() error {
	deadline := time.Now().Add(handshakeTimeout)
	_ = l.gossip.SetDeadline(deadline)
	defer func() { _ = l.gossip.SetDeadline(time.Time{}) }()
	if err := l.readGreeting(); err != nil {
		return err
	}
	_, err := l.gossip.Write([]byte{greeting})
	return err
}

// exchangeGreetings sends the greeting and waits for that of the peer, which
// confirms that the peer has accepted the link.
func (l *link) exchangeGreetings(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = l.gossip.SetDeadline(time.Now()) })
	if _, err := l.gossip.Write([]byte{greeting}); err != nil {
		return err
	}
	if err := l.readGreeting(); err != nil {
		return err
	}
	if !stop() {
		return ctx.Err()
	}
	return nil
}

func (l *link) readGreeting() error {
	b, err := l.reader.ReadByte()
	if err == nil && b != greeting {
		err = fmt.Errorf("unexpected greeting %d from peer, want %d", b, greeting)
	}
	return err
}

// Send implements distribution.Link. A frame is preceded by its length as a
// varint.
func (l *link) Send(ctx context.Context, frame []byte) error {
	if len(frame) > distribution.MaxFrame {
		return distribution.ErrTooLarge
	}
	deadline, _ := ctx.Deadline() // the zero time means none
	if err := l.gossip.SetWriteDeadline(deadline); err != nil {
		return linkError(err)
	}
	b := binary.AppendUvarint(make([]byte, 0, binary.MaxVarintLen32+len(frame)), uint64(len(frame)))
	_, err := l.gossip.Write(append(b, frame...))
	return linkError(err)
}

// Receive implements distribution.Link.
func (l *link) Receive() ([]byte, error) {
	n, err := binary.ReadUvarint(l.reader)
	if err != nil {
		return nil, linkError(err)
	}
	if n > distribution.MaxFrame {
		l.Close(distribution.CloseProtocol)
		return nil, fmt.Errorf("frame of %d bytes: %w", n, distribution.ErrTooLarge)
	}
	frame := make([]byte, n)
	if _, err := io.ReadFull(l.reader, frame); err != nil {
		return nil, linkError(err)
	}
	return frame, nil
}

// Request implements distribution.Link.
func (l *link) Request(ctx context.Context, request []byte) ([]byte, error) {
	if len(request) > distribution.MaxRequest {
		return nil, distribution.ErrTooLarge
	}
	s, err := l.conn.OpenStreamSync(ctx)
	if err != nil {
		return nil, linkError(err)
	}
	defer s.CancelRead(0) // no effect once all is read
	stop := context.AfterFunc(ctx, func() {
		s.CancelRead(0)
		s.CancelWrite(0)
	})
	defer stop()
	if _, err := s.Write(request); err != nil {
		return nil, requestError(ctx, err)
	}
	if err := s.Close(); err != nil {
		return nil, requestError(ctx, err)
	}
	body, err := readBounded(s, distribution.MaxResponse+1)
	if err != nil {
		return nil, requestError(ctx, err)
	}
	if len(body) == 0 || body[0] != responseOK {
		return nil, fmt.Errorf("request failed at host %s: %.*s", l.peer, maxErrorBytes, body[min(1, len(body)):])
	}
	return body[1:], nil
}

func requestError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return linkError(err)
}

func readBounded(r io.Reader, limit int64) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err == nil && int64(len(b)) > limit {
		err = distribution.ErrTooLarge
	}
	return b, err
}

// serveRequests serves the peer's request streams until the link is closed or
// ctx ends.
func (l *link) serveRequests(ctx context.Context) {
	for {
		s, err := l.conn.AcceptStream(ctx)
		if err != nil {
			return
		}
		go l.serveStream(s) // maxRequestStreams limits the goroutines
	}
}

func (l *link) serveStream(s *quic.Stream) {
	ctx, cancel := context.WithTimeout(l.conn.Context(), idleTimeout)
	defer cancel()
	_ = s.SetDeadline(time.Now().Add(idleTimeout))
	request, err := readBounded(s, distribution.MaxRequest)
	if err != nil {
		s.CancelRead(0)
		s.CancelWrite(0)
		return
	}
	status := responseOK
	body, err := l.transport.handler.HandleRequest(ctx, l.peer, request)
	if err == nil && len(body) > distribution.MaxResponse {
		err = distribution.ErrTooLarge
	}
	if err != nil {
		text := err.Error()
		status, body = responseFailed, []byte(text[:min(len(text), maxErrorBytes)])
	}
	if _, err := s.Write([]byte{status}); err == nil {
		_, err = s.Write(body)
		if err == nil {
			_ = s.Close()
			return
		}
	}
	s.CancelWrite(0)
}

// Close implements distribution.Link.
func (l *link) Close(reason distribution.CloseReason) { closeConnection(l.conn, reason) }

func closeConnection(conn *quic.Conn, reason distribution.CloseReason) {
	_ = conn.CloseWithError(quic.ApplicationErrorCode(reason), "")
}

// linkError translates QUIC errors into those of package distribution.
func linkError(err error) error {
	var applicationErr *quic.ApplicationError
	var transportErr *quic.TransportError
	switch {
	case errors.As(err, &applicationErr):
		return &distribution.ClosedError{Reason: distribution.CloseReason(applicationErr.ErrorCode), Remote: applicationErr.Remote}
	case errors.As(err, &transportErr) && transportErr.ErrorCode == quic.ConnectionRefused:
		return fmt.Errorf("%w: %w", distribution.ErrBusy, err)
	}
	return err
}
