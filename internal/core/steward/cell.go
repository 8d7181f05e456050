package steward

import (
	"time"

	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
)

// retryWindow is the window of full jitter before a failed KV call is made
// again.
const retryWindow = time.Second

type operation uint8

const (
	idle operation = iota
	reading
	writing
)

// cell is this steward's view of one KV key, with at most one call under way.
type cell struct {
	key string
	// apply decodes a newly seen value.
	apply func(now core.Time, value []byte) error
	// again asks for another try after a write that did not succeed.
	again func(now core.Time)

	known    bool
	revision int64
	// highest revision ever seen; lower ones are out of date, also after a
	// deletion.
	highest int64
	// seenAt is the step at which the revision came into view.
	seenAt uint64
	// readAt is the step at which the newest answered read or write was
	// issued: the view is no older than that. Watched values don't set it.
	readAt uint64

	busy     operation
	issuedAt uint64
	// unread is set when the outcome of a write is unknown, or a view is
	// wanted that is newer than another key's: read before the next write.
	unread  bool
	retryAt core.Time
	wroteAt core.Time
}

func (p *Part) newTag(c *cell) uint64 {
	p.tag++
	p.ops[core.TagSteward+p.tag] = c
	return core.TagSteward + p.tag
}

func (p *Part) read(c *cell) {
	c.busy, c.issuedAt = reading, p.step
	p.emit(core.KVGet{Tag: p.newTag(c), Key: c.key})
}

// write starts a compare-and-swap against the revision in view.
func (p *Part) write(now core.Time, c *cell, value any, lease int64) {
	data, err := core.EncodeValue(value)
	if err != nil {
		p.note("value not encoded", "key", c.key, "error", err.Error())
		return
	}
	c.busy, c.issuedAt, c.wroteAt = writing, p.step, now
	p.emit(core.KVCas{Tag: p.newTag(c), Key: c.key, Value: data, Revision: c.revision, Lease: lease})
}

// ready reports whether the cell may be written. It starts a read if the cell
// must be read first.
func (p *Part) ready(now core.Time, c *cell) bool {
	if c.busy != idle || !p.kvUp || now < c.retryAt {
		return false
	}
	if !c.known || c.unread {
		p.read(c)
		return false
	}
	return true
}

// nextCell is the time at which the cell needs a read again.
func (p *Part) nextCell(c *cell) core.Time {
	if !c.known || c.unread {
		return p.gated(c, c.retryAt)
	}
	return core.Never
}

// gated returns at, or Never while a call is under way or the KV is down.
func (p *Part) gated(c *cell, at core.Time) core.Time {
	if c.busy != idle || !p.kvUp {
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
	was := c.busy
	c.busy = idle
	if was == writing {
		p.count(counterWrites, kindOfKey(c.key), outcomeOf(ev.Code))
	}
	switch {
	case ev.Code == code.OK && was == writing:
		c.readAt = c.issuedAt
		p.view(now, c, ev.Value, ev.Revision)
	case ev.Code == code.OK || ev.Code == code.KVConflict:
		c.readAt, c.unread = c.issuedAt, false
		p.planSoon(now)
		p.view(now, c, ev.Value, ev.Revision)
	case ev.Code == code.KVUnknown && was == writing:
		// Guard: the write may have taken effect. Its revision is unknown, so
		// the key is read back before anything is decided from it. Should the
		// write take effect after that read, it does so by compare-and-swap,
		// and a write decided in between fails instead.
		c.unread = true
	default:
		c.retryAt = now.Add(p.jitter(retryWindow))
	}
	if was == writing && ev.Code != code.OK && c.again != nil {
		c.again(now)
	}
}

// view takes a committed value in.
func (p *Part) view(now core.Time, c *cell, value []byte, revision int64) {
	if c.known && (revision == c.revision || revision != 0 && revision < c.highest) {
		return
	}
	if c.known && revision == 0 && c != &p.office.cell {
		// Rosters and tables are never deleted. A slot's generation would
		// start anew, so a missing value is not taken for an empty one.
		p.note("value missing", "key", c.key)
		c.retryAt = now.Add(retryWindow)
		return
	}
	if err := c.apply(now, value); err != nil {
		p.note("value not decoded", "key", c.key, "error", err.Error())
		c.retryAt = now.Add(retryWindow)
		return
	}
	c.known, c.revision, c.seenAt = true, revision, p.step
	c.highest = max(c.highest, revision)
	if c == &p.office.cell {
		p.onRecord(now)
	}
}
