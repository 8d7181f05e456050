package gateway

import (
	"bytes"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"nutmeglane.example/nutmeglane/internal/clock"
	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/framing"
	"nutmeglane.example/nutmeglane/internal/router"
	"nutmeglane.example/nutmeglane/internal/sse"
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
	// heldBlocks are comments and empty lines of a stream before its first event, which begins
	// the answer. streamBegan is set once a part of this stream was forwarded.
	heldBlocks  []byte
	streamBegan bool
	// requestSent is set if the complete request was written.
	requestSent bool
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
		end := router.AnswerEnd{End: framing.EndOf(framing.Unknown, err)}
		c.abortAndReport(conn, router.AttemptFailed{Attempt: d.Attempt, Failure: failure, End: end}, errors.CombineErrors(err, sent))
		return
	}
	a.requestSent = sent == nil
	if c.isHedge {
		if err := c.awaitEvent(a); err != nil {
			c.reportBroken(a, err)
			return
		}
	}
	if !a.stream {
		if err := a.bufferBody(c.held); err != nil {
			c.reportBroken(a, err)
			return
		}
	}
	c.answer = a
	answered := router.Answered{Key: c.key, Attempt: d.Attempt, Answer: a.head.Answer}
	if a.complete && c.mayGive(a) {
		answered.Whole, answered.End, answered.Given = true, a.ended(io.EOF), c.framingTo(a.measured())
	}
	c.gateway.Step(answered)
}

// mayGive reports whether an answer that isn't a stream may be given to the caller.
//
// A part of a stream was forwarded, its server failed, and the next server responded with an
// error instead of resuming it: forwarding that response would end the stream normally with
// events missing, so that it would look complete. An engine that should continue a run must not
// answer in another way, also before its first event.
func (c *call) mayGive(a *answer) bool { return !c.started && a.send.CopyFrom == "" }

// measured reports whether the caller gets the length of the answer before its body.
func (a *answer) measured() bool { return a.complete && a.response.ContentLength >= 0 }

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
	conn.allow(framing.MaxHeadBytes)
	for stray := 0; ; {
		response, err := http.ReadResponse(conn.reader, c.request)
		if err != nil {
			return nil, errors.Wrap(err, "read answer")
		}
		c.progress.received()
		if response.StatusCode < 200 {
			continue
		}
		head := platform.DecodeHead(response)
		if head.Announces() {
			c.gateway.Step(router.ServerAnnounced{Server: d.Incarnation, Answer: head.Answer})
		}
		if head.RequestID != "" && head.RequestID != c.info.ID {
			stray++
			conn.allow(maxStrayBytes)
			if _, err := io.Copy(io.Discard, response.Body); err != nil || stray > maxStrayAnswers {
				return nil, errors.Newf("received responses to other requests, the last one to %s", head.RequestID)
			}
			conn.expectHead()
			continue
		}
		success := head.Status >= 200 && head.Status < 300
		if success && (!head.Sealed || head.Encoded || head.RequestID == "") {
			return nil, errors.Newf("success response not from the backend server: status %d, sealed %t, encoded %t, id %q",
				head.Status, head.Sealed, head.Encoded, head.RequestID)
		}
		conn.allow(maxAnswerBytes)
		stream := success && sse.IsMediaType(response.Header.Get("Content-Type"))
		return &answer{attempt: d.Attempt, send: d, conn: conn, response: response, head: head, framing: framing.Of(response), stream: stream}, nil
	}
}

// bufferBody reads the body up to maxBufferedBytes, so that a truncated response can be
// replaced by that of another server. A larger one is forwarded as it arrives, and one of more than
// smallAnswerBytes, too, if there is no memory for it.
func (a *answer) bufferBody(held *heldAnswers) error {
	var b bytes.Buffer
	limit := int64(smallAnswerBytes)
	_, err := io.Copy(&b, io.LimitReader(a.response.Body, limit+1))
	if err == nil && int64(b.Len()) > limit && held.take(maxBufferedBytes) {
		limit = maxBufferedBytes
		_, err = io.Copy(&b, io.LimitReader(a.response.Body, limit+1-int64(b.Len())))
	}
	a.body = b.Bytes()
	if err != nil {
		return errors.Wrap(err, "read body")
	}
	a.complete = int64(len(a.body)) <= limit
	return nil
}

