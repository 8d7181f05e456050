// Package serverbudget computes the request-rate budget of one server of a plain service, so
// that the requests that are admitted are answered within their objective.
//
// The input is the load that the server states in its answers. The server is crowded if its
// waiting requests take more than a third of the objective: the rest is left for the work
// itself and for the variation of both.
//
// The package has no I/O and no clock.
package serverbudget

import (
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
)

const (
	// crowdedShare is the part of the objective that waiting requests may take.
	crowdedShare = 1.0 / 3
	// calmShare is the part of crowdedShare below which the budget rises. Between both it is
	// kept: with one threshold, the queue's random variation alone changes the direction.
	calmShare = 0.5
	// firstShare is the part of the nominal rate with which a budget begins. Work is slower
	// with all slots in use than the time of a usual answer tells.
	firstShare = 0.9
	// drainTime is the time within which the waiting requests beyond crowdedShare are to
	// be worked off.
	drainTime = time.Second
	// stepInterval is the time between two steps, and stepShare their size. A queue of some
	// tens of requests shows the effect of a step within that time.
	stepInterval = 300 * time.Millisecond
	stepShare    = 0.1
	// turnInterval is the minimum time between two changes of direction, unless the server has
	// become so slow that the initial budget is below slowerShare of the one in force. The
	// random variation of a queue does not reach that share.
	turnInterval = time.Second
	slowerShare  = 0.5
	// turnShare is the minimum size of the first step down after a rise. The initial budget alone
	// does not suffice where two loaders count, each for a part of the requests.
	turnShare = 0.25
	// ceilingRange is the range, relative to the budget at which the server last became crowded,
	// within which steps up are half as large.
	ceilingRange = 0.2
	// loadInterval is the time over which stated loads are averaged. A single one tells
	// little: the queue changes by several requests within the time of an answer.
	loadInterval = 100 * time.Millisecond
	// maxLoadAge is the age of the last load beyond which no step is made.
	maxLoadAge = 500 * time.Millisecond
	// usualWeight is the weight of a new report in the moving average of the usual time.
	usualWeight = 0.01
	// firstReports is the number of reports of which the usual time is a plain mean at first.
	firstReports = 20
	// endFactor and endAfter: a budget ends once it has been above endFactor times the rate
	// of requests for permits for endAfter.
	endFactor = 1.5
	endAfter  = 2 * time.Second
	// minPerSecond is the lowest budget: only answers show that the server has recovered.
	minPerSecond = 1
)

// Sample is what a router's message tells: a load that the server stated, requests for
// permits, or both.
type Sample struct {
	At core.Time
	// Running and Waiting are numbers of requests, Slots that of requests that run at once.
	// Slots is 0 if the sample has no load.
	Running, Waiting, Slots int
	// Usual is the present time of an answer without waiting. It is above 0 with a load.
	Usual time.Duration
	// Asked is the number of permits that routers asked for since the last sample.
	Asked int
}

// Budget is the budget of one incarnation of a server. Create it with New.
type Budget struct {
	target time.Duration
	// usual is the plain mean of the first reports, later a moving average: with the first one
	// alone, an answer that took three times as long as others kept a budget at a third of what
	// the server could do for five seconds. reports counts them up to firstReports.
	usual   time.Duration
	reports int
	loads   loads
	asked   askedRate

	limited   bool
	perSecond float64
	// steppedAt is when the budget last changed.
	steppedAt core.Time
	// rising is the direction of the last change, turnedAt when the direction last changed, 0
	// before the first change.
	rising   bool
	turnedAt core.Time
	// ceiling is the budget at which the server last became crowded after a rise, 0 before.
	ceiling float64
	// last is the load at the last evaluation, crowded whether the server was crowded then.
	// loadAt is when the last load arrived.
	last    meanLoad
	crowded bool
	loadAt  core.Time
	// lastWaiting is the number of waiting requests at the last step.
	lastWaiting float64
	// ampleSince is since when the budget has been above endFactor times what is asked for,
	// 0 while it is not.
	ampleSince core.Time
}

// New returns the budget of a server without a limit. The target is the shortest objective of
// the routes to its service, above 0.
func New(target time.Duration) *Budget { return &Budget{target: target} }

// SetTarget replaces the target after a change of the configuration.
func (b *Budget) SetTarget(target time.Duration) { b.target = target }

// Limit returns the budget in requests per second, and false if there is none.
func (b *Budget) Limit() (perSecond float64, limited bool) { return b.perSecond, b.limited }

// Observe processes a sample. Samples must come in the order of their times.
func (b *Budget) Observe(s Sample) {
	if s.Asked > 0 {
		b.asked.add(s.At, s.Asked)
	}
	if s.Slots > 0 {
		b.addLoad(s)
	}
	b.Advance(s.At)
}

