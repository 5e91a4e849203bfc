// Package suspectstore keeps the requests that end targets in the platform's store, so
// that they stay rejected when all hosts are started anew at once.
package suspectstore

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"strings"
	"sync"
	"time"

	"github.com/phuslu/log"

	"nutmeghoist.example/nutmeghoist/pkg/pause"
	"nutmeghoist.example/nutmeghoist/pkg/platform"
	"nutmeghoist.example/nutmeghoist/pkg/suspect"
)

const (
	// maxPending bounds the rows that wait for the store.
	maxPending = 64
	retryDelay = time.Second // between attempts to write
)

// Keeper writes and reads the rows of guilty requests. It is safe for concurrent use.
type Keeper struct {
	table    platform.Table
	prefix   string // of the rows' keys
	suspects *suspect.Table
	log      *log.Logger

	mu      sync.Mutex
	pending map[suspect.Key]*suspect.Record // nil for a row to be deleted
	wakeup  chan struct{}
}

// New returns a keeper of the requests that this process finds guilty. Run writes them.
func New(table platform.Table, prefix string, suspects *suspect.Table, logger *log.Logger) *Keeper {
	k := &Keeper{
		table: table, prefix: prefix, suspects: suspects, log: logger,
		pending: make(map[suspect.Key]*suspect.Record), wakeup: make(chan struct{}, 1),
	}
	suspects.OnGuilt(k.note)
	return k
}

// row is the value of a row.
type row struct {
	suspect.Record
	EndedAtMs int64 `json:"ended_at_ms"` // Unix milliseconds of the last end
}

// note queues the row of a guilty request, or its removal when the request was cleared.
func (k *Keeper) note(r suspect.Record, guilty bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if _, queued := k.pending[r.Key]; !queued && len(k.pending) >= maxPending {
		k.log.Warn().Str("request", r.Key.String()).Msg("guilty request is not stored: too many wait for the store")
		return
	}
	k.pending[r.Key] = nil
	if guilty {
		k.pending[r.Key] = &r
	}
	select {
	case k.wakeup <- struct{}{}:
	default:
	}
}

// Run writes queued rows until the context ends. A row whose write failed is written
// again, which has the same effect.
func (k *Keeper) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-k.wakeup:
		}
		for k.writeNext(ctx) {
		}
	}
}

// writeNext writes one queued row and reports whether to go on.
func (k *Keeper) writeNext(ctx context.Context) bool {
	k.mu.Lock()
	var key suspect.Key
	var r *suspect.Record
	found := false
	for key, r = range k.pending {
		found = true
		break
	}
	k.mu.Unlock()
	if !found {
		return false
	}
	w := platform.Write{Key: k.rowKey(key), Delete: r == nil}
	if r != nil {
		value, err := json.Marshal(row{*r, time.Now().UnixMilli() - r.AgeMs})
		if err != nil {
			panic(err) // a struct of numbers and bytes always encodes
		}
		w.Value = value
	}
	if err := k.table.Commit(ctx, platform.Txn{Writes: []platform.Write{w}}); err != nil {
		k.log.Info().Str("request", key.String()).Err(err).Msg("guilty request is not stored yet")
		return pause.For(ctx, retryDelay)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.pending[key] == r {
		delete(k.pending, key)
	}
	return true
}

func (k *Keeper) rowKey(key suspect.Key) string { return k.prefix + hex.EncodeToString(key[:]) }

// IsRow reports whether a row belongs to the keeper.
func (k *Keeper) IsRow(r *platform.Row) bool { return strings.HasPrefix(r.Key, k.prefix) }

// Restore queues the rows of guilty requests that the store has lost.
func (k *Keeper) Restore(rows []platform.Row) {
	present := make(map[string]bool, len(rows))
	for _, r := range rows {
		present[r.Key] = true
	}
	for _, r := range k.suspects.Records() {
		if len(r.Ends) >= suspect.MaxEnds && !present[k.rowKey(r.Key)] {
			k.note(r, true)
		}
	}
}

// Load adds rows to the table of the process, and returns what was new to it. Rows of
// requests that are forgotten meanwhile are deleted.
func (k *Keeper) Load(rows []platform.Row) []suspect.Record {
	var records []suspect.Record
	for _, r := range rows {
		var v row
		if err := json.Unmarshal(r.Value, &v); err != nil || k.rowKey(v.Key) != r.Key {
			k.log.Error().Str("row", r.Key).AnErr("cause", err).Msg("row of a guilty request cannot be read")
			continue
		}
		v.AgeMs = max(0, time.Now().UnixMilli()-v.EndedAtMs)
		if suspect.IsForgotten(&v.Record) {
			k.note(v.Record, false)
			continue
		}
		records = append(records, v.Record)
	}
	return k.suspects.Merge(records)
}