// relay forwards a response. It reports whether the request has ended.
func (c *call) relay(a *answer) (ended bool) {
	switch {
	case a.stream:
		return c.relayStream(a)
	case !c.mayGive(a):
		return c.reportBroken(a, errors.Newf("received status %d instead of the rest of the stream", a.head.Status))
	case a.complete:
		c.writeHead(a)
		c.writeToCaller(a.body)
		c.releaseConn(a)
		return true
	default:
		return c.relayLarge(a)
	}
}

// relayLarge forwards a body that was not buffered completely as it arrives.
func (c *call) relayLarge(a *answer) (ended bool) {
	if !c.give(a, a.body) {
		return false
	}
	_, err := io.Copy(callerWriter{c, a}, a.response.Body)
	switch {
	case errors.Is(err, errAbandoned):
		return false
	case err != nil:
		return c.reportBroken(a, err)
	}
	return c.complete(a, a.ended(io.EOF), nil)
}

// errAbandoned means that the reducer has left an attempt whose answer is being forwarded.
var errAbandoned = errors.New("the attempt was abandoned")

// give passes a part of an answer on to the caller, after its head. It refuses what was read for an
// attempt that the reducer has left: closing its connection does not take back what was read from
// it before, and the attempt that follows sends the same.
//
// The reducer may leave the attempt while the part is written. The attempt that follows then
// continues after that part.
func (c *call) give(a *answer, part []byte) bool {
	if c.isAbandoned(a.attempt) {
		return false
	}
	c.writeHead(a)
	c.writeToCaller(part)
	return true
}

// complete ends the request with an answer whose last byte was read, and gives the caller the rest
// of it. It returns false, and gives nothing, if the reducer has left the attempt: another decision
// of the reducer then ends the request.
//
// It guards against an answer that looks complete and is not: the end of a body may come in the
// same read as bytes that were not forwarded, because the reducer left the attempt on them.
func (c *call) complete(a *answer, end router.AnswerEnd, rest []byte) (ended bool) {
	given := c.framingTo(a.measured())
	c.gateway.Step(router.Done{Key: c.key, Attempt: a.attempt, End: end, Given: given, Pause: a.timing.meanPause()})
	if !c.isCompleted(a.attempt) {
		return false
	}
	c.writeHead(a)
	c.writeToCaller(rest)
	c.releaseConn(a)
	return true
}

// writeToCaller writes a part of the response to the caller.
//
// A write fails because the caller closed the connection, so an error ends the request.
// Reported as a failure of the attempt, it would count as a failure of the server, and a
// resumable stream would be sent to another server without anyone to receive it.
func (c *call) writeToCaller(data []byte) {
	c.progress.gave(len(data))
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
type callerWriter struct {
	call   *call
	answer *answer
}

func (w callerWriter) Write(data []byte) (int, error) {
	if !w.call.give(w.answer, data) {
		return 0, errAbandoned
	}
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
	if a.measured() {
		header.Set("Content-Length", a.response.Header.Get("Content-Length"))
	}
	c.writer.WriteHeader(a.response.StatusCode)
}

// ended describes how the response ended, from the error of its last read.
func (a *answer) ended(err error) router.AnswerEnd {
	return router.AnswerEnd{Framing: a.framing, End: framing.EndOf(a.framing, err), Events: a.timing.events}
}

// reportBroken reports that a response other than a stream broke off, or came in place of the
// rest of a stream. It can't be continued if a part of it was given to the caller; a stream can,
// at another server. It returns false: the reducer decides how the request goes on.
func (c *call) reportBroken(a *answer, err error) (ended bool) {
	end := a.ended(err)
	end.Unresumable = c.started && !a.stream && c.position == sse.Position{}
	c.reportBrokenAs(a, end, err)
	return false
}

func (c *call) reportBrokenAs(a *answer, end router.AnswerEnd, cause error) {
	c.abortAndReport(a.conn, router.AttemptFailed{Attempt: a.attempt, Failure: router.Broken, End: end}, cause)
}