// Advance makes the steps that are due. It is to be called at least every stepInterval while
// there is a budget.
func (b *Budget) Advance(now core.Time) {
	if now.Sub(b.loadAt) > maxLoadAge {
		b.crowded = false
	}
	if b.loads.complete(now) {
		b.evaluate(now, b.loads.take())
	}
	if b.limited {
		b.endIfAmple(now)
	}
}

// addLoad adds a stated load to the averages.
func (b *Budget) addLoad(s Sample) {
	b.reports = min(b.reports+1, firstReports)
	weight := usualWeight
	if b.reports < firstReports {
		weight = 1 / float64(b.reports)
	}
	b.usual += time.Duration(weight * float64(s.Usual-b.usual))
	b.loads.add(s)
	b.loadAt = s.At
}

// evaluate begins the budget or makes a step, by the mean load since the last evaluation.
func (b *Budget) evaluate(now core.Time, load meanLoad) {
	wait := load.waitTime(b.usual)
	allowed := float64(b.AllowedWait())
	crowded := wait > allowed
	b.last, b.crowded = load, crowded
	switch {
	case !b.limited && crowded && b.mayTurn(now):
		b.begin(now, load)
	case !b.limited || now.Sub(b.steppedAt) < stepInterval:
	case crowded && load.waiting < b.lastWaiting:
		b.lastWaiting = load.waiting
	case crowded:
		b.lower(now, load)
	case wait < calmShare*allowed:
		b.raise(now, load)
	}
}

// begin begins the budget of a server that has become crowded.
func (b *Budget) begin(now core.Time, load meanLoad) {
	b.limited = true
	b.change(now, b.initial(load), false)
	b.lastWaiting, b.ampleSince = load.waiting, 0
}

// initial returns the budget for a load: a part of the nominal rate, less what is needed to
// work off the waiting requests beyond those allowed.
func (b *Budget) initial(load meanLoad) float64 {
	nominal := b.nominal(load)
	allowed := b.AllowedWait().Seconds() * nominal
	excess := max(0, load.waiting-allowed)
	return firstShare*nominal - excess/drainTime.Seconds()
}

// lower makes a step down. The first one after a rise, and one of a server that has become much
// slower, go to the initial budget, and down by turnShare at least.
func (b *Budget) lower(now core.Time, load meanLoad) {
	initial := b.initial(load)
	slower := initial < slowerShare*b.perSecond
	if b.rising && !slower && !b.mayTurn(now) {
		return
	}
	next := b.perSecond * (1 - stepShare)
	if b.rising {
		b.ceiling = b.perSecond
	}
	if b.rising || slower {
		next = min(initial, b.perSecond*(1-turnShare))
	}
	b.lastWaiting = load.waiting
	b.change(now, next, false)
}

// raise makes a step up. Beyond the nominal rate steps are half as large: the queue grows within
// one step by what the budget is too high, and the next step down comes a turnInterval later.
func (b *Budget) raise(now core.Time, load meanLoad) {
	if !b.rising && !b.mayTurn(now) {
		return
	}
	share := stepShare
	if b.perSecond > b.nominal(load) || b.nearCeiling() {
		share /= 2
	}
	b.lastWaiting = load.waiting
	b.change(now, b.perSecond*(1+share), true)
}

// nearCeiling reports whether the budget is about the one at which the server last became crowded.
// Where two loaders count, that is far below the nominal rate.
func (b *Budget) nearCeiling() bool {
	return b.perSecond > (1-ceilingRange)*b.ceiling && b.perSecond < (1+ceilingRange)*b.ceiling
}

// nominal returns the rate at which the server finishes requests of the usual time with all slots
// in use.
func (b *Budget) nominal(load meanLoad) float64 { return load.slots / b.usual.Seconds() }

func (b *Budget) mayTurn(now core.Time) bool {
	return b.turnedAt == 0 || now.Sub(b.turnedAt) >= turnInterval
}

// change sets the budget.
func (b *Budget) change(now core.Time, perSecond float64, rising bool) {
	if b.rising != rising || b.turnedAt == 0 {
		b.rising, b.turnedAt = rising, now
	}
	b.perSecond, b.steppedAt = max(minPerSecond, perSecond), now
}

// endIfAmple ends a budget that has been far above what is asked for.
func (b *Budget) endIfAmple(now core.Time) {
	switch {
	case b.perSecond <= endFactor*b.asked.perSecond(now):
		b.ampleSince = 0
	case b.ampleSince == 0:
		b.ampleSince = now
	case now.Sub(b.ampleSince) >= endAfter:
		b.limited, b.perSecond = false, 0
		b.rising, b.turnedAt = true, now
	}
}
