package cluster

import (
	"testing"
	"time"
)

// Guards against a measurement that overlooks a host which went back, also for
// several versions in a row.
func TestOlderServed(t *testing.T) {
	c := &Cluster{}
	for _, v := range []string{"1.0", "3.0", "2.0", "2.1", "3.1"} {
		c.take("h1", time.Time{}, `level=info version="`+v+`" "configuration in force"`)
	}
	if got := c.CountDowngrades(); got != 2 {
		t.Fatalf("got %d, want 2", got)
	}
}
