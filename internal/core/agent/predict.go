package agent

import (
	"math/bits"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
)

// LoadPriors predict the duration of a load until loads were measured.
type LoadPriors struct {
	// Overhead is the part of a load that does not depend on the size.
	Overhead time.Duration
	// Rates from memory, local disk and the weight store, in MiB/s.
	MemoryRate, DiskRate, RemoteRate float64
}

// DefaultLoadPriors returns rates of a current host. They are on the fast side
// on purpose: a pessimistic prior refuses the very loads it would learn from.
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

// learnRate is the weight of the newest measurement in the moving averages.
const learnRate = 0.3

// waitMargin: a wait may take longer than predicted by one part in so many
// without making an admitted request late.
const waitMargin = 4

// firstRunAverage is the assumed duration of a request before one was measured.
const firstRunAverage = time.Second

// loadClass groups loads that are predicted alike: a tier and a power of two
// of the size.
type loadClass struct {
	tier core.Tier
	size int
}

// predictor learns, for each class, the ratio of measured to prior duration.
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
	p.ratio[class] = old + learnRate*(sample-old)
}

// average is a moving average of durations.
type average time.Duration

func (a *average) add(d time.Duration) {
	if *a == 0 {
		*a = average(d)
		return
	}
	*a += average(learnRate * float64(d-time.Duration(*a)))
}

func (a average) value() time.Duration {
	if a == 0 {
		return firstRunAverage
	}
	return time.Duration(a)
}

// known is value without the assumption.
func (a average) known() time.Duration { return time.Duration(a) }

// loadTime predicts the load of a checkpoint from its nearest copy.
func (p *Part) loadTime(c checkpoint) time.Duration {
	return p.predictor.predict(p.tier(c.key), c.checkpointMiB)
}

func (p *Part) tier(key string) core.Tier {
	if tier, ok := p.cached[key]; ok {
		return tier
	}
	return core.TierRemote
}

// readyIn predicts when the target is loaded.
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

// finishes tells whether a request that has to wait can be answered whole
// before its deadline, by the time that others of its kind took.
//
// Failure: under overload the queue is as long as the callers' patience, so
// each request starts right before its deadline and is cut off; the replica is
// busy and answers nobody, and goodput falls with the load. Guard: the time to
// run is kept free when the request is admitted and again when it would run.
// One that need not wait is always tried: its length is not known.
func (p *Part) finishes(run average, starts, remaining time.Duration) bool {
	return starts == 0 || starts+starts/waitMargin+run.known() < remaining
}

// startsIn predicts when a request of a client account that arrives now starts.
//
// Failure: were the whole queue counted, a flood of one client account would have
// the requests of all others refused at the door, though their turn in the
// queue is near. Guard: only what the fair queue runs before it is counted.
func (p *Part) startsIn(t *target, c class, account string) time.Duration {
	s := t.slot
	parked := s.waitingBefore(c) - s.ready.lenBefore(c)
	return p.startsBehind(t, c, parked+s.ready.ahead(c, account, p.accountWeight(account)))
}

// startsLast predicts the start of an interactive request behind all others.
func (p *Part) startsLast(t *target) time.Duration {
	return p.startsBehind(t, classInteractive, t.slot.waitingBefore(classInteractive))
}

// startsFirst predicts the start of an interactive request of a client account that
// has none waiting.
func (p *Part) startsFirst(t *target) time.Duration {
	return p.startsIn(t, classInteractive, "")
}

// startsBehind predicts the start behind so many waiting requests. Places that
// batch work gives up at once don't count as taken for interactive requests.
func (p *Part) startsBehind(t *target, c class, ahead int) time.Duration {
	s := t.slot
	limit := p.concurrency(s)
	var queued time.Duration
	if s.taken(c)+ahead >= limit {
		queued = s.runTime[c].value() * time.Duration(ahead+1) / time.Duration(limit)
	}
	return p.readyIn(t) + queued
}
