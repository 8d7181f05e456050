package gateway

import (
	"bytes"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"nutmeglane.example/nutmeglane/internal/clock"
	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/router"
	"nutmeglane.example/nutmeglane/platform"
)

const (
	// attemptSlack lets the reducer end an attempt before its reads time out.
	attemptSlack = 500 * time.Millisecond
	// maxStray is how many answers to other requests are read over before a
	// connection is given up.
	maxStray = 2
	// maxHeld is the most of an answer that is held until it is whole; larger
	// ones are passed on as they come.
	maxHeld = 256 << 10
	// streamChunk is the size of reads from a stream.
	streamChunk = 4 << 10
)

// answer is a backend server's answer to an attempt.
type answer struct {
	attempt  int
	send     router.Send
	conn     *upstream
	response *http.Response
	head     platform.Head
	stream   bool
	// body is the whole body of an answer that was held, and whole is set.
	body  []byte
	whole bool
	pace  pace
	// sentAll is set if the request was written whole.
	sentAll bool
}

// pace is how fast the events of a stream come.
type pace struct {
	events      int
	first, last time.Time
}

// add notes that so many events have come by now.
func (p *pace) add(events int, now time.Time) {
	if p.events == 0 {
		p.first = now
	}
	p.events, p.last = events, now
}

// pause is the mean pause between events.
func (p *pace) pause() time.Duration {
	if p.events < 2 {
		return 0
	}
	return p.last.Sub(p.first) / time.Duration(p.events-1)
}

func (c *call) now() core.Time { return clock.Now() }

// reusable tells whether the connection may serve another request.
func (a *answer) reusable() bool {
	return a.sentAll && !a.response.Close && a.response.ProtoAtLeast(1, 1) &&
		(a.response.ContentLength >= 0 || len(a.response.TransferEncoding) > 0)
}

// readAnswer reads the head of the answer, and all of it if it is no stream.
func (c *call) readAnswer(d router.Send, conn *upstream, sent error) {
	a, err := c.readHead(d, conn)
	if err != nil {
		failure := router.BadAnswer
		if isConnError(err) {
			failure = router.NoAnswer
		}
		c.failConn(d, conn, failure, errors.CombineErrors(err, sent))
		return
	}
	a.sentAll = sent == nil
	if !a.stream {
		if failed, err := a.hold(); err != nil {
			c.failConn(d, conn, failed, err)
			return
		}
	}
	c.answer = a
	c.gateway.Step(router.Answered{Key: c.key, Attempt: d.Attempt, Answer: a.head.Answer})
}

func isConnError(err error) bool {
	var network interface{ Timeout() bool }
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &network)
}

// readHead reads the head of the answer to this request.
//
// It guards against answers that belong to other requests: a faulty server may
// send one twice, and the second comes where this request's answer is due. The
// id tells them apart.
func (c *call) readHead(d router.Send, conn *upstream) (*answer, error) {
	for stray := 0; ; {
		response, err := http.ReadResponse(conn.reader, c.request)
		if err != nil {
			return nil, errors.Wrap(err, "read answer")
		}
		if response.StatusCode < 200 {
			continue
		}
		head := platform.DecodeHead(response)
		if head.RequestID != "" && head.RequestID != c.info.ID {
			stray++
			if _, err := io.Copy(io.Discard, response.Body); err != nil || stray > maxStray {
				return nil, errors.Newf("answers to other requests came, the last to %s", head.RequestID)
			}
			continue
		}
		success := head.Status >= 200 && head.Status < 300
		if success && (!head.Sealed || head.Encoded || head.RequestID == "") {
			return nil, errors.Newf("a success that is not the server's: status %d, sealed %t, encoded %t, id %q",
				head.Status, head.Sealed, head.Encoded, head.RequestID)
		}
		stream := success && strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream")
		return &answer{attempt: d.Attempt, send: d, conn: conn, response: response, head: head, stream: stream}, nil
	}
}

// hold reads the body, so that an answer that breaks off can be replaced by
// another server's. One that is too large for that is passed on as it comes.
func (a *answer) hold() (router.Failure, error) {
	var b bytes.Buffer
	_, err := io.Copy(&b, io.LimitReader(a.response.Body, maxHeld+1))
	a.body = b.Bytes()
	if err != nil {
		return router.Broken, errors.Wrap(err, "read body")
	}
	a.whole = len(a.body) <= maxHeld
	return 0, nil
}

