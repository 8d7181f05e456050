package enginebudget

import (
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
)

const (
	// objectiveShare is the part of an objective from which the engine counts as crowded:
	// the control needs the rest to react before the objective is missed.
	objectiveShare = 0.5
	// memoryShare is the part of the KV memory from which the engine counts as crowded.
	memoryShare = 0.9
	// usableShare is the part of a measured rate that the engine may begin: the streams that
	// run need the rest of its time.
	usableShare = 0.8
	// loadedShare is the part of the samples with unread prompts from which an engine counts as
	// reading most of the time.
	loadedShare = 0.6
	// backlogTime is the time within which prompts that are too many are to be read.
	backlogTime = time.Second
	// stepInterval is the time between two steps of the limit, stepShare its relative change
	// by one: a step shows in the engine's next three reports.
	stepInterval = 300 * time.Millisecond
	stepShare    = 0.1
	// The limit ends once it has been above endFactor times the demand for endAfter.
	endFactor = 1.5
	endAfter  = 2 * time.Second
	// minPerSecond is the lowest limit. Without any request the engine would show no rate.
	minPerSecond = 1
	// busyInterval and idleInterval are the usual times between two samples of an engine
	// with and without running requests. A sample that comes lateAfter later than that says
	// nothing of the last second.
	busyInterval = 100 * time.Millisecond
	idleInterval = 500 * time.Millisecond
	lateAfter    = 500 * time.Millisecond
)

// Budget is the limit of one life of an engine. Create it with New.
type Budget struct {
	targets Targets
	history history
	started bool

	limited   bool
	perSecond float64
	// cause is why the engine is crowded, startCause why the limit began, at since.
	cause, startCause Cause
	since             core.Time
	// steppedAt is when the limit was last changed by a step, and excess the excess over the
	// threshold of pauses or memory at that time.
	steppedAt core.Time
	excess    float64
	// pausesSince is since when pauses have been too long, 0 while they are not.
	pausesSince core.Time
	// aboveSince is since when the limit is far above the demand, 0 while it is not.
	aboveSince core.Time
}

// New returns the budget of an engine of which nothing is known.
func New(targets Targets) *Budget { return &Budget{targets: targets} }

// Limit returns the number of requests per second that the engine can begin, and whether there
// is a limit.
func (b *Budget) Limit() (perSecond float64, limited bool) { return b.perSecond, b.limited }

// Crowded returns why the engine is crowded, CauseNone if it is not.
func (b *Budget) Crowded() Cause { return b.cause }

// Add processes the next sample of the engine. Samples that are not later than the last one
// are ignored.
func (b *Budget) Add(s Sample) {
	switch {
	case !b.started:
		b.started = true
		b.history.restart(s)
		return
	case s.At <= b.history.last.At:
		return
	case b.late(s):
		b.history.restart(s)
		b.steppedAt, b.aboveSince = s.At, 0
		return
	}
	b.history.add(s)
	b.adjust(s)
}

// late reports whether a sample comes so late that the limit is kept as it is.
func (b *Budget) late(s Sample) bool {
	due := idleInterval
	if b.history.last.Running > 0 {
		due = busyInterval
	}
	return s.At.Sub(b.history.last.At) > due+lateAfter
}

// adjust computes the limit after a sample.
func (b *Budget) adjust(s Sample) {
	slowCause, excess := b.slow(s)
	crowdedByPrompts := b.crowdedByPrompts()
	wasSlow := b.cause == CausePauses || b.cause == CauseMemory
	switch {
	case slowCause != CauseNone:
		b.cause = slowCause
		b.slowDown(s.At, wasSlow, excess)
		if crowdedByPrompts {
			b.perSecond = min(b.perSecond, b.promptLimit())
		}
	case crowdedByPrompts:
		b.cause = CausePrompts
		b.begin(s.At)
		b.perSecond, b.steppedAt = b.promptLimit(), s.At
	default:
		b.cause = CauseNone
		b.rise(s.At)
	}
	b.endIfUnused(s.At)
}

// begin puts a limit in force unless there is one.
func (b *Budget) begin(now core.Time) {
	if b.limited {
		return
	}
	b.limited, b.since, b.startCause, b.aboveSince = true, now, b.cause, 0
}

// promptsBound is the time within which all unread prompts are to be read.
func (b *Budget) promptsBound() time.Duration {
	return time.Duration(objectiveShare * float64(b.targets.FirstEvent))
}

// crowdedByPrompts reports whether reading the unread prompts takes too long. Once it does, it
// counts so until half of that time is left: a limit that rose as soon as the bound was met
// changed its direction more than once a second.
func (b *Budget) crowdedByPrompts() bool {
	bound := b.promptsBound()
	if b.cause == CausePrompts {
		bound /= 2
	}
	return b.readIn() > bound
}

