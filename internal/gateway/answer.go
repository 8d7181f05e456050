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
	"nutmeglane.example/nutmeglane/internal/framing"
	"nutmeglane.example/nutmeglane/internal/router"
	"nutmeglane.example/nutmeglane/platform"
)

const (
	// attemptSlack is added to the deadline of a connection, so that the reducer ends an
	// attempt before its reads time out.
	attemptSlack = 500 * time.Millisecond
	// maxStrayAnswers is the number of responses to other requests that are skipped before
	// the attempt fails.
	maxStrayAnswers = 2
	// maxBufferedBytes is the largest body that is buffered completely before it is
	// forwarded. Larger ones are forwarded as they arrive.
	maxBufferedBytes = 256 << 10
	// streamChunk is the size of reads from a stream, in bytes.
	streamChunk = 4 << 10
)

// answer is a backend server's response to an attempt.
type answer struct {
	attempt  int
	send     router.Send
	conn     *upstream
	response *http.Response
	head     platform.Head
	framing  framing.Kind
	stream   bool
	// body is the buffered body, or its start if complete is not set. It is empty for
	// streams.
	body     []byte
	complete bool
	timing   eventTiming
	// requestSent is set if the complete request was written.
	requestSent bool
}

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

func (c *call) now() core.Time { return clock.Now() }

// reusable reports whether the connection can be used for another request.
func (a *answer) reusable() bool {
	return a.requestSent && !a.response.Close && a.response.ProtoAtLeast(1, 1) &&
		(a.response.ContentLength >= 0 || len(a.response.TransferEncoding) > 0)
}

// readAnswer reads the head of the response and, unless it is a stream, its body up to
// maxBufferedBytes. sent is the error of writing the request, if any.
func (c *call) readAnswer(d router.Send, conn *upstream, sent error) {
	a, err := c.readHead(d, conn)
	if err != nil {
		failure := router.BadAnswer
		if isConnError(err) {
			failure = router.NoAnswer
		}
		c.abortAndReport(conn, router.AttemptFailed{Attempt: d.Attempt, Failure: failure}, errors.CombineErrors(err, sent))
		return
	}
	a.requestSent = sent == nil
	if !a.stream {
		if err := a.bufferBody(); err != nil {
			c.reportBroken(a, err)
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

// readHead reads the head of the response to this request.
//
// It skips responses to other requests, which it detects by their request id: a faulty server
// may send a response twice, and the second one arrives in place of the response to the next
// request on the connection.
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
		if head.Announces() {
			c.gateway.Step(router.ServerAnnounced{Server: d.Incarnation, Answer: head.Answer})
		}
		if head.RequestID != "" && head.RequestID != c.info.ID {
			stray++
			if _, err := io.Copy(io.Discard, response.Body); err != nil || stray > maxStrayAnswers {
				return nil, errors.Newf("received responses to other requests, the last one to %s", head.RequestID)
			}
			continue
		}
		success := head.Status >= 200 && head.Status < 300
		if success && (!head.Sealed || head.Encoded || head.RequestID == "") {
			return nil, errors.Newf("success response not from the backend server: status %d, sealed %t, encoded %t, id %q",
				head.Status, head.Sealed, head.Encoded, head.RequestID)
		}
		stream := success && strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream")
		return &answer{attempt: d.Attempt, send: d, conn: conn, response: response, head: head, framing: framing.Of(response), stream: stream}, nil
	}
}

// bufferBody reads the body up to maxBufferedBytes, so that a truncated response can be
// replaced by that of another server. A larger one is forwarded as it arrives.
func (a *answer) bufferBody() error {
	var b bytes.Buffer
	_, err := io.Copy(&b, io.LimitReader(a.response.Body, maxBufferedBytes+1))
	a.body = b.Bytes()
	if err != nil {
		return errors.Wrap(err, "read body")
	}
	a.complete = len(a.body) <= maxBufferedBytes
	return nil
}

// relay forwards a response. It reports whether the request has ended.
func (c *call) relay(a *answer) (ended bool) {
	if a.stream {
		return c.relayStream(a)
	}
	// A part of a stream was forwarded, its server failed, and the next server responded
	// with an error instead of resuming it. Forwarding that response would end the stream
	// normally with events missing, so that it would look complete.
	if c.started {
		return c.reportBroken(a, errors.Newf("received status %d instead of the rest of the stream", a.head.Status))
	}
	c.writeHead(a)
	c.writeToCaller(a.body)
	if !a.complete {
		if _, err := io.Copy(callerWriter{c}, a.response.Body); err != nil {
			return c.reportBroken(a, err)
		}
	}
	c.complete(a, a.ended(io.EOF, 0))
	return true
}

// writeToCaller writes a part of the response to the caller.
//
// A write fails because the caller closed the connection, so an error ends the request.
// Reported as a failure of the attempt, it would count as a failure of the server, and a
// resumable stream would be sent to another server without anyone to receive it.
func (c *call) writeToCaller(data []byte) {
	if _, err := c.writer.Write(data); err != nil {
		c.abortCallerGone()
	}
}

// abortCallerGone ends the request and the handler after the caller has disconnected.
func (c *call) abortCallerGone() {
	c.abortConn()
	c.gateway.Step(router.CallerLeft{Key: c.key})
	panic(http.ErrAbortHandler)
}

// callerWriter forwards a response as it is read.
type callerWriter struct{ call *call }

func (w callerWriter) Write(data []byte) (int, error) {
	w.call.writeToCaller(data)
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
		header["Content-Type"] = nil // prevents net/http from detecting one
	}
	if c.gateway.stopping.Load() {
		header.Set("Connection", "close")
	}
	if a.complete && a.response.ContentLength >= 0 {
		header.Set("Content-Length", a.response.Header.Get("Content-Length"))
	}
	c.writer.WriteHeader(a.response.StatusCode)
}

