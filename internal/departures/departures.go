// Package departures keeps in the platform's store which targets of a host have
// announced that they leave. A departure that was acknowledged holds when all hosts are
// started anew at once.
package departures

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"strings"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"

	"nutmeghoist.example/nutmeghoist/pkg/mesh"
	"nutmeghoist.example/nutmeghoist/pkg/pause"
	"nutmeghoist.example/nutmeghoist/pkg/platform"
)

const (
	// Retention is how long a departure is kept. A heartbeat arrives seconds late at
	// most, and a target ends within a minute or so of its departure.
	Retention = 10 * time.Minute
	// maxDepartures bounds the departures that are kept. The oldest are forgotten first.
	maxDepartures = 64
	// maxWrites bounds the writes of a transaction.
	maxWrites = 100
	// The back-off between attempts to write.
	minBackoff = 150 * time.Millisecond
	maxBackoff = 1500 * time.Millisecond
)

// Departure is the announcement of a target that it leaves.
type Departure struct {
	Target  mesh.TargetID `json:"target"`
	Started int64         `json:"started"` // Unix milliseconds of the target's start
	AtMs    int64         `json:"at_ms"`   // Unix milliseconds of the announcement
}

// Keeper writes and reads the rows of the departures of one host. It is safe for
// concurrent use.
type Keeper struct {
	table   platform.Table
	all     string // prefix of the rows' keys of all hosts
	own     string // prefix of those of this host
	log     *log.Logger
	metrics metrics.Registry
	wakeup  chan struct{}

	mu   sync.Mutex
	kept map[mesh.TargetID]*departure
}

// departure is a departure with the state of its row.
type departure struct {
	Departure
	stored chan struct{} // closed when the row is in the store
}

func (d *departure) isStored() bool {
	select {
	case <-d.stored:
		return true
	default:
		return false
	}
}

// New returns a keeper of the departures of a host, whose rows have keys that begin with
// the prefix. Run writes them.
func New(table platform.Table, prefix string, host mesh.HostID, registry metrics.Registry, logger *log.Logger) *Keeper {
	return &Keeper{
		table: table, all: prefix, own: prefix + string(host) + "/", log: logger, metrics: registry,
		wakeup: make(chan struct{}, 1), kept: make(map[mesh.TargetID]*departure),
	}
}

// Store records a departure and waits until its row is in the store. The row is written
// later when the context ends before that.
func (k *Keeper) Store(ctx context.Context, target mesh.TargetID, started int64) error {
	stored := k.add(Departure{Target: target, Started: started, AtMs: time.Now().UnixMilli()})
	select {
	case <-stored:
		return nil
	default:
	}
	k.wake()
	select {
	case <-stored:
		return nil
	case <-ctx.Done():
		k.count("departures.unstored")
		return ctx.Err()
	}
}

// add keeps a departure, unless it or that of a later start of the target is known. It
// returns the channel that is closed when the row is in the store.
func (k *Keeper) add(d Departure) <-chan struct{} {
	k.mu.Lock()
	defer k.mu.Unlock()
	if known := k.kept[d.Target]; known != nil && known.Started >= d.Started {
		return known.stored
	}
	for len(k.kept) >= maxDepartures {
		delete(k.kept, k.oldest())
	}
	added := &departure{Departure: d, stored: make(chan struct{})}
	k.kept[d.Target] = added
	return added.stored
}

func (k *Keeper) oldest() (oldest mesh.TargetID) {
	var at int64
	for id, d := range k.kept {
		if oldest == "" || d.AtMs < at {
			oldest, at = id, d.AtMs
		}
	}
	return oldest
}

func (k *Keeper) wake() {
	select {
	case k.wakeup <- struct{}{}:
	default:
	}
}

// Run writes the rows of departures until the context ends.
func (k *Keeper) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-k.wakeup:
		}
		for backoff := minBackoff; !k.write(ctx); backoff = min(maxBackoff, 2*backoff) {
			if !pause.For(ctx, backoff) {
				return
			}
		}
	}
}

