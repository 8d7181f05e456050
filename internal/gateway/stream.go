package gateway

import (
	"bytes"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"nutmeglane.example/nutmeglane/internal/framing"
	"nutmeglane.example/nutmeglane/internal/router"
	"nutmeglane.example/nutmeglane/internal/sse"
)

const (
	// streamChunk is the size of reads from a stream, in bytes.
	streamChunk = 4 << 10
	// maxEventBytes is the size of the largest event that is forwarded. An event is held
	// until it is complete; events have some hundred bytes.
	maxEventBytes = 1 << 20
)

var (
	// errEventTooLarge means that an event exceeds maxEventBytes.
	errEventTooLarge = errors.New("an event is too large")
	// errInexact means that an attempt can't continue a stream where it is.
	errInexact = errors.New("the last event has no id")
	// errUnnumbered means that it can't be checked whether a stream continues where it is.
	errUnnumbered = errors.New("the last event's id is no number")
)

// eventTiming measures the intervals between the events of a stream.
type eventTiming struct {
	events      int
	first, last time.Time
}

// add records that, in total, the given number of events have arrived by now.
func (t *eventTiming) add(events int, now time.Time) {
	if t.events == 0 {
		t.first = now
	}
	t.events, t.last = events, now
}

// meanPause returns the mean interval between events, 0 for fewer than two.
func (t *eventTiming) meanPause() time.Duration {
	if t.events < 2 {
		return 0
	}
	return t.last.Sub(t.first) / time.Duration(t.events-1)
}

// relayStream forwards complete events as they arrive. It sends the head with the first
// event, so that until then the request can still get a different response.
func (c *call) relayStream(a *answer) (ended bool) {
	s := c.scanner(a)
	chunk := make([]byte, streamChunk)
	stall := c.newStallTimer(a)
	defer stall.Stop()
	for {
		n, err := a.response.Body.Read(chunk)
		if n > 0 {
			c.progress.received()
		}
		if c.isAbandoned(a.attempt) {
			return false
		}
		if blocks := s.Feed(chunk[:n]); len(blocks) > 0 {
			c.relayBlocks(a, s, blocks)
			c.resetStall(stall, a)
		}
		if len(s.Remainder())+len(a.heldBlocks) > maxEventBytes {
			err = errEventTooLarge
		}
		if s.Err() != nil {
			err = s.Err()
		}
		if c.isAbandoned(a.attempt) {
			return false // on the events of this read
		}
		if err != nil {
			return c.endStream(a, s, err)
		}
	}
}

// scanner returns the scanner of a stream that follows what was forwarded. The events of a run that
// continues from its copy are checked: nothing of a stream that does not fit may be joined.
func (c *call) scanner(a *answer) *sse.Scanner {
	if a.send.CopyFrom != "" {
		return sse.Continue(c.position)
	}
	return sse.Resume(c.position)
}

// relayBlocks forwards complete blocks of a stream and reports its first event, unless the attempt
// was abandoned.
func (c *call) relayBlocks(a *answer, s *sse.Scanner, blocks []byte) {
	if a.timing.events == 0 && s.Events() > 0 {
		c.gateway.Step(router.FirstEvent{Key: c.key, Attempt: a.attempt})
	}
	events := s.Events() - a.timing.events
	a.timing.add(s.Events(), time.Now())
	if a.timing.events == 0 {
		a.heldBlocks = append(a.heldBlocks, blocks...)
		return
	}
	if len(a.heldBlocks) > 0 {
		blocks = append(a.heldBlocks, blocks...)
		a.heldBlocks = nil
	}
	c.beginForwarding(a)
	defer c.endForwarding()
	if !c.give(a, c.streamPart(a, blocks)) {
		return
	}
	a.streamBegan = true
	c.progress.gaveEvents(events)
	if err := http.NewResponseController(c.writer).Flush(); err != nil {
		c.abortCallerGone()
	}
	c.position = s.Position()
}

// streamPart returns a part of a stream as it follows what was given to the caller. A byte order
// mark has a meaning only at the start of the caller's stream.
func (c *call) streamPart(a *answer, part []byte) []byte {
	if c.started && !a.streamBegan {
		return bytes.TrimPrefix(part, sse.ByteOrderMark)
	}
	return part
}

// newStallTimer returns a stopped timer that reports to the reducer that no event has arrived
// for too long.
func (c *call) newStallTimer(a *answer) *time.Timer {
	timer := time.AfterFunc(time.Hour, func() { c.reportStall(a) })
	timer.Stop()
	return timer
}

// resetStall starts the timer anew if the attempt has a limit on pauses and its stream can be
// resumed where it is.
func (c *call) resetStall(stall *time.Timer, a *answer) {
	if a.send.StallAfter > 0 && a.timing.events > 0 && c.position.Exact() {
		stall.Reset(a.send.StallAfter)
		return
	}
	stall.Stop()
}

// endStream decides whether a stream whose last read returned err is complete, and completes
// the request or reports that the stream broke off.
func (c *call) endStream(a *answer, s *sse.Scanner, err error) (ended bool) {
	end := a.ended(err)
	end.Leftover = len(s.Remainder())
	if cause := streamBreak(end, s, err); cause != nil {
		end.Unresumable = !c.position.Exact()
		c.reportBrokenAs(a, end, cause)
		return false
	}
	return c.complete(a, end, c.streamPart(a, append(a.heldBlocks, s.Remainder()...)))
}

// streamBreak returns why a stream whose last read returned err is not complete, nil if it is.
func streamBreak(end router.AnswerEnd, s *sse.Scanner, err error) error {
	if !framing.Complete(end.Framing, end.End) {
		return err
	}
	return s.Incomplete(end.Framing)
}
