package rules

import (
	"slices"
	"sort"
)

// ChangeKind tells whether a line was added or removed.
type ChangeKind string

// The kinds of change.
const (
	Added   ChangeKind = "added"
	Removed ChangeKind = "removed"
)

// Change is one line that differs between two texts. Line counts from 1, in
// the first text for a removed line and in the second for an added one.
type Change struct {
	Kind ChangeKind `json:"kind"`
	Line int        `json:"line"`
	Text string     `json:"text"`
}

// Diff compares two texts line by line and ignores differences in line endings.
// It uses the patience diff algorithm: lines that are unique in both texts are
// matched first, then the ranges between them are compared. This takes
// O(n log n) and suits rules files, where most lines are unique.
func Diff(before, after []byte) []Change {
	d := differ{a: lines(before), b: lines(after)}
	d.compare(0, len(d.a), 0, len(d.b))
	return d.changes
}

func lines(text []byte) []string {
	var all []string
	for _, line := range splitLines(text) {
		all = append(all, line)
	}
	return all
}

type differ struct {
	a, b    []string
	changes []Change
}

// compare compares a[a0:a1] with b[b0:b1].
func (d *differ) compare(a0, a1, b0, b1 int) {
	for a0 < a1 && b0 < b1 && d.a[a0] == d.b[b0] {
		a0, b0 = a0+1, b0+1
	}
	for a0 < a1 && b0 < b1 && d.a[a1-1] == d.b[b1-1] {
		a1, b1 = a1-1, b1-1
	}
	anchors := d.anchors(a0, a1, b0, b1)
	if len(anchors) == 0 {
		d.replace(a0, a1, b0, b1)
		return
	}
	for _, p := range anchors {
		d.compare(a0, p.a, b0, p.b)
		a0, b0 = p.a+1, p.b+1
	}
	d.compare(a0, a1, b0, b1)
}

func (d *differ) replace(a0, a1, b0, b1 int) {
	for i := a0; i < a1; i++ {
		d.changes = append(d.changes, Change{Removed, i + 1, d.a[i]})
	}
	for i := b0; i < b1; i++ {
		d.changes = append(d.changes, Change{Added, i + 1, d.b[i]})
	}
}

// pair holds the indexes of two equal lines, one in a and one in b.
type pair struct{ a, b int }

// anchors returns the longest increasing sequence of pairs whose lines are
// unique in both ranges.
func (d *differ) anchors(a0, a1, b0, b1 int) []pair {
	if a0 == a1 || b0 == b1 {
		return nil
	}
	inB := uniqueLines(d.b, b0, b1)
	inA := uniqueLines(d.a, a0, a1)
	var pairs []pair
	for i := a0; i < a1; i++ {
		if inA[d.a[i]] != i {
			continue
		}
		if j, ok := inB[d.a[i]]; ok && j >= 0 {
			pairs = append(pairs, pair{i, j})
		}
	}
	return longestIncreasing(pairs)
}

// uniqueLines maps each line of a range to its index, or to -1 if it is repeated.
func uniqueLines(all []string, from, to int) map[string]int {
	index := make(map[string]int, to-from)
	for i := from; i < to; i++ {
		if _, repeated := index[all[i]]; repeated {
			index[all[i]] = -1
			continue
		}
		index[all[i]] = i
	}
	return index
}

// longestIncreasing returns the longest subsequence with increasing b, which it
// finds by patience sorting.
func longestIncreasing(pairs []pair) []pair {
	// tops[n] is the index of the pair with the smallest b that ends an increasing
	// subsequence of length n+1.
	var tops []int
	previous := make([]int, len(pairs))
	for i, p := range pairs {
		n := sort.Search(len(tops), func(k int) bool { return pairs[tops[k]].b >= p.b })
		previous[i] = -1
		if n > 0 {
			previous[i] = tops[n-1]
		}
		if n == len(tops) {
			tops = append(tops, i)
		} else {
			tops[n] = i
		}
	}
	if len(tops) == 0 {
		return nil
	}
	var increasing []pair
	for i := tops[len(tops)-1]; i >= 0; i = previous[i] {
		increasing = append(increasing, pairs[i])
	}
	slices.Reverse(increasing)
	return increasing
}
