package bounded

import (
	"bytes"
	"errors"
	"io"
	"runtime"
	"strings"
	"testing"
	"testing/iotest"

	"pgregory.net/rapid"
)

// Guards against a body that is cut, changed or over its bound, and against memory
// that stays counted after a body was released or refused.
func TestReadBody(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := rapid.SliceOfN(rapid.Byte(), 0, 40<<10).Draw(t, "body")
		want = bytes.Repeat(want, rapid.IntRange(1, 8).Draw(t, "repeated")) // several chunks
		limit := rapid.Int64Range(0, 320<<10).Draw(t, "limit")
		budget := NewBudget(rapid.Int64Range(0, 960<<10).Draw(t, "budget"))
		size := int64(-1)
		if rapid.Bool().Draw(t, "announced") {
			size = int64(len(want))
		}
		broken := rapid.Bool().Draw(t, "broken")
		var r io.Reader = bytes.NewReader(want)
		if broken {
			r = io.MultiReader(r, iotest.ErrReader(io.ErrUnexpectedEOF))
		}
		got, err := ReadBody(r, size, limit, budget)
		if budget.Used() != int64(cap(got)) {
			t.Fatalf("%d bytes counted for a capacity of %d", budget.Used(), cap(got))
		}
		switch {
		case err == nil && (broken || int64(len(want)) > limit || !bytes.Equal(got, want)):
			t.Fatalf("%d of %d bytes passed, limit %d, broken %v", len(got), len(want), limit, broken)
		case errors.Is(err, ErrBodyTooLong) && int64(len(want)) <= limit, errors.Is(err, io.ErrUnexpectedEOF) && !broken:
			t.Fatal(err)
		case errors.Is(err, ErrNoMemory) && 2*int64(len(want))+max(firstChunkBytes, 2*chunkBytes) < budget.limit.Load():
			t.Fatalf("%d bytes refused with a budget of %d", len(want), budget.limit.Load())
		}
	})
}

// Guards against a length in a head that allocates memory before any byte of the
// body has arrived.
func TestAnnouncedLengthAllocatesNothing(t *testing.T) {
	budget := NewBudget(1 << 30)
	r := iotest.DataErrReader(strings.NewReader("menu"))
	got, err := ReadBody(r, 8<<20, 8<<20, budget)
	if err != nil || cap(got) > firstChunkBytes {
		t.Errorf("capacity %d, error %v", cap(got), err)
	}
}

// Guards against a head without end, and against a limit that also counts bodies.
func TestHeadReader(t *testing.T) {
	h := NewHeadReader(strings.NewReader(strings.Repeat("x", 100)))
	h.BeginHead(10)
	if b, err := io.ReadAll(h); len(b) != 10 || !errors.Is(err, ErrHeadTooLong) || !errors.Is(h.Err, ErrHeadTooLong) {
		t.Errorf("%d bytes, %v", len(b), err)
	}
	h.EndHead()
	if b, err := io.ReadAll(h); len(b) != 90 || err != nil {
		t.Errorf("%d bytes, %v", len(b), err)
	}
}

// Guards against a body with an announced length that is copied over and over while it
// arrives, and whose buffer is larger than it.
func TestAnnouncedBodyIsCopiedOnce(t *testing.T) {
	const size = 100 << 10
	budget := NewBudget(1 << 30)
	allocs := testing.AllocsPerRun(10, func() {
		got, err := ReadBody(io.LimitReader(endless{}, size), size, 8<<20, budget)
		if err != nil || len(got) != size || cap(got) > size+1 {
			t.Fatalf("%d bytes with a capacity of %d, error %v", len(got), cap(got), err)
		}
	})
	if allocs > 4 {
		t.Errorf("%v allocations", allocs)
	}
}

type endless struct{}

func (endless) Read(b []byte) (int, error) { return len(b), nil }

// Guards against a target that sends without end, call after call, and makes garbage
// faster than it is collected: a host of the smallest deployments has 112 MB in all.
func TestEndlessBodiesLeaveNoGarbage(t *testing.T) {
	const limit, calls, bound = 8 << 20, 20, 2 * 8 << 20 // what one body may take
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range calls {
		if _, err := ReadBody(endless{}, -1, limit, NewBudget(bound)); !errors.Is(err, ErrBodyTooLong) {
			t.Fatal(err)
		}
	}
	runtime.ReadMemStats(&after)
	if got := after.TotalAlloc - before.TotalAlloc; got > bound {
		t.Errorf("%d calls allocated %d MB, want at most %d", calls, got>>20, bound>>20)
	}
}
