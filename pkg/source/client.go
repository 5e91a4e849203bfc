package source

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/url"
	"strconv"
	"strings"
	"sync"

	"nutmeghoist.example/nutmeghoist/pkg/platform"
)

// Keys of the rows.
const (
	headKey        = "config/head"
	revisionPrefix = "config/revision/"
	vetoPrefix     = "veto/"
	reportPrefix   = "report/"
	memberPrefix   = "member/"
)

const (
	pageSize = 500 // rows per List; about 500 KB of member rows
	maxPages = 200 // 100,000 rows, well above the 2,200 hosts of the design scale
)

// Source accepts configurations and reads the accepted ones. It is safe for
// concurrent use and keeps no state between calls.
type Source struct {
	table   platform.Table
	objects platform.ObjectStore

	mu  sync.Mutex
	rng *rand.Rand // guarded by mu
}

// New returns a source on the platform's table and object store.
func New(table platform.Table, objects platform.ObjectStore) *Source {
	return &Source{table: table, objects: objects, rng: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))}
}

// Seed replaces the random source of the retry jitter, to make it reproducible.
func (s *Source) Seed(rng *rand.Rand) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rng = rng
}

// Head returns the head, or platform.ErrNotFound before the first revision. It
// does not retry, since nodes poll it.
func (s *Source) Head(ctx context.Context) (Head, error) {
	h, _, err := s.readHead(ctx, headKey)
	return h, err
}

// Revision returns the head of an earlier or the current revision, from the
// history.
func (s *Source) Revision(ctx context.Context, revision uint64) (Head, error) {
	h, _, err := s.readHead(ctx, revisionKey(revision))
	return h, err
}

// Text returns the rules text with the given hash.
func (s *Source) Text(ctx context.Context, hash string) ([]byte, error) {
	data, err := s.objects.Get(ctx, hash)
	if err != nil {
		return nil, fmt.Errorf("rules text: %w", err)
	}
	if err := platform.CheckObject(hash, data); err != nil {
		return nil, fmt.Errorf("rules text: %w", err)
	}
	return data, nil
}

// readHead reads a head from the head row or a history row. It also returns the
// version of the row.
func (s *Source) readHead(ctx context.Context, key string) (Head, uint64, error) {
	row, err := s.table.Get(ctx, key)
	if err != nil {
		return Head{}, 0, fmt.Errorf("read %s: %w", key, err)
	}
	var h Head
	if err := json.Unmarshal(row.Value, &h); err != nil {
		return Head{}, 0, fmt.Errorf("decode %s: %w", key, err)
	}
	if h.Revision == 0 || h.Hash == "" {
		return Head{}, 0, fmt.Errorf("decode %s: revision or hash is missing", key)
	}
	return h, row.Version, nil
}

func revisionKey(revision uint64) string {
	return revisionPrefix + strconv.FormatUint(revision, 10)
}

// rowKey returns the key of a row from a prefix and segments. The segments are
// escaped, so that a slash in a name cannot produce the key of another row.
func rowKey(prefix string, segments ...string) string {
	escaped := make([]string, len(segments))
	for i, s := range segments {
		escaped[i] = url.PathEscape(s)
	}
	return prefix + strings.Join(escaped, "/")
}

// list reads all rows with a prefix, page by page, and decodes them. When some
// rows cannot be decoded, it returns the others together with an error that
// names each bad row.
func list[T any](ctx context.Context, s *Source, prefix string) ([]T, error) {
	var (
		all  []T
		errs []error
	)
	after := ""
	for range maxPages {
		var rows []platform.Row
		err := s.retry(ctx, func() (err error) {
			rows, err = s.table.List(ctx, prefix, after, pageSize)
			return err
		})
		if err != nil {
			return nil, fmt.Errorf("list %s: %w", prefix, err)
		}
		for _, r := range rows {
			var v T
			if err := json.Unmarshal(r.Value, &v); err != nil {
				errs = append(errs, fmt.Errorf("decode %s: %w", r.Key, err))
				continue
			}
			all = append(all, v)
		}
		if len(rows) < pageSize {
			return all, errors.Join(errs...)
		}
		after = rows[len(rows)-1].Key
	}
	return nil, fmt.Errorf("list %s: more than %d rows", prefix, pageSize*maxPages)
}
