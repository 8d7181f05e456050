package fairshare

import (
	"math/rand/v2"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
)

const start = core.Time(time.Hour)

// engine is a token bucket whose permits are granted by Shares, in virtual time.
type engine struct {
	shares *Shares
	bucket Bucket
	now    core.Time
}

func newEngine(perSecond float64) *engine {
	return &engine{shares: New(), bucket: Bucket{Capacity: 1 + perSecond, PerSecond: perSecond}, now: start}
}

func (e *engine) pass(d time.Duration) {
	e.now = e.now.Add(d)
	e.bucket.Left = min(e.bucket.Capacity, e.bucket.Left+e.bucket.PerSecond*d.Seconds())
}

// outcome is the answer to a request for a permit.
type outcome int

const (
	granted outcome = iota
	overShare
	noPermit
)

func (e *engine) ask(request Request) outcome {
	decision := e.shares.Decide(e.now, request, e.bucket)
	switch {
	case decision.OverShare:
		return overShare
	case e.bucket.Left < 1+decision.Reserve:
		e.shares.Refused(e.now, request, e.bucket.Left < 1)
		return noPermit
	}
	e.bucket.Left--
	e.shares.Granted(e.now, request)
	return granted
}

// caller asks at a rate by a Poisson process.
type caller struct {
	Request
	perSecond float64
	// asked and got count its requests and permits, refused those that were refused for its
	// account's share.
	asked, got, refused int
}

// run lets callers ask, in a random order, for the given time.
func (e *engine) run(r *rand.Rand, lasts time.Duration, callers []*caller) {
	const step = time.Millisecond
	for end := e.now.Add(lasts); e.now < end; e.pass(step) {
		for _, i := range r.Perm(len(callers)) {
			c := callers[i]
			if r.Float64() >= c.perSecond*step.Seconds() {
				continue
			}
			c.asked++
			switch e.ask(c.Request) {
			case granted:
				c.got++
			case overShare:
				c.refused++
			case noPermit:
			}
		}
	}
}

// restart resets the counts of callers.
func restart(callers []*caller) {
	for _, c := range callers {
		c.asked, c.got, c.refused = 0, 0, 0
	}
}
