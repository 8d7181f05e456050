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

	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/fleet"
	"nutmeglane.example/nutmeglane/internal/router"
	"nutmeglane.example/nutmeglane/platform"
)

const (
	// maxDecisions is above the decisions that one request can have waiting:
	// each attempt leads to two at most, and attempts are bounded by the route.
	maxDecisions = 64
	// defaultBodyBytes applies before a configuration is known.
	defaultBodyBytes = 1 << 20
)

// call is a caller's request while its goroutine serves it.
type call struct {
	gateway   *Gateway
	key       router.Key
	request   *http.Request
	info      fleet.Request
	body      []byte
	decisions chan router.Effect

	// mu guards the connection of the current attempt, which Abandon closes.
	mu        sync.Mutex
	conn      *upstream
	abandoned int

	writer  http.ResponseWriter
	answer  *answer
	started bool
	// lastEvent is the id of the last event that was passed on. A further
	// attempt goes on after it.
	lastEvent string
}

// ServeHTTP serves one request of a caller.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if g.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	info := platform.DecodeRequest(r)
	body, failed := g.readBody(w, r)
	if failed != code.OK {
		refuse(w, info.ID, failed, 0, "the body could not be read")
		return
	}
	info.Fingerprint = fingerprint(r, body)
	c := g.register(r, body)
	c.info, c.writer = info, w
	defer g.forget(c)
	stop := context.AfterFunc(r.Context(), func() { g.Step(router.Gone{Key: c.key}) })
	defer stop()
	g.Step(router.Arrived{Key: c.key, Request: info})
	c.serve()
}

// readBody reads the whole body, so that it can be sent again.
func (g *Gateway) readBody(w http.ResponseWriter, r *http.Request) ([]byte, code.Code) {
	if r.Body == nil || r.Body == http.NoBody {
		return nil, code.OK
	}
	limit := int64(defaultBodyBytes)
	g.Inspect(func(r *router.Router) {
		if l := r.Limits().MaxBodyBytes; l > 0 {
			limit = l
		}
	})
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, code.BodyTooLarge
	case err != nil:
		return nil, code.BadBody
	}
	return body, code.OK
}

// serve carries out decisions until one ends the request.
func (c *call) serve() {
	for {
		select {
		case <-c.request.Context().Done():
			c.drop()
			panic(http.ErrAbortHandler)
		case decision := <-c.decisions:
			if c.carryOut(decision) {
				return
			}
		}
	}
}

// carryOut reports whether the request has ended.
func (c *call) carryOut(decision router.Effect) (ended bool) {
	switch d := decision.(type) {
	case router.Send:
		c.recycle()
		c.attempt(d)
	case router.Forward:
		if c.answer != nil && c.answer.attempt == d.Attempt {
			return c.relay(c.answer)
		}
	case router.Finish:
		c.recycle()
		c.finish(d)
		return true
	}
	return false
}

// finish answers for ourselves. A caller who has got a part of another answer
// sees the connection break, since what comes must not look complete.
func (c *call) finish(d router.Finish) {
	if c.started {
		panic(http.ErrAbortHandler)
	}
	if d.Code == code.Starved || c.gateway.stopping.Load() {
		// The caller's next try is to reach another host.
		c.writer.Header().Set("Connection", "close")
	}
	refuse(c.writer, c.info.ID, d.Code, d.RetryAfter, d.Reason)
}

// refusal is the body of an answer of our own.
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
		body = []byte("{}") // plain strings and an integer always encode
	}
	w.WriteHeader(c.HTTPStatus())
	_, _ = w.Write(body) // a caller who left does not read it
}

// attempt sends the request to a backend server and reads the head of its
// answer. What happened is told to the reducer.
func (c *call) attempt(d router.Send) {
	limit := d.Until.Sub(c.now())
	deadline := time.Now().Add(limit + attemptSlack)
	conn, err := c.connect(d, limit)
	if errors.Is(err, errNoConnFree) {
		c.fail(d, router.ConnsUsed, err)
		return
	}
	if err != nil {
		c.fail(d, router.NotSent, err)
		return
	}
	if !c.hold(conn, d.Attempt) {
		conn.discard()
		return
	}
	_ = conn.SetDeadline(deadline)
	header := platform.RequestHeader(c.request.Header, platform.RequestOptions{
		Instance: d.Instance, Remaining: limit, Priority: d.Priority, LastEvent: c.lastEvent,
		HideCredentials: d.HideCredentials, Account: d.Account,
	})
	wrote, err := c.write(conn, header)
	if err != nil && wrote == 0 && !conn.used {
		c.failConn(d, conn, router.NotSent, err)
		return
	}
	// A write error is not the end: the server may have answered before it
	// read the whole.
	c.readAnswer(d, conn, err)
}

func (c *call) connect(d router.Send, limit time.Duration) (*upstream, error) {
	ctx, cancel := context.WithTimeout(c.request.Context(), limit)
	defer cancel()
	return c.gateway.pool.get(ctx, d.Address, d.MaxConns)
}

// write sends the request as the caller sent it: method, target and body
// unchanged, the body with its length.
func (c *call) write(conn *upstream, header http.Header) (int, error) {
	var b bytes.Buffer
	b.Grow(readerBytes)
	r := c.request
	b.WriteString(r.Method + " " + requestTarget(r) + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	if len(c.body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		header.Set("Content-Length", strconv.Itoa(len(c.body)))
	}
	if err := header.Write(&b); err != nil {
		return 0, errors.Wrap(err, "encode header")
	}
	b.WriteString("\r\n")
	b.Write(c.body)
	n, err := conn.Write(b.Bytes())
	return n, errors.Wrap(err, "send request")
}

// requestTarget is the target of the request line as the caller sent it, but
// without a host in front.
func requestTarget(r *http.Request) string {
	if len(r.RequestURI) > 0 && r.RequestURI[0] == '/' {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

// hold makes a connection the current attempt's, unless that was abandoned.
func (c *call) hold(conn *upstream, attempt int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.abandoned >= attempt {
		return false
	}
	c.conn = conn
	return true
}

// abandon resets the connection of an attempt, which ends its reads.
func (c *call) abandon(attempt int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.abandoned = max(c.abandoned, attempt)
	if c.conn != nil {
		c.conn.abort()
		c.conn = nil
	}
}

// drop resets the current connection, if any.
func (c *call) drop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil {
		c.conn.abort()
		c.conn = nil
	}
}

// giveBack ends the use of a connection after a whole answer.
func (c *call) giveBack(a *answer) {
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

// recycle ends the use of the connection of an attempt whose answer, if any,
// is not passed on.
func (c *call) recycle() {
	if c.answer != nil && c.answer.whole {
		c.giveBack(c.answer)
	}
	c.answer = nil
	c.drop()
}

func (c *call) fail(d router.Send, failure router.Failure, err error) {
	c.gateway.Step(router.AttemptFailed{
		Key: c.key, Attempt: d.Attempt, Failure: failure, Peer: peerOf(err), Cause: err.Error(),
	})
}

// peerOf tells what an error of a connection shows of the server's process. A time-out
// shows nothing, and neither does a connection that we closed.
func peerOf(err error) router.Peer {
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return router.PeerRefused
	case errors.IsAny(err, io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE):
		return router.PeerClosed
	default:
		return router.PeerUnknown
	}
}

func (c *call) failConn(d router.Send, conn *upstream, failure router.Failure, err error) {
	c.drop()
	if failure == router.NoAnswer {
		c.gateway.pool.dropIdle(conn.address)
	}
	c.fail(d, failure, err)
}
