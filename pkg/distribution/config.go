package distribution

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/evacuation"
	"nutmeghoist.example/nutmeghoist/pkg/membership"
	"nutmeghoist.example/nutmeghoist/pkg/mesh"
	"nutmeghoist.example/nutmeghoist/pkg/source"
	"nutmeghoist.example/nutmeghoist/pkg/suspect"
)

// Timers of the protocol. The failure detector must replace a silent link
// within 5 s: one missed heartbeat, a second for delay, and one attempt to open
// a new link.
const (
	HeartbeatPeriod = 2 * time.Second
	silenceTimeout  = 3 * time.Second
	dialTimeout     = time.Second
	sendTimeout     = time.Second
	requestTimeout  = 2 * time.Second
	fetchTimeout    = 5 * time.Second
	// pushTimeout bounds how long the delivery of a head waits for the neighbours
	// to acknowledge it, since one stuck link must not delay activation.
	pushTimeout = 250 * time.Millisecond
	tickPeriod  = 500 * time.Millisecond
	// idleTickPeriod bounds the time until expired records are removed.
	idleTickPeriod = 30 * time.Second
	relinkJitter   = time.Second // full jitter after a change of neighbours
	maxBackoff     = 8 * time.Second
)

// Fault names a kind of event that is counted and reported to Config.OnFault.
type Fault string

// The faults that the engine reports.
const (
	FaultHeadConflict  Fault = "head_conflict"  // same revision, another hash
	FaultBadObject     Fault = "bad_object"     // text does not have the hash of its head
	FaultBadMessage    Fault = "bad_message"    // a peer sent something invalid
	FaultSilentLink    Fault = "silent_link"    // a link made no progress and was replaced
	FaultDialFailed    Fault = "dial_failed"    // a neighbour did not accept a link
	FaultDuplicateHost Fault = "duplicate_host" // another process uses this host's ID
	FaultFetchFailed   Fault = "fetch_failed"   // neither a neighbour nor the store had an object
	FaultVetoLimit     Fault = "veto_limit"     // the set of vetoes is full
	FaultUnauthorized  Fault = "unauthorized"   // a peer presented a wrong certificate
)

// Counters receives the metrics of the engine. Their names are stable.
type Counters interface {
	Count(name string, n int64)
}

type noCounters struct{}

func (noCounters) Count(string, int64) {}

// Config configures a Gossip. Members, Transport and ActiveVersion are required.
type Config struct {
	Members   *membership.Table
	Transport Transport
	// Seeds are addresses of hosts through which this host joins the mesh. A seed
	// is also dialled later, while no live host is known at its address.
	Seeds []string
	// ActiveVersion returns the version that this host has in force.
	ActiveVersion func() mesh.ConfigVersion
	// OnHead is called for each newer head, one at a time and in ascending order
	// of revision. Heads that are superseded meanwhile are skipped. Each head is
	// pushed to the neighbours first. The text must not be changed.
	OnHead func(head source.Head, text []byte)
	// OnVeto is called once for each new veto, one at a time.
	OnVeto func(source.Veto)
	// Suspects are the requests under which targets have ended. What this host learns of
	// them is sent to all hosts. Without it, the records of other hosts are not kept.
	Suspects *suspect.Table
	// Evacuations are the evacuated data centres. What this host learns of them is sent to
	// all hosts.
	Evacuations *evacuation.Table
	// Fetch reads an object, the rules text with the given hash, from the object
	// store. It is called only when no neighbour has supplied the object.
	Fetch func(ctx context.Context, hash string) ([]byte, error)
	// OnFault is called for each fault, with the peer if there is one. It must
	// not block.
	OnFault func(f Fault, peer mesh.HostID, err error)
	// Guard runs a unit of work, such as the handling of one message, and reports
	// whether it panicked. Without it, a panic ends the process.
	Guard    func(unit string, work func()) (panicked bool)
	Counters Counters
	Rand     *rand.Rand
}

// validate checks the required fields and sets defaults for the others.
func (c *Config) validate() error {
	if c.Members == nil || c.Transport == nil || c.ActiveVersion == nil {
		return errors.New("distribution: Members, Transport and ActiveVersion are required")
	}
	if c.OnHead == nil {
		c.OnHead = func(source.Head, []byte) {}
	}
	if c.OnVeto == nil {
		c.OnVeto = func(source.Veto) {}
	}
	if c.OnFault == nil {
		c.OnFault = func(Fault, mesh.HostID, error) {}
	}
	if c.Guard == nil {
		c.Guard = func(_ string, work func()) bool { work(); return false }
	}
	if c.Suspects == nil {
		c.Suspects = suspect.NewTable()
	}
	if c.Evacuations == nil {
		c.Evacuations = evacuation.NewTable()
	}
	if c.Counters == nil {
		c.Counters = noCounters{}
	}
	if c.Rand == nil {
		c.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	return nil
}

// Limits of the polling of the head; pollsPerSecond is the rate of all hosts of
// a data centre together.
const (
	pollsPerSecond    = 2
	minMeanPollPeriod = 500 * time.Millisecond
	// maxPollFactor truncates the exponential distribution at this multiple of
	// the mean, so that no host goes unexpectedly long without a poll.
	maxPollFactor = 5
)

// PollPeriod returns a random time until the next poll of the head. Its mean is
// the number of live hosts of the data centre divided by two, in seconds, so
// that the data centre makes about two reads a second whatever its size.
func PollPeriod(liveHosts int, rng *rand.Rand) time.Duration {
	mean := max(time.Duration(liveHosts)*time.Second/pollsPerSecond, minMeanPollPeriod)
	return time.Duration(min(rng.ExpFloat64(), maxPollFactor) * float64(mean))
}
