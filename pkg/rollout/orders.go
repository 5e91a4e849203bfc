package rollout

import (
	"slices"
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/mesh"
	"nutmeghoist.example/nutmeghoist/pkg/platform"
)

// OrderLog decides which order of a service is the newest. The revision of an order is
// the version of its row, which is higher in a later era of the platform's history even
// when the row was only written again, or comes from the copy that the platform was
// restored from. Its zero value is ready for use; the caller serializes calls.
type OrderLog struct {
	newest  Order     // with the revision at which it was first seen
	at      time.Time // when it was first seen
	seen    uint64    // highest revision read
	aliases []uint64  // revisions at which the newest order was read again in later eras
	era     uint64    // the newest era in which the newest order has been recognized
	earlier []content // of the orders before it, the last ones first
	// before is the revision of the order that the newest one is known to follow; 0 when
	// both were read in the era in which this log began, in which either can be of the copy.
	before uint64
}

// content is what two rows of the same order have in common.
type content struct {
	to     mesh.TargetVersion
	within time.Duration
}

func (o *Order) content() content { return content{o.To, o.Within} }

// maxEarlierOrders bounds the earlier orders and the aliases that are remembered.
const maxEarlierOrders = 16

// Verdict is what a row says about the newest order.
type Verdict uint8

// The verdicts.
const (
	OrderKnown   Verdict = iota + 1 // it changes nothing
	OrderNew                        // it is the newest order now
	OrderUnclear                    // it is to be observed again once the platform has settled
)

// Observe applies an order that was read from its row. In an era in which the newest
// order has not been recognized yet, a row with the same content is that order, and one
// with the content of an earlier order comes from the copy. Another one is new once the
// platform has settled: until then the operators may still write again what was lost,
// and also what the copy holds.
func (l *OrderLog) Observe(o Order, settled bool, now time.Time) Verdict {
	if o.Revision <= l.seen {
		return OrderKnown
	}
	era := platform.EraOf(o.Revision)
	if l.seen > 0 && (era > l.era || !settled) && o.content() == l.newest.content() {
		l.seen, l.era = o.Revision, era
		l.aliases = append(l.aliases, o.Revision)
		l.aliases = l.aliases[max(0, len(l.aliases)-maxEarlierOrders):]
		return OrderKnown
	}
	if l.seen > 0 && era > l.era {
		switch {
		case slices.Contains(l.earlier, o.content()):
			l.seen = o.Revision
			return OrderKnown
		case !settled:
			return OrderUnclear
		}
	}
	if l.seen > 0 {
		l.earlier = append([]content{l.newest.content()}, l.earlier...)
		l.earlier = l.earlier[:min(len(l.earlier), maxEarlierOrders)]
		if l.before > 0 || platform.EraOf(l.newest.Revision) < era {
			l.before = l.newest.Revision
		}
	}
	l.newest, l.at, l.seen, l.era, l.aliases = o, now, o.Revision, era, nil
	return OrderNew
}

// Newest returns the newest order and when it was first seen; false without one. known
// is the newest progress of the service that other hosts or the platform have told, or
// nil. If it is of an earlier era, names the same version and does not belong to an order
// before this one, it is the progress of this order: hosts that have seen the order
// before the platform was restored know it by that revision.
func (l *OrderLog) Newest(known *Progress) (Order, time.Time, bool) {
	o := l.newest
	if known != nil && slices.Contains(l.aliases, known.Revision) {
		o.Revision = known.Revision // by a host that did not know the order
	}
	if known != nil && known.To == o.To && known.Revision > l.before && platform.EraOf(known.Revision) < platform.EraOf(o.Revision) {
		o.Revision = known.Revision
	}
	return o, l.at, l.seen > 0
}

// Canonical returns the revision by which this log knows an order: that at which it was
// first seen, for one that has been read again in a later era.
func (l *OrderLog) Canonical(revision uint64) uint64 {
	if slices.Contains(l.aliases, revision) {
		return l.newest.Revision
	}
	return revision
}
