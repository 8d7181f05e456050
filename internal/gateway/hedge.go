package gateway

import (
	"bytes"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"nutmeglane.example/nutmeglane/internal/router"
)

// This file makes a second attempt of a request beside the first one, whose server is silent. It reads
// the answer, of a stream up to the first event, and gives the caller nothing: the reducer decides
// which of the two goes on, and the request's own goroutine then forwards that one.
//
// Both attempts of a stream continue at the same position. The reducer is told of an event of the
// stalled stream before it is forwarded (Resumed) and drops the hedge then, so that no event comes
// twice or is missing.

// hedge is a second attempt. It runs in a call of its own, which has no caller.
type hedge struct {
	attempt int
	call    *call
}

// startHedge begins a second attempt. It does not block.
func (c *call) startHedge(d router.Send) {
	c.mu.Lock()
	defer c.mu.Unlock()
	side := &call{gateway: c.gateway, key: c.key, request: c.request, info: c.info, body: c.body, held: c.held, isHedge: true}
	if d.Rest {
		side.position, side.started = c.stalledAt, true
	}
	c.hedge = &hedge{attempt: d.Attempt, call: side}
	side.body.Retain()
	go func() {
		defer side.body.Release()
		side.attempt(d)
	}()
}

// takeHedge makes the answer of the hedge, if the attempt is the hedge, that of the request.
func (c *call) takeHedge(attempt int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.hedge == nil || c.hedge.attempt != attempt {
		return
	}
	side := c.hedge.call
	c.hedge = nil
	side.mu.Lock()
	defer side.mu.Unlock()
	c.conn, c.answer = side.conn, side.answer
	side.conn = nil
}

// abortHedge resets the connection of the hedge, if there is one.
func (c *call) abortHedge() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.hedge != nil {
		c.hedge.call.abandon(c.hedge.attempt)
		c.hedge = nil
	}
}

// errNoStream means that a server answered with a success that is not the rest of the stream.
var errNoStream = errors.New("received no stream instead of the rest of the stream")

// awaitEvent reads the stream of a hedge up to its first event, or its end. What was read is
// forwarded later. An answer that is no stream is not read here.
func (c *call) awaitEvent(a *answer) error {
	switch {
	case !a.stream && c.started && a.head.Status == http.StatusOK:
		return errNoStream
	case !a.stream:
		return nil
	}
	s := c.scanner(a)
	body := a.response.Body
	var read bytes.Buffer
	chunk := make([]byte, streamChunk)
	for s.Events() == 0 {
		n, err := body.Read(chunk)
		c.progress.received()
		read.Write(chunk[:n])
		s.Feed(chunk[:n])
		if err == nil && read.Len() > maxEventBytes {
			err = errEventTooLarge
		}
		if err == nil {
			continue
		}
		if cause := streamBreak(a.ended(err), s, err); cause != nil {
			return cause
		}
		break // the caller has all events already
	}
	a.response.Body = readAhead{io.MultiReader(&read, body), body}
	return nil
}

// readAhead is a body of which a part was read already.
type readAhead struct {
	io.Reader
	io.Closer
}

// reportStall reports that no event has arrived for too long, unless one is being forwarded.
func (c *call) reportStall(a *answer) {
	c.stallMu.Lock()
	defer c.stallMu.Unlock()
	if c.forwarding {
		return
	}
	c.stalled = true
	c.mu.Lock()
	c.stalledAt = c.position
	c.mu.Unlock()
	c.gateway.Step(router.Stalled{Key: c.key, Attempt: a.attempt})
}

// beginForwarding reports that a stalled stream continues, before its next event is forwarded. No
// stall is reported until endForwarding.
func (c *call) beginForwarding(a *answer) {
	c.stallMu.Lock()
	defer c.stallMu.Unlock()
	c.forwarding = true
	if c.stalled {
		c.stalled = false
		c.gateway.Step(router.Resumed{Key: c.key, Attempt: a.attempt})
	}
}

func (c *call) endForwarding() {
	c.stallMu.Lock()
	defer c.stallMu.Unlock()
	c.forwarding = false
}
