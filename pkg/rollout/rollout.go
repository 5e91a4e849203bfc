// Package rollout decides how the traffic of a service is shifted to a new version
// of its targets, and when a version is bad. It has no clock, random source or
// connection of its own.
package rollout

import (
	"cmp"
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/mesh"
)

// Order is an operator's request to move a service to a version.
type Order struct {
	Service  mesh.ServiceName
	To       mesh.TargetVersion
	Within   time.Duration // time limit, from the acceptance of the order
	Revision uint64        // increases with each order of the service
}

// State is the state of a rollout.
type State string

// The states.
const (
	Running    State = "running"
	Completed  State = "completed"   // all calls go to the new version; the old targets may stop
	RolledBack State = "rolled_back" // no call goes to the new version
)

// IsFinal reports whether the rollout has ended.
func (s State) IsFinal() bool { return s == Completed || s == RolledBack }

// IsValid reports whether the state is one of those above.
func (s State) IsValid() bool { return s == Running || s.IsFinal() }

// Progress is the progress of a rollout, which its coordinator publishes to all
// hosts in its own host record.
type Progress struct {
	Service  mesh.ServiceName   `cbor:"1,keyasint" json:"service"`
	To       mesh.TargetVersion `cbor:"2,keyasint" json:"to"`
	Revision uint64             `cbor:"3,keyasint" json:"revision"` // of the order
	Epoch    uint64             `cbor:"4,keyasint" json:"epoch"`    // fencing token of the coordinator
	Step     uint64             `cbor:"5,keyasint" json:"step"`     // increases with each change within an epoch
	Permille int                `cbor:"6,keyasint" json:"permille"` // share of the new version, in thousandths
	State    State              `cbor:"7,keyasint" json:"state"`
	// ElapsedMs is the time from the acceptance of the order to the start of this
	// step. A new coordinator continues from it.
	ElapsedMs int64       `cbor:"8,keyasint" json:"elapsed_ms"`
	Holder    mesh.HostID `cbor:"9,keyasint" json:"holder"` // the coordinator
	// StoredEra is the era of the platform's history in which a final state was last
	// found or written in the platform's table.
	StoredEra uint64 `cbor:"10,keyasint,omitempty" json:"-"`
	// From is the version that served the calls when the rollout began. It is empty when no
	// coordinator has known one.
	From mesh.TargetVersion `cbor:"11,keyasint,omitempty" json:"from,omitempty"`
}

// StableVersion returns the version that serves the calls that do not go to To: To itself
// once the rollout is completed. It is empty when it is not known.
func (p *Progress) StableVersion() mesh.TargetVersion {
	if p.State == Completed {
		return p.To
	}
	return p.From
}

// Compare orders the progress of one service's rollouts by the order's revision,
// then by a final state, then by the coordinator's epoch and step. Of two final
// states, the roll-back takes precedence, and then the era in which it is stored.
func (p *Progress) Compare(o *Progress) int {
	return cmp.Or(
		cmp.Compare(p.Revision, o.Revision),
		cmp.Compare(rank(p.State), rank(o.State)),
		cmp.Compare(p.Epoch, o.Epoch),
		cmp.Compare(p.Step, o.Step),
		cmp.Compare(p.StoredEra, o.StoredEra),
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

type stage struct {
	fromPart float64 // start, as a part of Order.Within
	permille int     // share of the new version
}

// schedule keeps a bad version's share of all calls during Order.Within below a
// tenth, even when its fault shows only at the full share: before that it gets
// 5.6%, which leaves 0.7 s of 16 s for the decision.
var schedule = [...]stage{
	{0.00, 0}, {0.06, 40}, {0.53, 120}, {0.59, 250}, {0.65, 500}, {0.68, 1000},
}

// ScheduledShare returns the share of the new version that the schedule allows, in
// thousandths.
func ScheduledShare(o *Order, elapsed time.Duration) int {
	part := float64(elapsed) / float64(max(o.Within, 1))
	share := 0
	for _, s := range schedule {
		if part >= s.fromPart {
			share = s.permille
		}
	}
	return share
}

const (
	// MinStageTime is the minimum duration of a stage. It is long enough for the
	// counts of all hosts to reach the coordinator.
	MinStageTime = 450 * time.Millisecond
	// maxHoldPermille is the highest share of a version that is on hold.
	maxHoldPermille = 120
)

const (
	// minCompletePart is the part of Order.Within after which a rollout may complete,
	// and watchPart the part for which the version is watched at the full share.
	minCompletePart = 0.80
	watchPart       = 0.12
	// hurryPart is the part of Order.Within from which MinStageTime is enough, since the
	// rollout would be late otherwise. One that is late already does not hurry.
	hurryPart = 0.95
)

// MayComplete reports whether the full share, which has been in force for inForce, has
// been watched for long enough.
func MayComplete(o *Order, elapsed, inForce time.Duration) bool {
	part := float64(elapsed) / float64(max(o.Within, 1))
	watch := time.Duration(watchPart * float64(o.Within))
	if part >= hurryPart && part < 1 {
		watch = min(watch, MinStageTime)
	}
	return part >= minCompletePart && inForce >= watch
}

// maxHoldPart is the part of Order.Within up to which a rollout may be on hold and
// wait for more evidence. After that it is rolled back.
const maxHoldPart = 0.88

// MayHold reports whether there is time left to hold the share and wait for more
// evidence.
func MayHold(o *Order, elapsed time.Duration) bool {
	return float64(elapsed) < maxHoldPart*float64(o.Within)
}