// relay passes an answer on. It reports whether the request has ended.
func (c *call) relay(a *answer) (ended bool) {
	if a.stream {
		return c.relayStream(a)
	}
	// Guards against a stream that looks complete: a part of it was passed on, its
	// server broke off, and the next one answers with a failure instead of going
	// on. Passed on, that answer would end the stream in good order, some events
	// short.
	if c.started {
		return c.breakOff(a, errors.Newf("status %d in place of the rest of the stream", a.head.Status))
	}
	c.writeHead(a)
	c.pass(a.body)
	if !a.whole {
		if _, err := io.Copy(callerWriter{c}, a.response.Body); err != nil {
			return c.breakOff(a, err)
		}
	}
	c.end(a)
	return true
}

// pass writes a part of the answer to the caller.
//
// It guards against blaming a server for its caller: a write fails because the
// caller closed the connection. Told as a failure of the answer, it would count
// against the server, and a stream that can be resumed would be sent to another
// one for nobody. A caller who left ends the request.
func (c *call) pass(data []byte) {
	if _, err := c.writer.Write(data); err != nil {
		c.callerLeft()
	}
}

// callerLeft ends the request and the handler.
func (c *call) callerLeft() {
	c.drop()
	c.gateway.Step(router.Gone{Key: c.key})
	panic(http.ErrAbortHandler)
}

// callerWriter passes an answer on as it is read.
type callerWriter struct{ call *call }

func (w callerWriter) Write(data []byte) (int, error) {
	w.call.pass(data)
	return len(data), nil
}

func (c *call) writeHead(a *answer) {
	if c.started {
		return
	}
	c.started = true
	header := c.writer.Header()
	platform.CopyResponseHeader(header, a.response.Header)
	if _, ok := header["Content-Type"]; !ok {
		header["Content-Type"] = nil // keeps net/http from guessing one
	}
	if c.gateway.stopping.Load() {
		header.Set("Connection", "close")
	}
	if a.whole && a.response.ContentLength >= 0 {
		header.Set("Content-Length", a.response.Header.Get("Content-Length"))
	}
	c.writer.WriteHeader(a.response.StatusCode)
}

// end ends a request whose answer was passed on whole.
func (c *call) end(a *answer) {
	c.giveBack(a)
	c.gateway.Step(router.Done{Key: c.key, Attempt: a.attempt, Events: a.pace.events, Pause: a.pace.pause()})
}

// relayStream passes whole events on as they come. The head goes with the
// first, so that until then the request can still be answered otherwise.
func (c *call) relayStream(a *answer) (ended bool) {
	s := eventScanner{}
	chunk := make([]byte, streamChunk)
	stall := c.watchStall(a)
	defer stall.Stop()
	for first := true; ; {
		n, err := a.response.Body.Read(chunk)
		if events := s.take(chunk[:n]); len(events) > 0 {
			a.pace.add(s.count, time.Now())
			c.passEvents(a, events, &first)
			c.lastEvent = s.lastID
			if d := a.send.StallAfter; d > 0 {
				stall.Reset(d)
			}
		}
		switch {
		case err == nil:
		case errors.Is(err, io.EOF):
			return c.endStream(a, &s)
		default:
			return c.breakOff(a, err)
		}
	}
}

// watchStall tells the reducer once no event has come for long. The timer
// starts with the first event.
func (c *call) watchStall(a *answer) *time.Timer {
	return time.AfterFunc(time.Hour, func() {
		c.gateway.Step(router.Stalled{Key: c.key, Attempt: a.attempt})
	})
}

func (c *call) passEvents(a *answer, events []byte, first *bool) {
	c.writeHead(a)
	c.pass(events)
	if err := http.NewResponseController(c.writer).Flush(); err != nil {
		c.callerLeft()
	}
	if *first {
		*first = false
		c.gateway.Step(router.FirstEvent{Key: c.key, Attempt: a.attempt})
	}
}

// endStream passes on what is left after the last event.
func (c *call) endStream(a *answer, s *eventScanner) bool {
	c.writeHead(a)
	if rest := s.rest(); len(rest) > 0 {
		c.pass(rest)
	}
	c.end(a)
	return true
}

func (c *call) breakOff(a *answer, err error) bool {
	c.failConn(a.send, a.conn, router.Broken, err)
	return false
}
