package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"nutmeglane.example/nutmeglane/internal/body"
	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/fleet"
	"nutmeglane.example/nutmeglane/internal/framing"
	"nutmeglane.example/nutmeglane/internal/router"
	"nutmeglane.example/nutmeglane/internal/sse"
	"nutmeglane.example/nutmeglane/platform"
)

const (
	// maxDecisions exceeds the number of decisions that can be pending for one request:
	// each attempt causes at most two, and the route limits the attempts.
	maxDecisions = 64
)

// call is the state of a caller's request, used by the goroutine that serves it.
type call struct {
	gateway   *Gateway
	key       router.Key
	request   *http.Request
	info      fleet.Request
	body      *body.Body
	decisions chan router.Effect

	// mu guards conn, the connection of the current attempt, abandoned, the last attempt that
	// the reducer has abandoned, and completed, the attempt whose answer ends the request, 0
	// before one does.
	mu        sync.Mutex
	conn      *upstream
	abandoned int
	completed int
	// hedge is the second attempt of the request, nil without one. stalledAt is the position at
	// which the stream was last reported as stalled, where a hedge resumes it.
	hedge     *hedge
	stalledAt sse.Position
	// isHedge is set for the call that runs a hedge.
	isHedge bool

	// stallMu makes a report of a stall and the forwarding of an event exclude each other: stalled
	// is set from such a report until the next event, forwarding while an event is forwarded.
	stallMu             sync.Mutex
	stalled, forwarding bool

	// held is the memory of the request's buffered answers.
	held *heldAnswers

	writer  http.ResponseWriter
	answer  *answer
	started bool
	// progress is what the caller was given, for logs.
	progress progress
	// position is the position after the last event that was forwarded. Further attempts
	// resume there.
	position sse.Position
}

// ServeHTTP implements http.Handler. It serves one request of a caller.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if g.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	info := platform.DecodeRequest(r)
	info.NewConn = firstOfConn(r.Context())
	content, err := g.opts.Bodies.Read(w, r, g.maxBodyBytes())
	if err != nil {
		g.refuseBody(w, r, info.ID, err)
		return
	}
	defer content.Release()
	info.Fingerprint = fingerprint(r, content.Segments()...)
	c := g.register(r, content)
	c.info, c.writer = info, w
	defer g.unregister(c)
	defer c.held.end()
	defer c.abortHedge()
	stop := context.AfterFunc(r.Context(), func() { g.Step(router.CallerLeft{Key: c.key}) })
	defer stop()
	g.Step(router.Arrived{Key: c.key, Request: info})
	c.serve()
}

// serve executes decisions until the request has ended.
func (c *call) serve() {
	for {
		select {
		case <-c.request.Context().Done():
			c.abortConn()
			c.breakOff() // a caller that has closed its side for writing only still reads
		case decision := <-c.decisions:
			if c.execute(decision) {
				return
			}
		}
	}
}

// execute executes a decision and reports whether the request has ended.
func (c *call) execute(decision router.Effect) (ended bool) {
	switch d := decision.(type) {
	case router.Send:
		c.discardAnswer()
		c.attempt(d)
	case router.Forward:
		c.takeHedge(d.Attempt)
		if c.answer != nil && c.answer.attempt == d.Attempt {
			return c.relay(c.answer)
		}
	case router.Finish:
		c.discardAnswer()
		c.finish(d)
		return true
	}
	return false
}

// finish sends a response that the router itself generates. If a part of a server's response
// was already forwarded, it aborts the connection instead, so that the truncated response
// does not look complete.
func (c *call) finish(d router.Finish) {
	if c.started {
		c.breakOff()
	}
	if d.Code == code.Starved || c.gateway.stopping.Load() {
		// Makes the caller's next try use a new connection, which may reach another host.
		c.writer.Header().Set("Connection", "close")
	}
	refuse(c.writer, c.info.ID, d.Code, d.RetryAfter, d.Reason)
}

// refusal is the body of a response that the router itself generates.
type refusal struct {
	Code   int    `json:"code"`
	Name   string `json:"name"`
	Reason string `json:"reason"`
}

