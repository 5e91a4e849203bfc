package lease_test

import (
	"context"
	"errors"
	"fmt"
	"time"

	"nutmeghoist.example/nutmeghoist/pkg/lease"
	"nutmeghoist.example/nutmeghoist/pkg/platform"
	"nutmeghoist.example/nutmeghoist/pkg/platform/platformtest"
)

// The condition of a grant fences each write: once another holder has acquired
// the lease, a paused holder's writes fail.
func Example() {
	ctx := context.Background()
	table := platformtest.New() // any platform.Table, such as the client of a platform
	put := func(g lease.Grant, key string) error {
		return table.Commit(ctx, platform.Txn{
			Conditions: []platform.Condition{g.Condition()},
			Writes:     []platform.Write{{Key: key, Value: []byte(`"by ` + g.Holder + `"`)}},
		})
	}
	first, err := lease.Acquire(ctx, table, "lease/cleaner", "h1", 10*time.Second)
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println("h1 writes:", put(first, "job/1"))
	if err := lease.Release(ctx, table, first); err != nil {
		fmt.Println(err)
		return
	}
	second, err := lease.Acquire(ctx, table, "lease/cleaner", "h2", 10*time.Second)
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println("h2 writes:", put(second, "job/2"))
	fmt.Println("h1 is refused:", errors.Is(put(first, "job/3"), platform.ErrConflict))
	// Output:
	// h1 writes: <nil>
	// h2 writes: <nil>
	// h1 is refused: true
}
