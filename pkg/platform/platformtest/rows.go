package platformtest

import (
	"maps"
	"slices"
	"strings"

	"nutmeghoist.example/nutmeghoist/pkg/platform"
)

// rows holds the rows of the table together with their sorted keys, so that
// reading a page need not sort the whole table.
type rows struct {
	byKey map[string]platform.Row
	keys  []string
}

func newRows() *rows { return &rows{byKey: make(map[string]platform.Row)} }

func (r *rows) clone() *rows { return &rows{maps.Clone(r.byKey), slices.Clone(r.keys)} }

func (r *rows) get(key string) (platform.Row, bool) {
	row, ok := r.byKey[key]
	return copyRow(row), ok
}

func (r *rows) version(key string) uint64 { return r.byKey[key].Version }

func (r *rows) put(row platform.Row) {
	if i, ok := slices.BinarySearch(r.keys, row.Key); !ok {
		r.keys = slices.Insert(r.keys, i, row.Key)
	}
	r.byKey[row.Key] = copyRow(row)
}

func (r *rows) remove(key string) {
	if i, ok := slices.BinarySearch(r.keys, key); ok {
		r.keys = slices.Delete(r.keys, i, i+1)
		delete(r.byKey, key)
	}
}

func (r *rows) page(prefix, after string, limit int) []platform.Row {
	i, found := slices.BinarySearch(r.keys, max(prefix, after))
	if found && r.keys[i] == after {
		i++
	}
	page := []platform.Row{}
	for ; i < len(r.keys) && len(page) < limit && strings.HasPrefix(r.keys[i], prefix); i++ {
		page = append(page, copyRow(r.byKey[r.keys[i]]))
	}
	return page
}

// inRange returns at most limit rows whose keys have the prefix, followed by a
// name of at least from and less than to, and whether there are more. An empty
// name is no bound.
func (r *rows) inRange(prefix, from, to string, limit int) (page []platform.Row, more bool) {
	i, _ := slices.BinarySearch(r.keys, prefix+from)
	for ; i < len(r.keys) && strings.HasPrefix(r.keys[i], prefix) && (to == "" || r.keys[i] < prefix+to); i++ {
		if len(page) == limit {
			return page, true
		}
		page = append(page, copyRow(r.byKey[r.keys[i]]))
	}
	return page, false
}

func copyRow(r platform.Row) platform.Row {
	r.Value = slices.Clone(r.Value)
	return r
}
