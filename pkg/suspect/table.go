package suspect

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// EndID identifies one end of a target's process.
type EndID uint64

const (
	// MaxEnds is the number of ends after which a request is not sent any more.
	MaxEnds = 3
	// maxRecords bounds the requests that are remembered. Under a flood of different
	// ones those with the fewest ends are forgotten first, then the oldest.
	maxRecords = 1024
	// maxRecordEnds bounds the ends that a record names.
	maxRecordEnds = 8
	// restartHold is how long a request is held after the second end: the time in
	// which a target is usually back, so that it takes down one target at a time.
	restartHold = 5 * time.Second
	// rejectTime is how long a request is rejected after the third end, and after each
	// further one.
	rejectTime = 10 * time.Minute
	// retention is how long a record is kept after its last change. It is longer than
	// rejectTime, so that a request that ends a target again is rejected at once.
	retention = 2 * rejectTime
)

// provenHolds are the holds of a request that has completed before, by the rounds of
// ends. Targets that end together for another reason take requests with them that all
// of them serve; a short hold is enough until one completes again. After more rounds it
// is held like any other request.
var provenHolds = [...]time.Duration{time.Second, 2 * time.Second, 4 * time.Second}

// roundTime is the time between two ends from which they belong to different rounds.
const roundTime = time.Second

// Record is what is known about a request under which targets have ended.
type Record struct {
	Key Key `cbor:"1,keyasint" json:"key"`
	// Generation is raised when the request has completed, which clears it. A record
	// of a higher generation replaces those of lower ones.
	Generation uint64  `cbor:"2,keyasint,omitempty" json:"generation,omitempty"`
	Ends       []EndID `cbor:"3,keyasint,omitempty" json:"ends,omitempty"`   // in ascending order
	Rounds     int     `cbor:"6,keyasint,omitempty" json:"rounds,omitempty"` // groups of ends that came together
	// Proven means that the request had completed before.
	Proven bool `cbor:"4,keyasint,omitempty" json:"proven,omitempty"`
	// AgeMs is the time since the last end, or since the request was cleared, in
	// milliseconds.
	AgeMs int64 `cbor:"5,keyasint,omitempty" json:"-"`
}

// Verdict is what may be done with a request.
type Verdict uint8

// The verdicts.
const (
	Clear    Verdict = iota // it is sent like any other
	Trial                   // it is sent to one target, where no other trial runs
	Rejected                // it is not sent
)

// Decision is the verdict on a request at a moment.
type Decision struct {
	Verdict Verdict
	// RetryAfter is the time until the request is tried again, if it is rejected.
	RetryAfter time.Duration
	Ends       int // known so far
}

// Table holds the records of a process. It is safe for concurrent use, and an empty
// table costs no lock.
type Table struct {
	size atomic.Int64

	mu       sync.Mutex
	records  map[Key]*entry
	onChange func([]Record)
	onGuilt  func(r Record, guilty bool)
}

// entry is a record with the time of its last end, or of its clearing.
type entry struct {
	generation uint64
	ends       []EndID
	rounds     int
	proven     bool
	at         time.Time
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{records: make(map[Key]*entry)} }

// OnChange sets the function that is called with the records that this process changes
// by its own evidence, so that others learn of them. It is set before the first use.
func (t *Table) OnChange(f func([]Record)) { t.onChange = f }

// OnGuilt sets the function that is called when this process has added an end to a
// request under which MaxEnds targets or more have ended, and when it has cleared one.
// It is set before the first use.
func (t *Table) OnGuilt(f func(r Record, guilty bool)) { t.onGuilt = f }

// Observation is a request that a target ran when it ended. Proven means that the
// request had completed before.
type Observation struct {
	Key    Key
	Proven bool
}

// RecordEnd adds the end of a target to the records of the requests that it ran. It
// returns the number of ends of each of them.
func (t *Table) RecordEnd(end EndID, running []Observation) map[Key]int {
	now := time.Now()
	counts := make(map[Key]int, len(running))
	t.mu.Lock()
	var changed []Record
	for _, o := range running {
		e := t.entry(o.Key, now)
		if e.addEnd(end, now) {
			e.proven = e.proven || o.Proven
			changed = append(changed, e.record(o.Key, now))
		}
		counts[o.Key] = len(e.ends)
	}
	t.evict()
	t.mu.Unlock()
	t.notify(changed)
	return counts
}

// RecordCompletion clears a request that has completed: one that ends each target
// that runs it never does. It reports whether ends were known.
func (t *Table) RecordCompletion(key Key) bool {
	if t.Len() == 0 {
		return false
	}
	now := time.Now()
	t.mu.Lock()
	e := t.records[key]
	if e == nil || len(e.ends) == 0 {
		t.mu.Unlock()
		return false
	}
	wasGuilty := len(e.ends) >= MaxEnds
	e.generation, e.ends, e.rounds, e.proven, e.at = e.generation+1, nil, 0, true, now
	changed := []Record{e.record(key, now)}
	t.mu.Unlock()
	t.notify(changed)
	if wasGuilty && t.onGuilt != nil {
		t.onGuilt(changed[0], false)
	}
	return true
}