func refuse(w http.ResponseWriter, requestID string, c code.Code, retryAfter time.Duration, reason string) {
	header := w.Header()
	platform.SetRefusalHeader(header, requestID)
	if retryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	header.Set("Content-Type", "application/json")
	body, err := json.Marshal(refusal{Code: int(c), Name: c.String(), Reason: reason})
	if err != nil {
		body = []byte("{}") // unreachable: strings and an integer can always be encoded
	}
	header.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(c.HTTPStatus())
	_, _ = w.Write(body) // fails only if the caller has disconnected
}

// continuable reports whether the answer of a further attempt can follow what was given to the
// caller. Nothing can follow a part of an answer that isn't a stream.
func (c *call) continuable() bool {
	return c.position.Exact() && (!c.started || c.position != sse.Position{})
}

// attempt sends the request to a backend server, reads the response up to its head or, if it
// is not a stream, its body, and reports the result to the reducer.
func (c *call) attempt(d router.Send) {
	if !c.continuable() {
		end := router.AnswerEnd{Unresumable: true}
		c.reportFailure(router.AttemptFailed{Attempt: d.Attempt, Failure: router.Withdrawn, End: end}, errInexact)
		return
	}
	if d.CopyFrom != "" && !c.position.Numbered() {
		end := router.AnswerEnd{Unresumable: true}
		c.reportFailure(router.AttemptFailed{Attempt: d.Attempt, Failure: router.Withdrawn, End: end}, errUnnumbered)
		return
	}
	limit := d.Until.Sub(c.now())
	deadline := time.Now().Add(limit + attemptSlack)
	conn, err := c.connect(d, limit)
	if errors.Is(err, errConnLimit) {
		c.reportFailure(router.AttemptFailed{Attempt: d.Attempt, Failure: router.ConnsExhausted}, err)
		return
	}
	if err != nil {
		c.reportFailure(router.AttemptFailed{Attempt: d.Attempt, Failure: router.NotSent}, err)
		return
	}
	if !c.setConn(conn, d.Attempt) {
		conn.discard()
		return
	}
	if !conn.used && !c.mayStillSend(d) {
		c.abortAndReport(conn, router.AttemptFailed{Attempt: d.Attempt, Failure: router.Withdrawn}, errExcluded)
		return
	}
	_ = conn.SetDeadline(deadline)
	header := platform.RequestHeader(c.request.Header, platform.RequestOptions{
		Instance: d.Instance, Remaining: limit, Priority: d.Priority, LastEvent: c.position.ID,
		HideCredentials: d.HideCredentials, Account: d.Account,
		CopyTo: d.CopyTo, CopyFrom: d.CopyFrom,
	})
	conn.responses.BeginRequest(false)
	wrote, err := c.write(conn, header)
	if err != nil && wrote == 0 && !conn.used {
		c.abortAndReport(conn, router.AttemptFailed{Attempt: d.Attempt, Failure: router.NotSent}, err)
		return
	}
	conn.responses.EndRequest()
	// The server may have responded before it read the complete request, so a response may
	// follow a write error.
	c.readAnswer(d, conn, err)
}

func (c *call) connect(d router.Send, limit time.Duration) (*upstream, error) {
	ctx, cancel := context.WithTimeout(c.request.Context(), limit)
	defer cancel()
	return c.gateway.pool.get(ctx, d.Address, d.MaxConns)
}

// errExcluded means that a server was excluded while a connection to it was opened.
var errExcluded = errors.New("the server wants no requests")

// mayStillSend reports whether an attempt whose connection has just been opened may be sent.
// Opening it may take as long as a server needs to announce that it wants no requests.
func (c *call) mayStillSend(d router.Send) (may bool) {
	c.gateway.Inspect(func(r *router.Router) { may = r.MayStillSend(d.Incarnation) })
	return may
}

