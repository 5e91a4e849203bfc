package quota

import (
	"errors"
	"fmt"
	"sync"

	"github.com/fxamacker/cbor/v2"

	"nutmeghoist.example/nutmeghoist/pkg/mesh"
)

const (
	// messageMark is the first byte of an encoded message. CBOR items do not begin with
	// it, so that messages of other kinds are told apart.
	messageMark = 0xFF
	maxItems    = 256
	maxTokens   = 1 << 16
	maxNameSize = 256
)

// kind is what a message is for.
type kind uint8

const (
	kindAsk     kind = 1 // asks for tokens, and delegates the sender's part when it bears a stamp
	kindRelease kind = 2 // ends the sender's delegation
	kindGrant   kind = 3 // answers both
)

// Message is sent from one host to another.
type Message struct {
	_        struct{} `cbor:",toarray"`
	Kind     kind
	From, To mesh.HostID
	Slot     int
	Seq      uint64 // of the ask or release
	// Start and Stamp are the lender's process and time. An ask repeats those of the
	// last grant.
	Start, Stamp uint64
	LeaseMS      int // how long after Stamp the sender's part is delegated
	Sharing      int // hosts that share the limits, as the sender knows
	Released     bool
	Busy         bool // the lender is slow to reach others, which should take another
	Items        []Item
}

// Item is what a host asks for a team, or is lent.
type Item struct {
	_      struct{} `cbor:",toarray"`
	Team   mesh.TeamName
	Tokens int
	NextMS int // until the next token, when fewer were lent than asked for
}

var decMode = sync.OnceValue(func() cbor.DecMode {
	m, err := cbor.DecOptions{
		MaxArrayElements: maxItems, MaxNestedLevels: 4,
		IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden,
	}.DecMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return m
})

// IsMessage reports whether an encoded message of a node is one of this package.
func IsMessage(b []byte) bool { return len(b) > 0 && b[0] == messageMark }

// Encode returns the encoded message.
func (m *Message) Encode() ([]byte, error) {
	b, err := cbor.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("encode message to host %q: %w", m.To, err)
	}
	return append([]byte{messageMark}, b...), nil
}

var errNotMessage = errors.New("message is not about limits of teams")

// Decode returns a message whose values are within their bounds.
func Decode(b []byte) (*Message, error) {
	if !IsMessage(b) {
		return nil, errNotMessage
	}
	var m Message
	if err := decMode().Unmarshal(b[1:], &m); err != nil {
		return nil, fmt.Errorf("decode message: %w", err)
	}
	if m.Kind < kindAsk || m.Kind > kindGrant || m.Slot < 0 || m.Slot >= Slots || m.From == "" || len(m.From) > maxNameSize ||
		m.LeaseMS < 0 || m.Sharing < 0 || m.Sharing > maxSharing {
		return nil, fmt.Errorf("message from host %q is out of bounds", m.From)
	}
	for _, i := range m.Items {
		if i.Tokens < 0 || i.Tokens > maxTokens || i.NextMS < 0 || len(i.Team) > maxNameSize {
			return nil, fmt.Errorf("item of team %q from host %q is out of bounds", i.Team, m.From)
		}
	}
	return &m, nil
}
