package agent

import (
	"math/bits"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
)

// LoadPriors predicts the duration of a load until loads have been measured.
type LoadPriors struct {
	// Overhead is the part of the duration that does not depend on the size.
	Overhead time.Duration
	// Rates of loads from host memory, local disk and the weight store, in
	// MiB/s.
	MemoryRate, DiskRate, RemoteRate float64
}

// DefaultLoadPriors returns the rates of a current host. They are deliberately
// optimistic: with pessimistic rates the agent would refuse the loads that it
// has to measure.
func DefaultLoadPriors() LoadPriors {
	return LoadPriors{
		Overhead:   200 * time.Millisecond,
		MemoryRate: 16000, DiskRate: 4000, RemoteRate: 2000,
	}
}

func (l LoadPriors) duration(tier core.Tier, mib int64) time.Duration {
	rate := l.RemoteRate
	switch tier {
	case core.TierMemory:
		rate = l.MemoryRate
	case core.TierDisk:
		rate = l.DiskRate
	}
	return l.Overhead + time.Duration(float64(mib)/rate*float64(time.Second))
}

// smoothing is the weight of the newest measurement in the moving averages.
const smoothing = 0.3

// waitMargin divides a predicted wait to get the time by which the wait may
// exceed the prediction without delaying an admitted request past its deadline.
const waitMargin = 4

// defaultRunTime is the assumed duration of a run before one has been measured.
const defaultRunTime = time.Second

// loadClass groups loads with a common prediction: a tier and a power of two of
// the size.
type loadClass struct {
	tier core.Tier
	size int
}

// predictor learns, for each class, the ratio of the measured to the prior
// duration.
type predictor struct {
	priors LoadPriors
	ratio  map[loadClass]float64
}

func newPredictor(priors LoadPriors) predictor {
	return predictor{priors: priors, ratio: map[loadClass]float64{}}
}

func classOf(tier core.Tier, mib int64) loadClass {
	return loadClass{tier: tier, size: bits.Len64(uint64(mib))}
}

func (p *predictor) predict(tier core.Tier, mib int64) time.Duration {
	ratio, ok := p.ratio[classOf(tier, mib)]
	if !ok {
		ratio = 1
	}
	return time.Duration(ratio * float64(p.priors.duration(tier, mib)))
}

func (p *predictor) learn(tier core.Tier, mib int64, measured time.Duration) {
	class := classOf(tier, mib)
	sample := float64(measured) / float64(p.priors.duration(tier, mib))
	old, ok := p.ratio[class]
	if !ok {
		p.ratio[class] = sample
		return
	}
	p.ratio[class] = old + smoothing*(sample-old)
}

// average is a moving average of durations.
type average time.Duration

func (a *average) add(d time.Duration) {
	if *a == 0 {
		*a = average(d)
		return
	}
	*a += average(smoothing * float64(d-time.Duration(*a)))
}

func (a average) value() time.Duration {
	if a == 0 {
		return defaultRunTime
	}
	return time.Duration(a)
}

// measured is value without the default: 0 before a run has been measured.
func (a average) measured() time.Duration { return time.Duration(a) }

// loadTime predicts the duration of the load of a checkpoint from its nearest
// copy.
func (p *Part) loadTime(c checkpoint) time.Duration {
	return p.predictor.predict(p.tier(c.key), c.checkpointMiB)
}

func (p *Part) tier(key string) core.Tier {
	if tier, ok := p.cached[key]; ok {
		return tier
	}
	return core.TierRemote
}

// readyIn predicts the time until the target is loaded.
func (p *Part) readyIn(t *target) time.Duration {
	if t.loaded() {
		return 0
	}
	var wait time.Duration
	if t.adapter {
		wait = p.readyIn(t.slot.base)
	}
	return wait + p.remainingLoad(t)
}

func (p *Part) remainingLoad(t *target) time.Duration {
	load := p.loadTime(p.checkpointOf(t))
	if t.item != nil && t.item.state == itemLoading {
		return max(t.item.orderedAt.Add(load).Sub(p.now), 0)
	}
	return load + max(t.retryAt.Sub(p.now), 0)
}

// canFinish reports whether a request can be answered completely before its
// deadline, according to the average run time of its class. A request that need
// not wait is always tried, because its duration is not known.
//
// The run time is taken into account both at admission and right before the
// run. Otherwise, under overload, the queue would grow until each request
// starts right before its deadline and is cut off; the replica would be busy
// without completing a request, and goodput would fall as the load rises.
func (p *Part) canFinish(run average, starts, remaining time.Duration) bool {
	return starts == 0 || starts+starts/waitMargin+run.measured() < remaining
}

// startsIn predicts when a request of a client account that arrives now would
// start. Only the requests that the fair queue runs before it count. If the
// whole queue counted, a flood of requests from one client account would make
// the agent refuse requests of all others, although the fair queue would run
// them soon.
func (p *Part) startsIn(t *target, c class, account string) time.Duration {
	s := t.slot
	parked := s.waitingUpTo(c) - s.ready.lenUpTo(c)
	return p.startsBehind(t, c, parked+s.ready.ahead(c, account, p.accountWeight(account)))
}

// startsLast predicts the start of an interactive request behind all waiting
// ones.
func (p *Part) startsLast(t *target) time.Duration {
	return p.startsBehind(t, classInteractive, t.slot.waitingUpTo(classInteractive))
}

// startsFirst predicts the start of an interactive request of a client account
// that has none waiting.
func (p *Part) startsFirst(t *target) time.Duration {
	return p.startsIn(t, classInteractive, "")
}

// startsBehind predicts the start of a request behind the given number of
// waiting requests. Batch runs that can be preempted at once don't occupy
// capacity for interactive requests.
func (p *Part) startsBehind(t *target, c class, ahead int) time.Duration {
	s := t.slot
	limit := p.concurrency(s)
	var queued time.Duration
	if s.occupied(c)+ahead >= limit {
		queued = s.runTime[c].value() * time.Duration(ahead+1) / time.Duration(limit)
	}
	return p.readyIn(t) + queued
}
