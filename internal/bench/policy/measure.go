package policy

import (
	"context"
	"time"

	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/harness"
)

// measurement plays a trace in a world and calculates for each cold request a lower
// bound on its wait, the floor: the duration of the load without any queues, from
// the fastest tier that any host had the checkpoint in when the first request
// arrived.
type measurement struct {
	d       *deployment
	world   *harness.World
	engines []*harness.Engine
	samples []sample
	// floors and storeFloors have, by key, the end of the latest load in the
	// calculation of the floor and of the floor from the weight store.
	floors, storeFloors map[string]core.Time
}

type sample struct {
	outcome           *harness.Outcome
	batch, first      bool
	floor, storeFloor time.Duration
}

func newMeasurement(d *deployment, w *harness.World, engines []*harness.Engine) *measurement {
	return &measurement{d: d, world: w, engines: engines, floors: map[string]core.Time{}, storeFloors: map[string]core.Time{}}
}

// startupTime is the time before the trace in which the processes connect.
const startupTime = 10 * time.Minute

// drainTime is the time after the trace in which waiting requests are answered.
const drainTime = batchTimeout + time.Hour

// run plays the trace in the world.
func (m *measurement) run(ctx context.Context, arrivals []arrival) error {
	m.world.RunFor(startupTime)
	begin := m.world.Now()
	for i := range arrivals {
		if i%64 == 0 && ctx.Err() != nil {
			return ctx.Err()
		}
		at := begin.Add(arrivals[i].at)
		m.world.RunFor(max(0, at.Sub(m.world.Now())))
		m.request(&arrivals[i])
	}
	m.world.RunFor(drainTime)
	m.world.Finish()
	return ctx.Err()
}

func (m *measurement) request(a *arrival) {
	s := sample{batch: a.batch}
	s.floor, s.first = m.floorWait(m.floors, a, m.nearestTier)
	s.storeFloor, _ = m.floorWait(m.storeFloors, a, func(sizes) core.Tier { return core.TierRemote })
	s.outcome = m.world.Request(entryName(a.entry), core.RequestArrived{
		ClientAccount: "bench", Target: a.target, Priority: priorityOf(a.batch), Timeout: a.timeout, Idempotent: true,
	}, a.tokens)
	m.samples = append(m.samples, s)
}

// floorWait returns the time until the loads that the target needs would end, and
// whether this request is the first to wait for the load of its own checkpoint.
func (m *measurement) floorWait(ends map[string]core.Time, a *arrival, tier func(sizes) core.Tier) (time.Duration, bool) {
	now, s := m.world.Now(), m.d.sizes(a.name)
	ready := now
	if s.base != "" {
		ready, _ = m.readyAt(ends, now, m.d.sizes(a.target.Model), tier)
	}
	ready, first := m.readyAt(ends, ready, s, tier)
	return ready.Sub(now), first
}

// readyAt returns the time at which a checkpoint would be loaded if its load began
// at from, and whether the request starts that load.
func (m *measurement) readyAt(ends map[string]core.Time, from core.Time, s sizes, tier func(sizes) core.Tier) (core.Time, bool) {
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

func (m *measurement) nearestTier(s sizes) core.Tier {
	best := core.TierRemote
	for _, e := range m.engines {
		best = min(best, e.Tier(s.key))
	}
	return best
}

// row returns the results of the run.
func (m *measurement) row(name string) Row {
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
	r.sumCosts(waits, interactive, m.d.snapshot.Deployment)
	r.P50, r.P99, r.Max = percentile(waits, 0.5), percentile(waits, 0.99), percentile(waits, 1)
	r.AllP99 = percentile(all, 0.99)
	r.InteractiveP99 = percentile(interactive, 0.99)
	r.FloorP99, r.RemoteFloorP99 = percentile(floors, 0.99), percentile(storeFloors, 0.99)
	return r
}
