package distribution

import (
	"fmt"
	"sync"

	"github.com/fxamacker/cbor/v2"

	"nutmeghoist.example/nutmeghoist/pkg/evacuation"
	"nutmeghoist.example/nutmeghoist/pkg/membership"
	"nutmeghoist.example/nutmeghoist/pkg/mesh"
	"nutmeghoist.example/nutmeghoist/pkg/source"
	"nutmeghoist.example/nutmeghoist/pkg/suspect"
)

// message is one gossip frame. Parts that are not set take no bytes.
type message struct {
	Heartbeat *heartbeat        `cbor:"1,keyasint,omitempty"`
	Head      *source.Head      `cbor:"2,keyasint,omitempty"`
	Hosts     []cbor.RawMessage `cbor:"3,keyasint,omitempty"` // of membership.Host, so that one bad record does not invalidate the rest
	Vetoes    []source.Veto     `cbor:"4,keyasint,omitempty"`
	Repair    *repair           `cbor:"5,keyasint,omitempty"`
	Ack       uint64            `cbor:"6,keyasint,omitempty"` // revision of a head that the sender has received
	Suspects  []suspect.Record  `cbor:"7,keyasint,omitempty"` // requests under which targets have ended
	// Evacuations are the records of evacuated data centres.
	Evacuations []evacuation.Record `cbor:"8,keyasint,omitempty"`
}

// heartbeat is sent on each link every HeartbeatPeriod.
type heartbeat struct {
	Active   mesh.ConfigVersion `cbor:"1,keyasint"`           // version that the sender has active
	Revision uint64             `cbor:"2,keyasint,omitempty"` // of the sender's head
	Digest   uint64             `cbor:"3,keyasint"`           // of the sender's records and vetoes
	Answer   bool               `cbor:"4,keyasint,omitempty"` // no answer is expected; set in each answer to a heartbeat
}

// repair is one step of the anti-entropy exchange that follows differing
// digests.
type repair struct {
	// Digests are the sender's bucket digests. They request the records of the
	// buckets that differ.
	Digests []uint64 `cbor:"1,keyasint,omitempty"`
	// Want lists the buckets that differ, to request the peer's records in return.
	Want []uint16 `cbor:"2,keyasint,omitempty"`
	// ReplyNewer asks the peer to respond with its own records where they are
	// newer than those in the message.
	ReplyNewer bool `cbor:"3,keyasint,omitempty"`
}

// request is a request of a peer outside the gossip stream. Either Object or
// Floor is set.
type request struct {
	Object string `cbor:"1,keyasint,omitempty"` // hash of a rules text
	Floor  bool   `cbor:"2,keyasint,omitempty"` // asks for a floorResponse
	Base   string `cbor:"3,keyasint,omitempty"` // hash of a text that the requesting host holds
}

// floorResponse is the response to a floor request.
type floorResponse struct {
	Active       mesh.ConfigVersion `cbor:"1,keyasint"`           // version that the responder has active
	LastReceived mesh.ConfigVersion `cbor:"2,keyasint"`           // highest active version received from the requesting host
	Head         *source.Head       `cbor:"3,keyasint,omitempty"` // newest that the responder holds or was advertised to it
}

// Bounds of decoded values. They prevent a faulty peer from filling the memory.
const (
	maxTargets       = 64 // per host; a host has few targets
	maxNameBytes     = 256
	maxEvidenceBytes = 4 << 10
	maxArrayElements = 4096 // elements of any array in a message
	maxNesting       = 8
	minCompressBytes = 512 // compression saves less than its header in smaller frames
)

// The first byte of a frame gives its format.
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
			MaxNestedLevels: maxNesting, MaxArrayElements: maxArrayElements, MaxMapPairs: 64,
			IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden,
		}.DecMode()
		if err != nil {
			panic(err)
		}
		return m
	})
)

// encodeFrame encodes a message, and compresses it unless it is shorter than
// minCompressBytes.
func (c *codec) encodeFrame(m *message) ([]byte, error) {
	b, err := encMode().Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("encode message: %w", err)
	}
	if len(b) < minCompressBytes {
		return append([]byte{frameRaw}, b...), nil
	}
	return c.enc.EncodeAll(b, []byte{frameZstd}), nil
}

// decodeFrame decodes a frame from a peer and checks its bounds.
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
	if err := m.validate(); err != nil {
		return nil, err
	}
	return &m, nil
}

func (m *message) validate() error {
	if m.Head != nil {
		if err := validateHead(m.Head); err != nil {
			return err
		}
	}
	for i := range m.Vetoes {
		if err := validateVeto(&m.Vetoes[i]); err != nil {
			return err
		}
	}
	for i := range m.Evacuations {
		if err := m.Evacuations[i].Validate(); err != nil {
			return err
		}
	}
	if r := m.Repair; r != nil && (len(r.Digests) != 0 && len(r.Digests) != membership.BucketCount || len(r.Want) > membership.BucketCount) {
		return fmt.Errorf("repair with %d digests and %d wanted buckets", len(r.Digests), len(r.Want))
	}
	return nil
}

func validateHead(h *source.Head) error {
	if h.Revision == 0 || len(h.Hash) != 64 || len(h.Token) > maxNameBytes || len(h.Author) > maxNameBytes {
		return fmt.Errorf("head of revision %d is malformed", h.Revision)
	}
	return nil
}

func validateVeto(v *source.Veto) error {
	if v.Service == "" || v.Version == "" || v.Attempt < 1 || len(v.Service) > maxNameBytes || len(v.Version) > maxNameBytes ||
		len(v.Route) > 2*maxEvidenceBytes || len(v.Evidence) > maxEvidenceBytes || len(v.Host) > maxNameBytes {
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
	tooLong := func(s string) bool { return len(s) > maxNameBytes }
	if h.ID == "" || h.DataCentre == "" || tooLong(string(h.ID)) || tooLong(string(h.DataCentre)) || tooLong(h.PeerAddress) ||
		tooLong(h.CallAddress) || h.Status < membership.StatusAlive || h.Status > membership.StatusLeft || len(h.Targets) > maxTargets {
		return h, fmt.Errorf("record of host %.64q is malformed", h.ID)
	}
	for _, t := range h.Targets {
		if tooLong(string(t.ID)) || tooLong(string(t.Service)) || tooLong(string(t.Version)) || tooLong(t.Address) {
			return h, fmt.Errorf("record of host %.64q: target %.64q is malformed", h.ID, t.ID)
		}
	}
	return h, nil
}
