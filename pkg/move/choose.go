package move

import (
	"encoding/binary"
	"math/bits"
	"time"

	"github.com/cespare/xxhash/v2"

	"nutmeghoist.example/nutmeghoist/pkg/mesh"
	"nutmeghoist.example/nutmeghoist/pkg/rules"
)

// choiceTable holds the data that Choose reads. It is immutable and replaced as
// a whole.
type choiceTable struct {
	byRule map[*rules.Rule]choice // rules of the applied snapshot, looked up without computing a MoveID
	byID   map[mesh.MoveID]choice
}

type choice struct {
	salt  uint64
	share Share
}

// Choose returns the version for a call. It implements Chooser and takes no
// lock.
func (c *Controller) Choose(r *rules.Rule, key uint64) mesh.TargetVersion {
	if !r.IsMove() {
		return r.Version
	}
	t := c.choices.Load()
	ch, ok := t.byRule[r]
	if !ok {
		ch = t.byID[r.MoveID()] // the zero value selects the old version
	}
	if position(ch.salt, key) < ch.share {
		return r.Version
	}
	return r.From
}

// position maps a call to a uniformly distributed value in [0, FullShare). The
// call goes to the new version when the share exceeds its position, so a growing
// share never moves a call back.
func position(salt, key uint64) Share {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], salt)
	binary.LittleEndian.PutUint64(b[8:], key)
	hi, _ := bits.Mul64(xxhash.Sum64(b[:]), uint64(FullShare))
	return Share(hi)
}

// share returns the share of the new version in effect on this node.
func (p *progress) share(now time.Time) Share {
	switch {
	case p.state == StateTakenBack || p.state == StateWithdrawn:
		return 0
	case p.noNewTargets:
		return 0
	case p.onlyNewTargets && p.schedule.Step(now) == lastStep:
		return FullShare
	case p.step < 0:
		return 0
	}
	return steps[p.step]
}

// publish replaces the table that Choose reads.
func (c *Controller) publish() {
	if !c.rulesChanged && c.publishedSharesCurrent() {
		return
	}
	c.rulesChanged = false
	t := &choiceTable{byRule: make(map[*rules.Rule]choice, len(c.ruleIDs)), byID: make(map[mesh.MoveID]choice, len(c.moves))}
	for id, p := range c.moves {
		t.byID[id] = choice{salt: xxhash.Sum64String(string(id)), share: p.share(c.now)}
	}
	for r, id := range c.ruleIDs {
		t.byRule[r] = t.byID[id]
	}
	c.choices.Store(t)
}

// publishedSharesCurrent reports whether the published table holds the current
// share of each move.
func (c *Controller) publishedSharesCurrent() bool {
	t := c.choices.Load()
	for id, p := range c.moves {
		if t.byID[id].share != p.share(c.now) {
			return false
		}
	}
	return true
}