// IsForgotten reports whether a record is too old to count.
func IsForgotten(r *Record) bool { return time.Duration(r.AgeMs)*time.Millisecond >= retention }

// Merge adds records of another process. It returns those from which this process has
// learned something.
func (t *Table) Merge(records []Record) []Record {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	var changed []Record
	for i := range records {
		r := &records[i]
		at := now.Add(-time.Duration(max(0, r.AgeMs)) * time.Millisecond)
		if now.Sub(at) >= retention || len(r.Ends) > maxRecordEnds || len(r.Ends) == 0 && r.Generation == 0 {
			continue
		}
		if t.entry(r.Key, at).merge(r, at) {
			changed = append(changed, t.records[r.Key].record(r.Key, now))
		}
	}
	t.evict()
	return changed
}

// Decide returns what may be done with a request.
func (t *Table) Decide(key Key) Decision {
	if t.Len() == 0 {
		return Decision{}
	}
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.records[key]
	if e == nil {
		return Decision{}
	}
	if now.Sub(e.at) >= retention {
		delete(t.records, key)
		t.size.Store(int64(len(t.records)))
		return Decision{}
	}
	return e.decide(now)
}

// Len returns the number of records.
func (t *Table) Len() int { return int(t.size.Load()) }

// Records returns all records.
func (t *Table) Records() []Record {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]Record, 0, len(t.records))
	for key, e := range t.records {
		if now.Sub(e.at) < retention {
			out = append(out, e.record(key, now))
		}
	}
	return out
}

func (t *Table) notify(changed []Record) {
	if len(changed) > 0 && t.onChange != nil {
		t.onChange(changed)
	}
	for _, r := range changed {
		if len(r.Ends) >= MaxEnds && t.onGuilt != nil {
			t.onGuilt(r, true)
		}
	}
}

// entry returns the entry of a key, which it adds if there is none; t.mu must be held.
func (t *Table) entry(key Key, at time.Time) *entry {
	e := t.records[key]
	if e == nil {
		e = &entry{at: at}
		t.records[key] = e
		t.size.Store(int64(len(t.records)))
	}
	return e
}

// evict removes records above maxRecords; t.mu must be held.
func (t *Table) evict() {
	if len(t.records) <= maxRecords {
		return
	}
	keys := make([]Key, 0, len(t.records))
	for key := range t.records {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b Key) int {
		x, y := t.records[a], t.records[b]
		return cmp.Or(cmp.Compare(min(len(x.ends), MaxEnds), min(len(y.ends), MaxEnds)), x.at.Compare(y.at))
	})
	// A part more than necessary is removed, so that not each new record sorts them.
	for _, key := range keys[:len(keys)-maxRecords*7/8] {
		delete(t.records, key)
	}
	t.size.Store(int64(len(t.records)))
}

func (e *entry) record(key Key, now time.Time) Record {
	return Record{Key: key, Generation: e.generation, Ends: slices.Clone(e.ends), Rounds: e.rounds, Proven: e.proven, AgeMs: now.Sub(e.at).Milliseconds()}
}

// addEnd adds an end at a time and reports whether it was not known.
func (e *entry) addEnd(end EndID, at time.Time) bool {
	i, known := slices.BinarySearch(e.ends, end)
	if known || len(e.ends) >= maxRecordEnds {
		return false
	}
	if len(e.ends) == 0 || at.Sub(e.at) >= roundTime {
		e.rounds++
	}
	if len(e.ends) == 0 || at.After(e.at) {
		e.at = at
	}
	e.ends = slices.Insert(e.ends, i, end)
	return true
}

// merge adds what another process knows and reports whether that is new.
func (e *entry) merge(r *Record, at time.Time) bool {
	if r.Generation < e.generation {
		return false
	}
	changed := false
	if r.Generation > e.generation {
		*e, changed = entry{generation: r.Generation, proven: e.proven, at: at}, true
	}
	for _, end := range r.Ends {
		changed = e.addEnd(end, at) || changed
	}
	if r.Proven && !e.proven {
		e.proven, changed = true, true
	}
	e.rounds = max(e.rounds, r.Rounds)
	return changed
}

// decide holds a request longer the more targets have ended under it. A request that
// only ran beside a guilty one is cleared by its first trial, since two trials do not
// run at the same target.
func (e *entry) decide(now time.Time) Decision {
	d := Decision{Ends: len(e.ends)}
	if d.Ends == 0 || d.Ends == 1 && e.proven {
		return d
	}
	d.Verdict = Trial
	if left := e.hold() - now.Sub(e.at); left > 0 {
		d.Verdict, d.RetryAfter = Rejected, left
	}
	return d
}

// hold returns how long the request is not sent after its last end.
func (e *entry) hold() time.Duration {
	n := len(e.ends)
	switch {
	case e.proven && e.rounds <= len(provenHolds):
		return provenHolds[e.rounds-1]
	case n >= MaxEnds:
		return rejectTime
	case n == MaxEnds-1:
		return restartHold
	}
	return 0
}
