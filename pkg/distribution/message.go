package distribution

import (
	"fmt"
	"sync"

	"github.com/fxamacker/cbor/v2"

	"nutmeghoist.example/nutmeghoist/pkg/membership"
	"nutmeghoist.example/nutmeghoist/pkg/mesh"
	"nutmeghoist.example/nutmeghoist/pkg/source"
)

// message is one gossip frame. Parts that are not set take no bytes.
type message struct {
	Heartbeat *heartbeat        `cbor:"1,keyasint,omitempty"`
	Head      *source.Head      `cbor:"2,keyasint,omitempty"`
	Hosts     []cbor.RawMessage `cbor:"3,keyasint,omitempty"` // of membership.Host, so that one bad record does not spoil the rest
	Vetoes    []source.Veto     `cbor:"4,keyasint,omitempty"`
	Repair    *repair           `cbor:"5,keyasint,omitempty"`
	Ack       uint64            `cbor:"6,keyasint,omitempty"` // revision of a head that the sender has heard
}

// heartbeat is sent on each link every HeartbeatPeriod.
type heartbeat struct {
	Active   mesh.ConfigVersion `cbor:"1,keyasint"`           // of the sender
	Revision uint64             `cbor:"2,keyasint,omitempty"` // of the sender's head
	Digest   uint64             `cbor:"3,keyasint"`           // of the sender's records and vetoes
	Answer   bool               `cbor:"4,keyasint,omitempty"` // sent in response to a heartbeat
}

// repair is one step of the exchange that follows differing digests: Digests
// asks for the records of the buckets that differ; Want asks for the peer's
// records of those buckets in return; Correct marks records to which a peer
// that holds newer ones responds with them.
type repair struct {
	Digests []uint64 `cbor:"1,keyasint,omitempty"`
	Want    []uint16 `cbor:"2,keyasint,omitempty"`
	Correct bool     `cbor:"3,keyasint,omitempty"`
}

// request is what a peer asks outside the gossip stream. Exactly one part is set.
type request struct {
	Object string `cbor:"1,keyasint,omitempty"` // hash of a rules text
	Floor  bool   `cbor:"2,keyasint,omitempty"`
	Base   string `cbor:"3,keyasint,omitempty"` // hash of a text that the asking host holds
}

// floorAnswer is the response to a floor request.
type floorAnswer struct {
	Active    mesh.ConfigVersion `cbor:"1,keyasint"`           // of the responder
	LastHeard mesh.ConfigVersion `cbor:"2,keyasint"`           // from the host that asks
	Head      *source.Head       `cbor:"3,keyasint,omitempty"` // of the responder
}

// Bounds of decoded values. A host has few targets; the bounds keep a faulty
// peer from filling the memory.
const (
	maxTargets   = 64
	maxName      = 256
	maxEvidence  = 4 << 10
	maxItems     = 4096 // elements of any array in a message
	maxNesting   = 8
	compressFrom = 512 // bytes; smaller frames gain less than the header costs
)

const (
	frameRaw  byte = 0
	frameZstd byte = 1
)

var (
	encMode = sync.OnceValue(func() cbor.EncMode {
		m, err := cbor.EncOptions{Sort: cbor.SortNone, Time: cbor.TimeRFC3339NanoUTC}.EncMode()
		if err != nil {
			panic(err) // constant options
		}
		return m
	})
	decMode = sync.OnceValue(func() cbor.DecMode {
		m, err := cbor.DecOptions{
			MaxNestedLevels: maxNesting, MaxArrayElements: maxItems, MaxMapPairs: 64,
			IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden,
		}.DecMode()
		if err != nil {
			panic(err)
		}
		return m
	})
)

// encodeFrame encodes a message and compresses it when that helps.
func (c *codec) encodeFrame(m *message) ([]byte, error) {
	b, err := encMode().Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("encode message: %w", err)
	}
	if len(b) < compressFrom {
		return append([]byte{frameRaw}, b...), nil
	}
	return c.enc.EncodeAll(b, []byte{frameZstd}), nil
}

// decodeFrame decodes a frame of a peer and checks its bounds.
func (c *codec) decodeFrame(frame []byte) (*message, error) {
	if len(frame) == 0 || len(frame) > MaxFrame {
		return nil, fmt.Errorf("frame of %d bytes: %w", len(frame), ErrTooLarge)
	}
	body := frame[1:]
	switch frame[0] {
	case frameRaw:
	case frameZstd:
		var err error
		if body, err = c.dec.DecodeAll(body, nil); err != nil {
			return nil, fmt.Errorf("decompress frame: %w", err)
		}
	default:
		return nil, fmt.Errorf("frame of unknown kind %d", frame[0])
	}
	var m message
	if err := decMode().Unmarshal(body, &m); err != nil {
		return nil, fmt.Errorf("decode message: %w", err)
	}
	if err := m.check(); err != nil {
		return nil, err
	}
	return &m, nil
}

func (m *message) check() error {
	if m.Head != nil {
		if err := checkHead(m.Head); err != nil {
			return err
		}
	}
	for i := range m.Vetoes {
		if err := checkVeto(&m.Vetoes[i]); err != nil {
			return err
		}
	}
	if r := m.Repair; r != nil && (len(r.Digests) != 0 && len(r.Digests) != membership.BucketCount || len(r.Want) > membership.BucketCount) {
		return fmt.Errorf("repair with %d digests and %d wanted buckets", len(r.Digests), len(r.Want))
	}
	return nil
}

func checkHead(h *source.Head) error {
	if h.Revision == 0 || len(h.Hash) != 64 || len(h.Token) > maxName || len(h.Author) > maxName {
		return fmt.Errorf("head of revision %d is malformed", h.Revision)
	}
	return nil
}

func checkVeto(v *source.Veto) error {
	if v.Service == "" || v.Version == "" || v.Attempt < 1 || len(v.Service) > maxName || len(v.Version) > maxName ||
		len(v.Route) > 2*maxEvidence || len(v.Evidence) > maxEvidence || len(v.Host) > maxName {
		return fmt.Errorf("veto of %.64s@%.64s attempt %d is malformed", v.Service, v.Version, v.Attempt)
	}
	return nil
}

// decodeHost decodes one record and checks its bounds.
func decodeHost(raw []byte) (membership.Host, error) {
	var h membership.Host
	if err := decMode().Unmarshal(raw, &h); err != nil {
		return h, fmt.Errorf("decode host record: %w", err)
	}
	long := func(s string) bool { return len(s) > maxName }
	if h.ID == "" || h.DataCentre == "" || long(string(h.ID)) || long(string(h.DataCentre)) || long(h.PeerAddress) ||
		long(h.CallAddress) || h.Status < membership.StatusAlive || h.Status > membership.StatusLeft || len(h.Targets) > maxTargets {
		return h, fmt.Errorf("record of host %.64q is malformed", h.ID)
	}
	for _, t := range h.Targets {
		if long(string(t.ID)) || long(string(t.Service)) || long(string(t.Version)) || long(t.Address) {
			return h, fmt.Errorf("record of host %.64q: target %.64q is malformed", h.ID, t.ID)
		}
	}
	return h, nil
}
