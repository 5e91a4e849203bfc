package move

import (
	"math"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"nutmeghoist.example/nutmeghoist/pkg/mesh"
)

// Side is the group of calls that a counter belongs to.
type Side uint8

// The sides of a comparison.
const (
	SideNew     Side = iota + 1
	SideOld          // the version that the move replaces
	SideControl      // calls to other services in the same data centre
)

// latencyBuckets covers 0.25 ms to about 11 s in factors of the square root of two.
const (
	latencyBuckets = 32
	latencyUnit    = 250 * time.Microsecond
)

// Counters count outcomes. No field decreases within an instance, so two copies
// are merged by the maximum of each field.
type Counters struct {
	Calls      uint64   `cbor:"1,keyasint,omitempty"` // calls that warm targets ran
	Failed     uint64   `cbor:"2,keyasint,omitempty"`
	EarlyEnds  uint64   `cbor:"3,keyasint,omitempty"`
	NoAnswers  uint64   `cbor:"4,keyasint,omitempty"`
	Shed       uint64   `cbor:"5,keyasint,omitempty"`
	Cold       uint64   `cbor:"6,keyasint,omitempty"`  // calls to targets that warm up, not in Calls
	ColdFailed uint64   `cbor:"7,keyasint,omitempty"`  // server errors and early ends of cold targets
	Slow       uint64   `cbor:"8,keyasint,omitempty"`  // control side only: calls slower than usual for their service
	Timed      uint64   `cbor:"9,keyasint,omitempty"`  // control side only: calls whose latency was compared with the usual one
	Latency    []uint64 `cbor:"10,keyasint,omitempty"` // complete calls to warm targets by latency bucket, without trailing zeros
}

// TargetCounters are the counters of one target host.
type TargetCounters struct {
	Host     mesh.HostID `cbor:"1,keyasint"`
	Counters Counters    `cbor:"2,keyasint"`
}

// Evidence holds one node's counters of one side of a move in one data centre
// since the start of its instance.
type Evidence struct {
	Move       mesh.MoveID      `cbor:"1,keyasint"`
	Side       Side             `cbor:"2,keyasint"`
	DataCentre mesh.DataCentre  `cbor:"3,keyasint"` // of the targets
	Instance   uint64           `cbor:"4,keyasint"` // increases when the node's counters restart from zero
	Targets    []TargetCounters `cbor:"5,keyasint"`
	SummaryOf  mesh.DataCentre  `cbor:"6,keyasint,omitempty"` // data centre whose nodes are summed; empty for a single node
}

// EncodeEvidence returns the CBOR encoding of e.
func EncodeEvidence(e []Evidence) ([]byte, error) {
	b, err := cbor.Marshal(e)
	return b, eris.Wrap(err, "encode evidence")
}

// DecodeEvidence is the inverse of EncodeEvidence.
func DecodeEvidence(b []byte) ([]Evidence, error) {
	var e []Evidence
	if err := cbor.Unmarshal(b, &e); err != nil {
		return nil, eris.Wrap(err, "decode evidence")
	}
	return e, nil
}

// latencyBucket returns the latency bucket of d. There are two buckets for each
// doubling.
func latencyBucket(d time.Duration) int {
	if d < latencyUnit {
		return 0
	}
	return min(latencyBuckets-1, 1+int(2*math.Log2(float64(d)/float64(latencyUnit))))
}

// bad reports whether the call ended as a failure of any kind.
func (k OutcomeKind) bad() bool {
	return k == OutcomeFailed || k == OutcomeEarlyEnd || k == OutcomeNoAnswer
}

func (c *Counters) add(o *Outcome) {
	if o.Cold {
		c.Cold++
		if o.Kind == OutcomeFailed || o.Kind == OutcomeEarlyEnd {
			c.ColdFailed++
		}
		return
	}
	switch o.Kind {
	case OutcomeCancelled:
		return
	case OutcomeShed:
		c.Shed++
		return
	case OutcomeFailed:
		c.Failed++
	case OutcomeEarlyEnd:
		c.EarlyEnds++
	case OutcomeNoAnswer:
		c.NoAnswers++
	}
	c.Calls++
	if o.Kind == OutcomeOK {
		c.addLatency(latencyBucket(o.Latency), 1)
	}
}

func (c *Counters) addLatency(bucket int, n uint64) {
	for len(c.Latency) <= bucket {
		c.Latency = append(c.Latency, 0)
	}
	c.Latency[bucket] += n
}

// bad returns the number of calls that ended as failures of any kind.
func (c *Counters) bad() uint64 { return c.Failed + c.EarlyEnds + c.NoAnswers }

// slowCalls returns the number of calls in the buckets from firstSlow on, and of
// all calls with a latency.
func (c *Counters) slowCalls(firstSlow int) (slow, all uint64) {
	for b, n := range c.Latency {
		all += n
		if b >= firstSlow {
			slow += n
		}
	}
	return slow, all
}

func (c Counters) clone() Counters {
	c.Latency = append([]uint64(nil), c.Latency...)
	return c
}

// scalars returns pointers to the scalar counters, for operations that treat all
// of them alike.
func (c *Counters) scalars() [9]*uint64 {
	return [...]*uint64{&c.Calls, &c.Failed, &c.EarlyEnds, &c.NoAnswers, &c.Shed, &c.Cold, &c.ColdFailed, &c.Slow, &c.Timed}
}

// combineScalars sets each scalar counter of c to f of both counters.
func (c *Counters) combineScalars(d *Counters, f func(a, b uint64) uint64) {
	cf, df := c.scalars(), d.scalars()
	for i := range cf {
		*cf[i] = f(*cf[i], *df[i])
	}
}

func (c *Counters) reset() { *c = Counters{Latency: c.Latency[:0]} }

// combine sets each counter of c, with the latencies, to f of both counters.
func (c *Counters) combine(d *Counters, f func(a, b uint64) uint64) {
	c.combineScalars(d, f)
	for len(c.Latency) < len(d.Latency) {
		c.Latency = append(c.Latency, 0)
	}
	for b := range d.Latency {
		c.Latency[b] = f(c.Latency[b], d.Latency[b])
	}
}

func maximum(a, b uint64) uint64 { return max(a, b) }
func sum(a, b uint64) uint64     { return a + b }

// subtract returns a - b, but never less than 0.
func subtract(a, b uint64) uint64 { return a - min(a, b) }
