package daemon

import (
	"math"
	"runtime/metrics"
	"time"
)

const (
	// schedMetric is the Go runtime's histogram of the times that goroutines were
	// ready to run and did not.
	schedMetric = "/sched/latencies:seconds"
	// waitShare is the part of all waits that is below the one that counts: the
	// ninth decile follows a queue and ignores single stalls.
	latencyQuantile = 0.9
	// leastWaits is the least number of waits that tell of the load.
	minSamples = 20
)

// schedWaits reads how long goroutines waited for the processor.
type schedLatency struct {
	sample [1]metrics.Sample
	// counts of the histogram at the last look.
	counts []uint64
}

// lately is the ninth decile of the waits since the last call, 0 at the first
// call and where there were too few.
func (w *schedLatency) sinceLast() time.Duration {
	w.sample[0].Name = schedMetric
	metrics.Read(w.sample[:])
	if w.sample[0].Value.Kind() != metrics.KindFloat64Histogram {
		return 0 // a runtime without the metric: no load is shed
	}
	histogram := w.sample[0].Value.Float64Histogram()
	wait := time.Duration(0)
	if w.counts != nil {
		wait = quantileSince(histogram, w.counts)
	}
	w.counts = append(w.counts[:0], histogram.Counts...)
	return wait
}

// quantileSince is the waitShare quantile of what came to a histogram since its
// counts were as given: the upper bound of its bucket.
func quantileSince(histogram *metrics.Float64Histogram, counts []uint64) time.Duration {
	total := uint64(0)
	for i, n := range histogram.Counts {
		total += n - counts[i]
	}
	if total < minSamples {
		return 0
	}
	seen := uint64(0)
	for i, n := range histogram.Counts {
		seen += n - counts[i]
		if float64(seen) >= latencyQuantile*float64(total) {
			return bucketDuration(histogram.Buckets[i+1], histogram.Buckets[i])
		}
	}
	return 0 // not reached: all counts together are the total
}

// secondsOf takes the lower bound of the last bucket, which has no upper one.
func bucketDuration(upper, lower float64) time.Duration {
	if math.IsInf(upper, 1) {
		upper = lower
	}
	return time.Duration(upper * float64(time.Second))
}
