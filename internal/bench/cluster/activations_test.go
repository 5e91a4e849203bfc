package cluster

import (
	"testing"
	"time"
)

// Guards against a measurement that misses a host which activates an older
// version, also several times in a row.
func TestCountDowngrades(t *testing.T) {
	c := &Cluster{}
	for _, v := range []string{"1.0", "3.0", "2.0", "2.1", "3.1"} {
		c.recordActivation("h1", time.Time{}, `level=info version="`+v+`" "configuration in force"`)
	}
	if got := c.CountDowngrades(); got != 2 {
		t.Fatalf("got %d, want 2", got)
	}
}