// readIn predicts the time until the last unread prompt is read, 0 while the engine's capacity
// is unknown.
func (b *Budget) readIn() time.Duration {
	capacity := b.history.capacity()
	if capacity == 0 || b.targets.FirstEvent <= 0 {
		return 0
	}
	return time.Duration(b.history.unread(stepInterval) / capacity * float64(time.Second))
}

// promptLimit returns the limit of an engine that is crowded by prompts.
func (b *Budget) promptLimit() float64 {
	capacity := b.history.capacity()
	backlog := b.history.unread(stepInterval) - capacity*b.promptsBound().Seconds()
	return max(minPerSecond, usableShare*capacity-max(0, backlog)/backlogTime.Seconds())
}

// slow reports whether the engine is crowded by pauses or memory, and its excess over the
// threshold as a factor.
func (b *Budget) slow(s Sample) (Cause, float64) {
	if s.KVTotal > 0 {
		if ratio := float64(s.KVUsed) / (memoryShare * float64(s.KVTotal)); ratio >= 1 {
			return CauseMemory, ratio
		}
	}
	if b.targets.Pause > 0 && b.history.complete() {
		ratio := float64(b.history.pause()) / (objectiveShare * float64(b.targets.Pause))
		if b.pausesLast(s.At, ratio > 1) {
			return CausePauses, ratio
		}
	}
	return CauseNone, 0
}

// pausesLast reports whether pauses that are too long count as overload: while the engine reads
// prompts most of the time, or once they have lasted for a rateWindow.
//
// It guards against a single long prompt, which stretches all pauses for half a second at an
// engine that is otherwise idle: a limit by the few requests that it begins kept the callers of
// its other models waiting for five seconds.
func (b *Budget) pausesLast(now core.Time, tooLong bool) bool {
	if !tooLong {
		b.pausesSince = 0
		return false
	}
	if b.pausesSince == 0 {
		b.pausesSince = now
	}
	return b.history.readingShare() > loadedShare || now.Sub(b.pausesSince) >= rateWindow
}

// slowDown lowers the limit of an engine that is crowded by pauses or memory.
func (b *Budget) slowDown(now core.Time, wasSlow bool, excess float64) {
	switch {
	case !b.limited || !wasSlow:
		if !b.history.complete() {
			return
		}
		start := max(minPerSecond, usableShare*max(b.history.begun(), b.history.capacity()))
		if b.limited {
			start = min(start, b.perSecond)
		}
		b.begin(now)
		b.perSecond = start
	case now.Sub(b.steppedAt) < stepInterval:
		return
	case excess >= b.excess:
		b.perSecond = max(minPerSecond, b.perSecond*(1-stepShare))
	}
	b.steppedAt, b.excess = now, excess
}

// rise raises the limit of an engine that is not crowded.
//
// A limit below what the engine has begun in the last second, of which streams need a part,
// is raised to that at once. Steps from a limit that was lowered to read a backlog took
// seconds in which the engine was idle.
func (b *Budget) rise(now core.Time) {
	if !b.limited {
		return
	}
	if b.history.complete() {
		b.perSecond = max(b.perSecond, usableShare*b.history.begun())
	}
	if now.Sub(b.steppedAt) < stepInterval {
		return
	}
	b.perSecond *= 1 + stepShare
	b.steppedAt = now
}

// endIfUnused ends a limit that has been far above the demand for a while.
func (b *Budget) endIfUnused(now core.Time) {
	if !b.limited || b.cause != CauseNone || b.perSecond <= endFactor*b.history.asked() {
		b.aboveSince = 0
		return
	}
	if b.aboveSince == 0 {
		b.aboveSince = now
	}
	if now.Sub(b.aboveSince) >= endAfter {
		b.limited, b.perSecond = false, 0
	}
}

// State is the dump of a budget with its inputs.
type State struct {
	// PerSecond is the limit, 0 if there is none, in force for the time For. Began is why it
	// began, Crowded why the engine is crowded now.
	PerSecond      float64
	For            time.Duration
	Began, Crowded string
	// Capacity, Begun and Asked are in requests per second. Capacity is 0 if it is unknown.
	Capacity, Begun, Asked float64
	// ReadIn is the predicted time until the last unread prompt is read, Pause the mean pause
	// between events.
	ReadIn, Pause time.Duration
	// Memory is the used part of the KV memory.
	Memory  float64
	Targets Targets
}

// Dump returns the state at a time.
func (b *Budget) Dump(now core.Time) State {
	s := b.history.last
	state := State{
		PerSecond: b.perSecond, Began: b.startCause.String(), Crowded: b.cause.String(),
		Capacity: b.history.capacity(), Begun: b.history.begun(), Asked: b.history.asked(),
		ReadIn: b.readIn(), Pause: b.history.pause(), Targets: b.targets,
	}
	if b.limited {
		state.For = now.Sub(b.since)
	}
	if s.KVTotal > 0 {
		state.Memory = float64(s.KVUsed) / float64(s.KVTotal)
	}
	return state
}
