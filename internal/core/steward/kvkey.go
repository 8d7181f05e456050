package steward

import (
	"time"

	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
)

// retryWindow is the window of full jitter before a failed KV call is repeated.
const retryWindow = time.Second

type operation uint8

const (
	idle operation = iota
	reading
	writing
)

// keyView is this process's view of one KV key, with at most one open call.
type keyView struct {
	key string
	// apply decodes and stores a new value.
	apply func(now core.Time, value []byte) error
	// retry schedules another attempt after a write that did not succeed.
	retry func(now core.Time)

	known    bool
	revision int64
	// highest is the highest revision ever seen; lower ones are outdated, also
	// after a deletion.
	highest int64
	// seenStep is the step at which revision was first seen.
	seenStep uint64
	// readStep is the step at which the newest answered read or write was
	// issued: the view is no older than that. Watched values don't set it.
	readStep uint64

	pending    operation
	issuedStep uint64
	// mustRead is set when the outcome of a write is unknown, or when a view
	// newer than another key's is needed: the key is read before the next write.
	mustRead bool
	retryAt  core.Time
	wroteAt  core.Time
}

func (p *Part) newTag(c *keyView) uint64 {
	p.tag++
	p.ops[core.TagSteward+p.tag] = c
	return core.TagSteward + p.tag
}

func (p *Part) read(c *keyView) {
	c.pending, c.issuedStep = reading, p.step
	p.emit(core.KVGet{Tag: p.newTag(c), Key: c.key})
}

// write starts a compare-and-swap against the revision that was last seen.
func (p *Part) write(now core.Time, c *keyView, value any, lease int64) {
	data, err := core.EncodeValue(value)
	if err != nil {
		p.note("value not encoded", "key", c.key, "error", err.Error())
		return
	}
	c.pending, c.issuedStep, c.wroteAt = writing, p.step, now
	p.emit(core.KVCas{Tag: p.newTag(c), Key: c.key, Value: data, Revision: c.revision, Lease: lease})
}

// ready reports whether the key may be written. It starts a read if the key
// must be read first.
func (p *Part) ready(now core.Time, c *keyView) bool {
	if c.pending != idle || !p.kvUp || now < c.retryAt {
		return false
	}
	if !c.known || c.mustRead {
		p.read(c)
		return false
	}
	return true
}

// nextRead returns the time at which the key has to be read, or Never.
func (p *Part) nextRead(c *keyView) core.Time {
	if !c.known || c.mustRead {
		return p.earliestCall(c, c.retryAt)
	}
	return core.Never
}

// earliestCall returns when a call that is due at the given time may be made:
// Never while a call is open or the KV service is down.
func (p *Part) earliestCall(c *keyView, at core.Time) core.Time {
	if c.pending != idle || !p.kvUp {
		return core.Never
	}
	return max(at, c.retryAt)
}

func (p *Part) onResult(now core.Time, ev core.KVResult) {
	if p.onLeaseResult(now, ev) {
		return
	}
	c := p.ops[ev.Tag]
	if c == nil {
		return
	}
	delete(p.ops, ev.Tag)
	was := c.pending
	c.pending = idle
	if was == writing {
		p.count(counterWrites, kindOfKey(c.key), outcomeOf(ev.Code))
	}
	switch {
	case ev.Code == code.OK && was == writing:
		c.readStep = c.issuedStep
		p.applyValue(now, c, ev.Value, ev.Revision)
	case ev.Code == code.OK || ev.Code == code.KVConflict:
		c.readStep, c.mustRead = c.issuedStep, false
		p.planSoon(now)
		p.applyValue(now, c, ev.Value, ev.Revision)
	case ev.Code == code.KVUnknown && was == writing:
		// The write may have taken effect. Its revision is unknown, so the key
		// is read back before anything is decided from it. If the write takes
		// effect after that read, it does so by compare-and-swap, and a write
		// decided in between fails instead.
		c.mustRead = true
	default:
		c.retryAt = now.Add(p.jitter(retryWindow))
	}
	if was == writing && ev.Code != code.OK && c.retry != nil {
		c.retry(now)
	}
}

// applyValue stores a committed value unless it is outdated.
func (p *Part) applyValue(now core.Time, c *keyView, value []byte, revision int64) {
	if c.known && (revision == c.revision || revision != 0 && revision < c.highest) {
		return
	}
	if c.known && revision == 0 && c != &p.election.keyView {
		// Rosters and tables are never deleted. Treating a missing value as an
		// empty one would restart the generations of its slots.
		p.note("value missing", "key", c.key)
		c.retryAt = now.Add(retryWindow)
		return
	}
	if err := c.apply(now, value); err != nil {
		p.note("value not decoded", "key", c.key, "error", err.Error())
		c.retryAt = now.Add(retryWindow)
		return
	}
	c.known, c.revision, c.seenStep = true, revision, p.step
	c.highest = max(c.highest, revision)
	if c == &p.election.keyView {
		p.onRecord(now)
	}
}
