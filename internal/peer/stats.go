package peer

import (
	"sync/atomic"

	"github.com/quic-go/quic-go"
)

// packetOverhead is the size of the IPv4 and UDP headers of a packet, which
// the QUIC library does not count.
const packetOverhead = 28 // bytes

// Stats are the totals of a Transport since its start. Bytes include the IP and
// UDP headers. Packets of connection attempts that failed are not counted.
type Stats struct {
	BytesSent       uint64
	BytesReceived   uint64
	PacketsSent     uint64
	PacketsReceived uint64
	Connections     int   // open now
	Refused         int64 // connection attempts rejected by the limits
	Unauthorized    int64 // handshakes with an invalid or unexpected certificate
}

type counters struct {
	closed       Stats // of closed connections; Transport.mu guards it
	refused      atomic.Int64
	unauthorized atomic.Int64
}

func (c *counters) add(s quic.ConnectionStats) { c.closed.add(s) }

func (s *Stats) add(c quic.ConnectionStats) {
	s.BytesSent += c.BytesSent + packetOverhead*c.PacketsSent
	s.BytesReceived += c.BytesReceived + packetOverhead*c.PacketsReceived
	s.PacketsSent += c.PacketsSent
	s.PacketsReceived += c.PacketsReceived
}

// Stats returns the current totals.
func (t *Transport) Stats() Stats {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.stats.closed
	for conn := range t.conns {
		s.add(conn.ConnectionStats())
	}
	s.Connections = len(t.conns)
	s.Refused, s.Unauthorized = t.stats.refused.Load(), t.stats.unauthorized.Load()
	return s
}
