package load

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

// arrival is one planned request with its randomly drawn properties.
type arrival struct {
	// number is the index of the request within the run, from 0.
	number int
	// at is the intended send time, relative to the start of the run.
	at     time.Duration
	phase  int
	class  *Class
	call   *Call
	model  string
	prompt int
	tokens int
	stream bool
	keyed  bool
	cancel bool
	slow   bool
}

// drawArrivals returns the arrivals of a plan in order of time, and whether
// MaxRequests cut the list short. Each class has its own random source, so that
// adding a class does not change the arrivals of the others.
func drawArrivals(plan *Plan) (list []arrival, more bool) {
	for i := range plan.Classes {
		d := newDrawer(plan, &plan.Classes[i])
		list = append(list, d.draw(d.poisson())...)
		list = append(list, d.draw(d.bursts())...)
	}
	slices.SortStableFunc(list, func(a, b arrival) int { return cmp.Compare(a.at, b.at) })
	more = len(list) > plan.MaxRequests
	list = list[:min(len(list), plan.MaxRequests)]
	for i := range list {
		list[i].number = i
	}
	return list, more
}

// drawer draws the arrivals of one class.
type drawer struct {
	class  *Class
	phases []Phase
	// ends are the end times of the phases, relative to the start of the run.
	ends []time.Duration
	// limit is MaxRequests + 1, so that arrivals beyond MaxRequests are
	// detected.
	limit  int
	random *rand.Rand
	calls  chooser
	models []chooser
}

func newDrawer(plan *Plan, class *Class) *drawer {
	d := &drawer{class: class, phases: plan.phases(), limit: plan.MaxRequests + 1}
	d.random = rand.New(rand.NewPCG(plan.Seed, xxhash.Sum64String(class.Name)))
	end := time.Duration(0)
	for _, phase := range d.phases {
		end += time.Duration(phase.Duration)
		d.ends = append(d.ends, end)
	}
	weights := make([]float64, len(class.Calls))
	for i, call := range class.Calls {
		weights[i] = call.Weight
		d.models = append(d.models, zipfChooser(len(call.Models), call.Zipf))
	}
	d.calls = newChooser(weights)
	return d
}

// poisson returns the arrival times of the Poisson process, phase by phase. Each
// phase starts with a newly drawn gap, which is valid because the process is
// memoryless.
func (d *drawer) poisson() []time.Duration {
	if d.class.Poisson == nil {
		return nil
	}
	var times []time.Duration
	begin := time.Duration(0)
	for i, phase := range d.phases {
		mean := float64(time.Second) / (d.class.Poisson.PerSecond * phase.Multiplier)
		for at := begin; len(times) < d.limit; {
			gap := d.random.ExpFloat64() * mean
			if gap >= float64(d.ends[i]-at) {
				break
			}
			at += time.Duration(gap)
			times = append(times, at)
		}
		begin = d.ends[i]
	}
	return times
}

func (d *drawer) bursts() []time.Duration {
	b := d.class.Bursts
	if b == nil {
		return nil
	}
	var times []time.Duration
	total := d.ends[len(d.ends)-1]
	for begin := time.Duration(0); begin < total && len(times) < d.limit; begin += time.Duration(b.Every) {
		size := int(math.Round(float64(b.Size) * d.phases[d.phaseAt(begin)].Multiplier))
		for range min(size, d.limit) {
			at := begin + time.Duration(d.random.Float64()*float64(b.Spread))
			if at < total {
				times = append(times, at)
			}
		}
	}
	return times
}

func (d *drawer) phaseAt(at time.Duration) int {
	return sort.Search(len(d.ends)-1, func(i int) bool { return at < d.ends[i] })
}

func (d *drawer) draw(times []time.Duration) []arrival {
	list := make([]arrival, 0, len(times))
	for _, at := range times {
		list = append(list, d.drawArrival(at))
	}
	return list
}

// drawArrival draws the same number of random values whatever the class
// configures, so that changing one share does not change the other properties.
func (d *drawer) drawArrival(at time.Duration) arrival {
	class := d.class
	call := d.calls.choose(d.random)
	a := arrival{at: at, phase: d.phaseAt(at), class: class, call: &class.Calls[call]}
	if model := d.models[call].choose(d.random); len(a.call.Models) > 0 {
		a.model = a.call.Models[model]
	}
	a.prompt = class.PromptBytes.draw(d.random)
	a.tokens = class.MaxTokens.draw(d.random)
	a.stream = d.random.Float64() < class.StreamShare
	a.keyed = d.random.Float64() < class.KeyShare
	a.cancel = d.random.Float64() < class.CancelShare
	a.slow = d.random.Float64() < class.SlowShare
	return a
}

func (r *Range) draw(random *rand.Rand) int { return r.Min + random.IntN(r.Max-r.Min+1) }

// chooser draws an index with a probability proportional to its weight. It
// holds the cumulative weights.
type chooser []float64

func newChooser(weights []float64) chooser {
	sums := make(chooser, len(weights))
	total := 0.0
	for i, weight := range weights {
		total += weight
		sums[i] = total
	}
	return sums
}

func zipfChooser(n int, exponent float64) chooser {
	weights := make([]float64, n)
	for i := range weights {
		weights[i] = math.Pow(float64(i+1), -exponent)
	}
	return newChooser(weights)
}

func (c chooser) choose(random *rand.Rand) int {
	at := random.Float64()
	if len(c) == 0 {
		return 0
	}
	return sort.SearchFloat64s(c[:len(c)-1], at*c[len(c)-1])
}
