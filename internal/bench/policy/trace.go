package policy

import (
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"nutmeglane.example/nutmeglane/internal/api"
	"nutmeglane.example/nutmeglane/internal/core"
)

// arrival is one request of the trace.
type arrival struct {
	at      time.Duration
	entry   int
	target  core.Target
	name    string // name of the model or adapter
	batch   bool
	tokens  uint64
	timeout time.Duration
}

// Parameters of the trace. Sessions, such as a user's series of questions or a
// nightly job, arrive as a Poisson process whose rate depends on the hour and the
// kind of day. Their targets have a Zipf distribution, so that most targets are
// requested a few times per day.
const (
	sessionsPerDay     = 900
	zipfExponent       = 1.0
	zipfOffset         = 2
	peakFactor         = 6   // factor on the rate of peak tasks on a peak day
	idleFactor         = 0.1 // factor on all rates on an idle day
	burstShare         = 0.3 // fraction of sessions that begin with concurrent requests at several entries
	maxBurst           = 8
	burstWindow        = 200 * time.Millisecond
	stepsMean          = 6 // mean number of further requests in an interactive session
	pauseMean          = 45 * time.Second
	batchJobsMean      = 4
	batchPauseMean     = 20 * time.Second
	interactiveTimeout = 3 * time.Minute
	batchTimeout       = 30 * time.Minute
	shortTokens        = 40
	longTokens         = 400
	day                = 24 * time.Hour
)

// dayCurve has the relative rates of interactive sessions by hour, batchCurve those
// of batch jobs, which run at night.
var (
	dayCurve   = [24]float64{0, 0, 0, 0, 0, 1, 3, 8, 10, 10, 9, 7, 5, 8, 10, 10, 9, 8, 5, 3, 2, 1, 0, 0}
	batchCurve = [24]float64{6, 6, 5, 4, 2, 1, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 1, 2, 4, 8, 10, 9, 8}
)

// traceTarget is a model or adapter that sessions request.
type traceTarget struct {
	name   string
	target core.Target
	batch  bool
	peak   bool
	weight float64
}

// traceTargets returns all models and adapters with weights in a random order of
// popularity.
func (d *deployment) traceTargets(draw *rand.Rand) []traceTarget {
	var all []traceTarget
	for _, name := range core.SortedKeys(d.snapshot.Models) {
		spec := d.snapshot.Models[name].Spec
		all = append(all, traceTarget{name: name, target: core.Target{Model: name}, batch: spec.Priority == api.PriorityBatch})
	}
	for _, name := range core.SortedKeys(d.snapshot.Adapters) {
		spec := d.snapshot.Adapters[name].Spec
		all = append(all, traceTarget{
			name: name, target: core.Target{Model: spec.Base, Adapter: name}, batch: spec.Priority == api.PriorityBatch,
		})
	}
	draw.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	for i := range all {
		all[i].weight = 1 / math.Pow(float64(i+zipfOffset), zipfExponent)
		all[i].peak = slices.ContainsFunc(d.peakTasks, func(task string) bool { return strings.HasPrefix(all[i].name, task) })
	}
	return all
}

// dayFactor returns the factor on the rate of a target on the given day.
func dayFactor(number int, s *traceTarget) float64 {
	switch number % 7 {
	case 1:
		if s.peak {
			return peakFactor
		}
	case 2, 6:
		return idleFactor
	}
	return 1
}

func makeTrace(d *deployment, opts Options) []arrival {
	draw := rand.New(rand.NewPCG(opts.Seed, traceStream))
	t := traceGenerator{draw: draw, entries: opts.Entries}
	all := d.traceTargets(draw)
	for number := range opts.Days {
		for i := range all {
			t.day(number, &all[i], sumWeights(all))
		}
	}
	slices.SortStableFunc(t.arrivals, func(a, b arrival) int { return int(a.at - b.at) })
	return t.arrivals
}

func sumWeights(all []traceTarget) float64 {
	sum := 0.0
	for _, s := range all {
		sum += s.weight
	}
	return sum
}

type traceGenerator struct {
	draw     *rand.Rand
	entries  int
	arrivals []arrival
}

func (t *traceGenerator) day(number int, s *traceTarget, total float64) {
	curve := &dayCurve
	if s.batch {
		curve = &batchCurve
	}
	hours := 0.0
	for _, share := range curve {
		hours += share
	}
	mean := sessionsPerDay * s.weight / total * dayFactor(number, s)
	for hour, share := range curve {
		for range t.poisson(mean * share / hours) {
			at := time.Duration(number)*day + time.Duration(hour)*time.Hour + time.Duration(t.draw.Int64N(int64(time.Hour)))
			t.session(at, s)
		}
	}
}

func (t *traceGenerator) session(at time.Duration, s *traceTarget) {
	steps, pause := t.poisson(stepsMean), pauseMean
	if s.batch {
		steps, pause = t.poisson(batchJobsMean), batchPauseMean
	}
	burst := 1
	if t.draw.Float64() < burstShare {
		burst += t.draw.IntN(maxBurst)
	}
	for range burst {
		t.request(at+time.Duration(t.draw.Int64N(int64(burstWindow))), s)
	}
	for range steps {
		at += time.Duration(t.draw.ExpFloat64() * float64(pause))
		t.request(at, s)
	}
}

func (t *traceGenerator) request(at time.Duration, s *traceTarget) {
	a := arrival{
		at: at, entry: t.draw.IntN(t.entries), target: s.target, name: s.name, batch: s.batch,
		tokens: shortTokens, timeout: interactiveTimeout,
	}
	if s.batch {
		a.tokens, a.timeout = longTokens, batchTimeout
	}
	t.arrivals = append(t.arrivals, a)
}

// poisson draws from a Poisson distribution by multiplying uniform variates, which
// is fast enough for the small means used here.
func (t *traceGenerator) poisson(mean float64) int {
	limit, product, n := math.Exp(-mean), t.draw.Float64(), 0
	for product > limit {
		product *= t.draw.Float64()
		n++
	}
	return n
}