// write sends the request with the caller's method, target and body unchanged. The body is
// sent with a Content-Length. It returns the number of bytes written.
func (c *call) write(conn *upstream, header http.Header) (int, error) {
	var b bytes.Buffer
	b.Grow(readerBytes)
	r := c.request
	b.WriteString(r.Method + " " + requestTarget(r) + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	if c.body.Len() > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		header.Set("Content-Length", strconv.FormatInt(c.body.Len(), 10))
	}
	if err := header.Write(&b); err != nil {
		return 0, errors.Wrap(err, "encode header")
	}
	b.WriteString("\r\n")
	n, err := writeRequest(conn, b.Bytes(), c.body.Segments())
	return n, errors.Wrap(err, "send request")
}

// writeRequest writes the head of a request and the segments of its body. A body of one segment is
// written together with the head; longer ones are not copied.
func writeRequest(conn io.Writer, head []byte, segments [][]byte) (written int, err error) {
	if len(segments) == 1 {
		return conn.Write(append(head, segments[0]...))
	}
	written, err = conn.Write(head)
	for _, segment := range segments {
		if err != nil {
			break
		}
		var n int
		n, err = conn.Write(segment)
		written += n
	}
	return written, err
}

// requestTarget returns the target of the request line as the caller sent it, in origin form:
// without scheme and host.
func requestTarget(r *http.Request) string {
	if len(r.RequestURI) > 0 && r.RequestURI[0] == '/' {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

// setConn sets the connection of an attempt. It returns false if the attempt was abandoned.
func (c *call) setConn(conn *upstream, attempt int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.abandoned >= attempt {
		return false
	}
	c.conn = conn
	return true
}

// abandon resets the connection of an attempt, which interrupts its reads.
func (c *call) abandon(attempt int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.hedge != nil && c.hedge.attempt == attempt {
		c.hedge.call.abandon(attempt)
		c.hedge = nil
		return
	}
	c.abandoned = max(c.abandoned, attempt)
	if c.conn != nil {
		c.conn.abort()
		c.conn = nil
	}
}

// isAbandoned reports whether the reducer has abandoned an attempt.
func (c *call) isAbandoned(attempt int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.abandoned >= attempt
}

// setCompleted records that the request ends with the answer of an attempt.
func (c *call) setCompleted(attempt int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.completed = attempt
}

// isCompleted reports whether the request ends with the answer of an attempt.
func (c *call) isCompleted(attempt int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.completed == attempt
}

// abortConn resets the current connection, if any.
func (c *call) abortConn() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil {
		c.conn.abort()
		c.conn = nil
	}
}

// releaseConn returns the current connection, if any, to the pool after a complete response,
// or closes it if it is not reusable.
func (c *call) releaseConn(a *answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn == nil {
		return
	}
	if a.reusable() {
		c.gateway.pool.put(c.conn, a.head.IdleTimeout)
	} else {
		c.conn.discard()
	}
	c.conn = nil
}

// discardAnswer discards the response of an attempt, if any, that is not forwarded. It releases
// the connection after a complete response and resets it otherwise.
func (c *call) discardAnswer() {
	if c.answer != nil && c.answer.complete {
		c.releaseConn(c.answer)
	}
	c.answer = nil
	c.abortConn()
}

// reportFailure reports a failed attempt with its cause.
func (c *call) reportFailure(failed router.AttemptFailed, cause error) {
	failed.Key, failed.Peer, failed.Cause = c.key, peerState(failed.End, cause), cause.Error()
	failed.NothingGiven = !c.started
	if c.position.Numbered() {
		failed.LastEvent = c.position.ID // others may be as long as an event
	}
	c.gateway.Step(failed)
}

// peerState derives the state of the server's process from a connection error. A timeout does
// not indicate the state, and neither does a connection that the gateway itself closed.
func peerState(end router.AnswerEnd, err error) router.Peer {
	switch {
	case end.End == framing.Closed:
		return router.PeerClosed
	case errors.Is(err, syscall.ECONNREFUSED):
		return router.PeerRefused
	case errors.IsAny(err, io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE):
		return router.PeerClosed
	default:
		return router.PeerUnknown
	}
}

func (c *call) abortAndReport(conn *upstream, failed router.AttemptFailed, cause error) {
	c.abortConn()
	if failed.Failure == router.NoAnswer {
		c.gateway.pool.dropIdle(conn.address)
	}
	c.reportFailure(failed, cause)
}
