package policy

import (
	"context"
	"time"

	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/harness"
)

// watch feeds a trace to a world and keeps, for each cold request, the floor
// of its wait: the load alone, with no queue anywhere, from the nearest copy
// that any host had when the first request came.
type watch struct {
	d       *deployment
	world   *harness.World
	engines []*harness.Engine
	samples []sample
	// floors and storeFloors are when a load begun now or before would end.
	floors, storeFloors map[string]core.Time
}

type sample struct {
	outcome           *harness.Outcome
	batch, first      bool
	floor, storeFloor time.Duration
}

func newWatch(d *deployment, w *harness.World, engines []*harness.Engine) *watch {
	return &watch{d: d, world: w, engines: engines, floors: map[string]core.Time{}, storeFloors: map[string]core.Time{}}
}

// startUp is the time for the processes to meet before the trace begins.
const startUp = 10 * time.Minute

// cooldown is the time after the trace in which what waits is answered.
const cooldown = batchWait + time.Hour

// run plays the trace. Entries by number are given by name.
func (m *watch) run(ctx context.Context, arrivals []arrival) error {
	m.world.RunFor(startUp)
	begin := m.world.Now()
	for i := range arrivals {
		if i%64 == 0 && ctx.Err() != nil {
			return ctx.Err()
		}
		at := begin.Add(arrivals[i].at)
		m.world.RunFor(max(0, at.Sub(m.world.Now())))
		m.request(&arrivals[i])
	}
	m.world.RunFor(cooldown)
	m.world.Finish()
	return ctx.Err()
}

func (m *watch) request(a *arrival) {
	s := sample{batch: a.batch}
	s.floor, s.first = m.wait(m.floors, a, m.nearest)
	s.storeFloor, _ = m.wait(m.storeFloors, a, func(sizes) core.Tier { return core.TierRemote })
	s.outcome = m.world.Request(entryName(a.entry), core.RequestArrived{
		ClientAccount: "bench", Target: a.target, Priority: priorityOf(a.batch), Timeout: a.timeout, Idempotent: true,
	}, a.tokens)
	m.samples = append(m.samples, s)
}

// wait returns the time to the end of the loads that the target lacks, and
// whether this request is the first to wait for its own.
func (m *watch) wait(ends map[string]core.Time, a *arrival, tier func(sizes) core.Tier) (time.Duration, bool) {
	now, s := m.world.Now(), m.d.sizes(a.name)
	ready := now
	if s.base != "" {
		ready, _ = m.ready(ends, now, m.d.sizes(a.target.Model), tier)
	}
	ready, first := m.ready(ends, ready, s, tier)
	return ready.Sub(now), first
}

func (m *watch) ready(ends map[string]core.Time, from core.Time, s sizes, tier func(sizes) core.Tier) (core.Time, bool) {
	for _, e := range m.engines {
		if e.Loaded(s.key) {
			return from, false
		}
	}
	if end, ok := ends[s.key]; ok && end > m.world.Now() {
		return max(end, from), false
	}
	ends[s.key] = from.Add(m.engines[0].LoadTime(tier(s), s.stored))
	return ends[s.key], true
}

func (m *watch) nearest(s sizes) core.Tier {
	best := core.TierRemote
	for _, e := range m.engines {
		best = min(best, e.Tier(s.key))
	}
	return best
}

// row sums up the run.
func (m *watch) row(name string) Row {
	r := Row{Name: name, Violations: m.world.Checker.Violations, Loads: m.world.Checker.Loads, RefusalCodes: map[code.Code]int{}}
	r.StoreReads, r.StoreBusiest = m.world.Store.Loads, m.world.Store.Busiest
	r.IdleHours = m.world.Checker.IdleTime.Hours()
	var waits, interactive, all, floors, storeFloors []time.Duration
	for _, s := range m.samples {
		switch o := s.outcome; {
		case o.Code.NotRun():
			r.Refusals++
			r.RefusalCodes[o.Code]++
			continue
		case o.Code != code.OK:
			r.Failures++
			continue
		}
		if !s.batch {
			all = append(all, s.outcome.Wait())
		}
		if !s.outcome.Cold {
			continue
		}
		waits = append(waits, s.outcome.Wait())
		if !s.batch {
			interactive = append(interactive, s.outcome.Wait())
		}
		floors = append(floors, s.floor+firstToken)
		storeFloors = append(storeFloors, s.storeFloor+firstToken)
		if s.first {
			r.ColdStarts++
		}
	}
	r.ColdRequests = len(waits)
	r.price(waits, interactive, m.d.snapshot.Deployment)
	r.P50, r.P99, r.Max = percentile(waits, 0.5), percentile(waits, 0.99), percentile(waits, 1)
	r.AllP99 = percentile(all, 0.99)
	r.InteractiveP99 = percentile(interactive, 0.99)
	r.FloorP99, r.RemoteFloorP99 = percentile(floors, 0.99), percentile(storeFloors, 0.99)
	return r
}
