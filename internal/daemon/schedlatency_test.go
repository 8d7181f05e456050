package daemon

import (
	"math"
	"runtime/metrics"
	"testing"
	"time"
)

// Guards against a router that keeps refusing requests after a burst has ended: the
// latencies of the burst must not be counted again.
func TestQuantileSinceIgnoresOldSamples(t *testing.T) {
	buckets := []float64{math.Inf(-1), 0.001, 0.010, 0.100, math.Inf(1)}
	burst := []uint64{0, 0, 0, 1000}
	for _, c := range []struct {
		name   string
		counts []uint64
		want   time.Duration
	}{
		{"nothing new", []uint64{0, 0, 0, 1000}, 0},
		{"too few", []uint64{0, 0, minSamples - 1, 1000}, 0},
		{"short waits", []uint64{95, 5, 0, 1000}, time.Millisecond},
		{"a tenth is long", []uint64{80, 0, 20, 1000}, 100 * time.Millisecond},
		{"over all bounds", []uint64{0, 0, 0, 1100}, 100 * time.Millisecond},
	} {
		got := quantileSince(&metrics.Float64Histogram{Counts: c.counts, Buckets: buckets}, burst)
		if got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

// Guards against a Go runtime without the histogram, with which no router would ever shed
// load.
func TestRuntimeHasSchedLatency(t *testing.T) {
	var w schedLatency
	if got := w.sinceLast(); got != 0 || len(w.counts) == 0 {
		t.Errorf("%v from %d buckets at the first call", got, len(w.counts))
	}
}