// complete ends a request whose response was forwarded as complete.
func (c *call) complete(a *answer, end router.AnswerEnd) {
	c.releaseConn(a)
	c.gateway.Step(router.Done{Key: c.key, Attempt: a.attempt, End: end, Given: c.given(), Pause: a.timing.meanPause()})
}

// ended describes how the response ended, from the error of its last read and the number of
// bytes after the last complete event of a stream.
func (a *answer) ended(err error, leftover int) router.AnswerEnd {
	return router.AnswerEnd{
		Framing: a.framing, End: framing.EndOf(a.framing, err), Events: a.timing.events, Leftover: leftover,
	}
}

// given returns the framing of the response that the caller gets, Unknown if none was started.
func (c *call) given() framing.Kind {
	switch {
	case !c.started:
		return framing.Unknown
	case c.writer.Header().Get("Content-Length") != "":
		return framing.Length
	case c.request.ProtoAtLeast(1, 1):
		return framing.Chunked
	default:
		return framing.UntilClose
	}
}

// relayStream forwards complete events as they arrive. It sends the head with the first
// event, so that until then the request can still get a different response.
func (c *call) relayStream(a *answer) (ended bool) {
	s := eventScanner{}
	chunk := make([]byte, streamChunk)
	stall := c.newStallTimer(a)
	defer stall.Stop()
	for first := true; ; {
		n, err := a.response.Body.Read(chunk)
		if events := s.feed(chunk[:n]); len(events) > 0 {
			a.timing.add(s.count, time.Now())
			c.writeEvents(a, events, &first)
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
			return c.reportBrokenStream(a, &s, err)
		}
	}
}

// newStallTimer returns a stopped timer that reports to the reducer that no event has arrived
// for too long. Each event starts it again if the attempt has a limit.
func (c *call) newStallTimer(a *answer) *time.Timer {
	timer := time.AfterFunc(time.Hour, func() {
		c.gateway.Step(router.Stalled{Key: c.key, Attempt: a.attempt})
	})
	timer.Stop()
	return timer
}

func (c *call) writeEvents(a *answer, events []byte, first *bool) {
	c.writeHead(a)
	c.writeToCaller(events)
	if err := http.NewResponseController(c.writer).Flush(); err != nil {
		c.abortCallerGone()
	}
	if *first {
		*first = false
		c.gateway.Step(router.FirstEvent{Key: c.key, Attempt: a.attempt})
	}
}

// endStream forwards the bytes after the last event and completes the request.
func (c *call) endStream(a *answer, s *eventScanner) bool {
	c.writeHead(a)
	rest := s.remainder()
	if len(rest) > 0 {
		c.writeToCaller(rest)
	}
	c.complete(a, a.ended(io.EOF, len(rest)))
	return true
}

// reportBroken reports that a response broke off. It returns false: the request continues.
func (c *call) reportBroken(a *answer, err error) (ended bool) {
	return c.reportBrokenStream(a, &eventScanner{}, err)
}

// reportBrokenStream is reportBroken for a stream whose events s has split.
func (c *call) reportBrokenStream(a *answer, s *eventScanner, err error) (ended bool) {
	failed := router.AttemptFailed{Attempt: a.attempt, Failure: router.Broken, End: a.ended(err, len(s.remainder()))}
	c.abortAndReport(a.conn, failed, err)
	return false
}
