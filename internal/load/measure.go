package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range of the histograms in microseconds, and their precision in significant
// digits. Longer times are recorded as highestMicros, which is above the longest
// timeout of a plan.
const (
	lowestMicros  = 1
	highestMicros = int64(2 * time.Hour / time.Microsecond)
	seriesDigits  = 3
	bucketDigits  = 2
)

func newHistogram(digits int) *hdrhistogram.Histogram {
	return hdrhistogram.New(lowestMicros, highestMicros, digits)
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	micros := min(max(d.Microseconds(), lowestMicros), highestMicros)
	if err := h.RecordValue(micros); err != nil {
		panic(err) // unreachable: the value was clamped to the range
	}
}

// series accumulates the measurements of one class in one phase.
type series struct {
	class, phase string
	sent, good   int
	tokens       int
	outcomes     map[Outcome]int
	faults       map[Fault]int
	firstToken   *hdrhistogram.Histogram
	between      *hdrhistogram.Histogram
	whole        *hdrhistogram.Histogram
	refusal      *hdrhistogram.Histogram
}

func newSeries(class, phase string) *series {
	return &series{
		class: class, phase: phase,
		outcomes: map[Outcome]int{}, faults: map[Fault]int{},
		firstToken: newHistogram(seriesDigits), between: newHistogram(seriesDigits),
		whole: newHistogram(seriesDigits), refusal: newHistogram(seriesDigits),
	}
}

func (s *series) add(r *result) {
	s.sent++
	s.tokens += r.tokens
	s.outcomes[r.outcome]++
	if r.good() {
		s.good++
	}
	if r.refused {
		record(s.refusal, r.end-r.sent)
	}
	if !r.slow {
		s.addLatencies(r)
	}
}

// addLatencies records the latencies of a result. It isn't called for slow
// readers, whose latencies are caused by the plan's own pauses.
func (s *series) addLatencies(r *result) {
	if r.firstToken > 0 {
		record(s.firstToken, r.latency(r.firstToken))
	}
	for _, gap := range r.gaps {
		record(s.between, gap)
	}
	if r.outcome == OutcomeOK {
		record(s.whole, r.latency(r.end))
	}
}

// bucket accumulates the results of the arrivals in one interval of the
// timeline.
type bucket struct {
	ok, refused, other, faulty int
	whole                      *hdrhistogram.Histogram
}

func (b *bucket) add(r *result) {
	switch {
	case len(r.findings) > 0:
		b.faulty++
	case r.outcome == OutcomeOK:
		b.ok++
		if !r.slow {
			record(b.whole, r.latency(r.end))
		}
	case r.refused:
		b.refused++
	default:
		b.other++
	}
}

// maxExamples limits the faults described in a summary.
const maxExamples = 20

// recorder accumulates the results of all requests. Its methods are safe for
// concurrent use.
type recorder struct {
	classes map[*Class]int
	// total is the length of all phases together, width the length of a
	// bucket.
	total, width time.Duration

	mu       sync.Mutex
	series   [][]*series
	buckets  []bucket
	lag      *hdrhistogram.Histogram
	claims   []claim
	examples []Example
	faults   int
	done     int
	ok       int
	refused  int
}

// maxBuckets is the approximate upper limit on the points of the timeline. It is
// not exact because the width of a bucket is rounded to whole seconds.
const maxBuckets = 600

func newRecorder(plan *Plan) *recorder {
	rec := &recorder{classes: map[*Class]int{}, lag: newHistogram(seriesDigits)}
	for _, phase := range plan.phases() {
		rec.total += time.Duration(phase.Duration)
	}
	rec.width = max(time.Second, (rec.total / maxBuckets).Round(time.Second))
	rec.buckets = make([]bucket, (rec.total+rec.width-1)/rec.width)
	for i := range rec.buckets {
		rec.buckets[i].whole = newHistogram(bucketDigits)
	}
	for i := range plan.Classes {
		rec.classes[&plan.Classes[i]] = i
		row := make([]*series, len(plan.phases()))
		for k := range row {
			row[k] = newSeries(plan.Classes[i].Name, plan.phases()[k].Name)
		}
		rec.series = append(rec.series, row)
	}
	return rec
}

func (rec *recorder) add(r *result) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	s := rec.series[rec.classes[r.class]][r.phase]
	s.add(r)
	rec.buckets[r.at/rec.width].add(r)
	record(rec.lag, r.sent-r.at)
	rec.count(r)
	for _, f := range r.findings {
		rec.addFault(s, r.number, r.requestID, f)
	}
	if r.refused || r.runsOnce() {
		rec.claims = append(rec.claims, claim{
			series: s, number: r.number, key: r.key, requestID: r.requestID,
			refused: r.refused, runsOnce: r.runsOnce(),
		})
	}
}

func (rec *recorder) count(r *result) {
	rec.done++
	if r.outcome == OutcomeOK {
		rec.ok++
	}
	if r.refused {
		rec.refused++
	}
}

func (rec *recorder) addFault(s *series, number int, id string, f finding) {
	s.faults[f.fault]++
	rec.faults++
	if len(rec.examples) < maxExamples {
		rec.examples = append(rec.examples, Example{
			Fault: f.fault, Class: s.class, Phase: s.phase, Number: number, RequestID: id, Detail: f.detail,
		})
	}
}

// checkClaims checks all claims against the referees' counts. It returns the
// number of double runs that no claim of this run accounts for.
func (rec *recorder) checkClaims(w *refereeCheck) (unclaimed int) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	unclaimed = w.change.DoubleRuns
	for i := range rec.claims {
		c := &rec.claims[i]
		if f, found := w.check(c); found {
			rec.addFault(c.series, c.number, c.requestID, f)
		}
		if c.runsOnce {
			unclaimed -= max(0, w.runsOf(c)-1)
		}
	}
	return max(0, unclaimed)
}