// write writes the rows that are not in the store and deletes those that are no longer
// needed, in one transaction. It reports whether no row is left to write. Rows are
// written unconditionally: a write that takes effect late has the same content.
func (k *Keeper) write(ctx context.Context) bool {
	var pending []*departure
	var txn platform.Txn
	var expired []mesh.TargetID
	k.mu.Lock()
	for id, d := range k.kept {
		if time.Since(time.UnixMilli(d.AtMs)) > Retention {
			expired = append(expired, id)
		} else if !d.isStored() && len(txn.Writes) < maxWrites-maxDepartures {
			pending = append(pending, d)
			txn.Writes = append(txn.Writes, platform.Write{Key: k.rowKey(id), Value: encode(d.Departure)})
		}
	}
	k.mu.Unlock()
	if len(pending) == 0 {
		return true // what has expired is deleted with the next row
	}
	for _, id := range expired {
		txn.Writes = append(txn.Writes, platform.Write{Key: k.rowKey(id), Delete: true})
	}
	if err := k.table.Commit(ctx, txn); err != nil {
		k.count("departures.write_failed")
		k.log.Warn().Str("target", string(pending[0].Target)).Int("rows", len(pending)).Err(err).Msg("departure is not stored yet")
		return false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, d := range pending {
		if !d.isStored() {
			close(d.stored)
		}
	}
	for _, id := range expired {
		delete(k.kept, id)
	}
	k.log.Info().Str("target", string(pending[0].Target)).Int("rows", len(pending)).Msg("departure stored")
	for _, d := range k.kept {
		if !d.isStored() {
			return false
		}
	}
	return true
}

func encode(d Departure) []byte {
	value, err := json.Marshal(d)
	if err != nil {
		panic(err) // a struct of numbers and a text always encodes
	}
	return value
}

// rowKey returns the key of a target's row. Keys are bounded, and names of targets are not.
func (k *Keeper) rowKey(id mesh.TargetID) string {
	sum := sha256.Sum256([]byte(id))
	return k.own + hex.EncodeToString(sum[:8])
}

// IsRow reports whether a row is that of a departure, of this host or of another one.
func (k *Keeper) IsRow(r *platform.Row) bool { return strings.HasPrefix(r.Key, k.all) }

// Load adds the rows of this host and returns the departures that still hold.
func (k *Keeper) Load(rows []platform.Row) []Departure {
	var loaded []Departure
	for _, r := range rows {
		if !strings.HasPrefix(r.Key, k.own) {
			continue
		}
		var d Departure
		if err := json.Unmarshal(r.Value, &d); err != nil || k.rowKey(d.Target) != r.Key {
			k.count("departures.unreadable")
			k.log.Error().Str("row", r.Key).AnErr("cause", err).Msg("row of a departure cannot be read")
			continue
		}
		d.AtMs = min(d.AtMs, time.Now().UnixMilli()) // clocks differ, and rows can come from other writers
		k.add(d)
		k.markStored(d)
		if time.Since(time.UnixMilli(d.AtMs)) <= Retention {
			loaded = append(loaded, d)
		}
	}
	return loaded
}

func (k *Keeper) markStored(d Departure) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if known := k.kept[d.Target]; known != nil && known.Started == d.Started && !known.isStored() {
		close(known.stored)
	}
}

// Restore writes all rows again, since the store may have lost them.
func (k *Keeper) Restore() {
	k.mu.Lock()
	for id, d := range k.kept {
		if d.isStored() {
			k.kept[id] = &departure{Departure: d.Departure, stored: make(chan struct{})}
		}
	}
	k.mu.Unlock()
	k.wake()
}

func (k *Keeper) count(name string) { metrics.GetOrRegisterCounter(name, k.metrics).Inc(1) }
