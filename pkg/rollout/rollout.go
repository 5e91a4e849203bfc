// Package rollout decides how the traffic of a service moves to a new version
// of its targets, and when a version is bad. It holds no clock, no random
// source and no connection.
package rollout

import (
	"cmp"
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/mesh"
)

// Order is the operators' wish to move a service to a version.
type Order struct {
	Service  mesh.ServiceName
	To       mesh.TargetVersion
	Within   time.Duration // from the acceptance of the order
	Revision uint64        // rises with each order of the service
}

// State is where a rollout stands.
type State string

// The states.
const (
	Running    State = "running"
	Completed  State = "completed"   // all calls go to the new version; the old targets may stop
	RolledBack State = "rolled_back" // no call goes to the new version
)

// IsFinal reports whether the state lasts.
func (s State) IsFinal() bool { return s == Completed || s == RolledBack }

// Progress is what the coordinator of a rollout tells all hosts. It spreads
// with the coordinator's host record.
type Progress struct {
	Service  mesh.ServiceName   `cbor:"1,keyasint" json:"service"`
	To       mesh.TargetVersion `cbor:"2,keyasint" json:"to"`
	Revision uint64             `cbor:"3,keyasint" json:"revision"` // of the order
	Epoch    uint64             `cbor:"4,keyasint" json:"epoch"`    // fencing token of the coordinator
	Step     uint64             `cbor:"5,keyasint" json:"step"`     // counts the changes within an epoch
	Permille int                `cbor:"6,keyasint" json:"permille"` // share of the new version
	State    State              `cbor:"7,keyasint" json:"state"`
	// ElapsedMs is the time since the order was accepted, in milliseconds, when
	// this step began. A coordinator that takes over continues from it.
	ElapsedMs int64       `cbor:"8,keyasint" json:"elapsed_ms"`
	Holder    mesh.HostID `cbor:"9,keyasint" json:"holder"` // the coordinator
}

// Compare orders what is known of one service's rollouts: the order's
// revision decides, then a final state, then the coordinator's epoch and step.
// Of two final states, the roll-back counts.
func (p *Progress) Compare(q *Progress) int {
	return cmp.Or(
		cmp.Compare(p.Revision, q.Revision),
		cmp.Compare(rank(p.State), rank(q.State)),
		cmp.Compare(p.Epoch, q.Epoch),
		cmp.Compare(p.Step, q.Step),
	)
}

func rank(s State) int {
	switch s {
	case RolledBack:
		return 2
	case Completed:
		return 1
	default:
		return 0
	}
}

// stage is a part of the schedule: the share from a part of the time on.
type stage struct {
	from     float64 // part of Order.Within
	permille int
}

// schedule keeps a bad version's share of all calls of the order's time under
// a tenth, even when its fault shows only at the full share: up to there it
// gets 5.6%, which leaves 0.7 s of 16 for the decision.
var schedule = [...]stage{
	{0.00, 0}, {0.06, 40}, {0.53, 120}, {0.59, 250}, {0.65, 500}, {0.68, 1000},
}

// ScheduledShare returns the share of the new version in thousandths, when nothing
// speaks against it.
func ScheduledShare(o *Order, elapsed time.Duration) int {
	part := float64(elapsed) / float64(max(o.Within, 1))
	share := 0
	for _, s := range schedule {
		if part >= s.from {
			share = s.permille
		}
	}
	return share
}

const (
	// MinStage is the least time of a stage: in it, the counts of all hosts reach
	// the coordinator.
	MinStage = 450 * time.Millisecond
	// safePermille is the highest share that a doubtful version keeps.
	safePermille = 120
)

// NextShare returns the share that follows on the current one, which is in force
// for the given time. It leaves out no stage. The share of a doubtful version
// is not raised, and goes back when it is high.
func NextShare(o *Order, current int, elapsed, inForce time.Duration, doubtful bool) int {
	if doubtful {
		return min(current, safePermille)
	}
	due := ScheduledShare(o, elapsed)
	if due <= current || current > 0 && inForce < MinStage {
		return current
	}
	for _, s := range schedule {
		if s.permille > current {
			return s.permille
		}
	}
	return current
}

// completeFrom is the part of the time at which a full share may be reported
// as complete, after a watch at the full share.
const completeFrom = 0.80

// MayComplete reports whether a full share has been watched for long enough.
func MayComplete(o *Order, elapsed time.Duration) bool {
	return float64(elapsed) >= completeFrom*float64(o.Within)
}

// doubtUntil is the part of the time up to which a doubtful version waits for
// more evidence; after it, the version is taken back.
const doubtUntil = 0.88

// MayHold reports whether there is time to wait for more evidence.
func MayHold(o *Order, elapsed time.Duration) bool {
	return float64(elapsed) < doubtUntil*float64(o.Within)
}
