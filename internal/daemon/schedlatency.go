package daemon

import (
	"math"
	"runtime/metrics"
	"time"
)

const (
	// schedMetric is the Go runtime's histogram of the times that goroutines spent
	// runnable before they ran.
	schedMetric = "/sched/latencies:seconds"
	// latencyQuantile is the quantile of the latencies that is reported: the ninth
	// decile follows a queue and ignores single stalls.
	latencyQuantile = 0.9
	// minSamples is the least number of samples that indicates the load.
	minSamples = 20
)

// schedLatency reads how long goroutines waited for the processor.
type schedLatency struct {
	sample [1]metrics.Sample
	// counts contains the histogram's counts at the last call of sinceLast.
	counts []uint64
}

// sinceLast returns the ninth decile of the latencies since the last call; 0 at the
// first call and if there were too few samples.
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

// quantileSince returns the latencyQuantile of the samples that were added to a
// histogram since it had the given counts, as the upper bound of the bucket.
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
	return 0 // unreachable: the sum of all counts is total
}

// bucketDuration returns a bucket's upper bound, or its lower bound if the upper one
// is infinite.
func bucketDuration(upper, lower float64) time.Duration {
	if math.IsInf(upper, 1) {
		upper = lower
	}
	return time.Duration(upper * float64(time.Second))
}
