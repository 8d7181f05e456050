package kv

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/dghubble/sling"

	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/framing"
)

// Defaults of ClientOptions.
const (
	DefaultCallTimeout = 3 * time.Second
	DefaultWatchWait   = 60 * time.Second
	DefaultHeartbeat   = time.Second
)

const (
	// missedHeartbeats is the number of missed heartbeats after which a watch is ended.
	missedHeartbeats = 3
	// maxAnswerBytes limits the memory that one answer can use.
	maxAnswerBytes = 64 << 20
	// maxDrainBytes is the most that is read of an unwanted body to reuse its connection.
	maxDrainBytes = 64 << 10
	// idleConns is the number of idle connections kept for calls and watches.
	idleConns = 16
	// idleTimeout closes an idle connection before a middlebox drops its state.
	idleTimeout = 30 * time.Second
)

// ClientOptions are the client's settings; a zero field takes its default.
type ClientOptions struct {
	// CallTimeout limits the duration of each call other than a watch.
	CallTimeout time.Duration
	// WatchWait is how long the service keeps a watch open if there are no changes.
	WatchWait time.Duration
	// Heartbeat is the interval of heartbeats on a waiting watch.
	Heartbeat time.Duration
	// OnCall is called after each call. It must not block.
	OnCall func(op string, c code.Code)
}

func (o ClientOptions) withDefaults() ClientOptions {
	if o.CallTimeout == 0 {
		o.CallTimeout = DefaultCallTimeout
	}
	if o.WatchWait == 0 {
		o.WatchWait = DefaultWatchWait
	}
	if o.Heartbeat == 0 {
		o.Heartbeat = DefaultHeartbeat
	}
	if o.OnCall == nil {
		o.OnCall = func(string, code.Code) {}
	}
	return o
}

// Client calls the key-value service. It does not retry calls. Its methods may be called
// concurrently; the errors they return are *Error.
type Client struct {
	base      *sling.Sling
	http      *http.Client
	transport *http.Transport
	opts      ClientOptions
}

// NewClient returns a client of the service at baseURL ("http://IP:port").
func NewClient(baseURL string, opts ClientOptions) (*Client, error) {
	u, err := url.Parse(baseURL)
	if err != nil || u.Host == "" {
		return nil, errors.Newf("key-value service: %q is not a URL with a host", baseURL)
	}
	opts = opts.withDefaults()
	transport := &http.Transport{
		DialContext:            (&net.Dialer{Timeout: opts.CallTimeout}).DialContext,
		MaxIdleConnsPerHost:    idleConns,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: framing.MaxHeadBytes,
	}
	return &Client{
		base:      sling.New().Base(baseURL),
		http:      &http.Client{Transport: framing.NewTransport(transport), CheckRedirect: keepRedirect},
		transport: transport,
		opts:      opts,
	}, nil
}

// keepRedirect returns a redirect to the caller: following it could send a write twice.
func keepRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Close closes the idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Get reads a key. A missing key is an Item with Revision 0.
func (c *Client) Get(ctx context.Context, key string) (Item, error) {
	var item Item
	err := c.call(ctx, OpGet, c.base.New().Get(PathGet).QueryStruct(getQuery{Key: key}), &item)
	item.Key = key
	return item, err
}

// Cas writes a key if its revision is the expected one. The Item holds the new revision or,
// with KVConflict, the current value and revision; a conflict at the expected revision
// means that the lease no longer exists.
func (c *Client) Cas(ctx context.Context, req CasRequest) (Item, error) {
	if len(req.Value) > MaxValueBytes {
		err := incompleteError(OpCas, 0, false, errors.Newf("value of %d bytes is over the limit of %d", len(req.Value), MaxValueBytes))
		c.opts.OnCall(string(OpCas), err.Code)
		return Item{Key: req.Key}, err
	}
	var item Item
	err := c.call(ctx, OpCas, c.base.New().Post(PathCas).BodyJSON(req), &item)
	var failure *Error
	if errors.As(err, &failure) {
		item = failure.Current
	}
	item.Key = req.Key
	return item, err
}

// Grant requests a new lease. After KVUnknown there may be a lease whose ID no process has;
// it expires by itself.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (int64, error) {
	var lease Lease
	req := LeaseRequest{TTLMillis: ttl.Milliseconds()}
	err := c.call(ctx, OpLease, c.base.New().Post(PathLease).BodyJSON(req), &lease)
	return lease.Lease, err
}

// KeepAlive renews a lease. KVConflict means that the lease no longer exists.
func (c *Client) KeepAlive(ctx context.Context, lease int64) error {
	var out Lease
	return c.call(ctx, OpKeepAlive, c.base.New().Post(PathKeepAlive).BodyJSON(Lease{Lease: lease}), &out)
}

// List reads all keys with a prefix.
func (c *Client) List(ctx context.Context, prefix string) (Snapshot, error) {
	var snapshot Snapshot
	err := c.call(ctx, OpList, c.base.New().Get(PathList).QueryStruct(listQuery{Prefix: prefix}), &snapshot)
	return snapshot, err
}

// Watch waits for changes after a revision of keys with a prefix. It returns an empty batch
// after WatchWait, and ErrCompacted if the caller has to list the keys.
func (c *Client) Watch(ctx context.Context, prefix string, after int64) (Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, c.opts.WatchWait+c.opts.CallTimeout)
	defer cancel()
	request := c.base.New().Get(PathWatch).QueryStruct(watchQuery{
		Prefix:          prefix,
		After:           after,
		WaitMillis:      c.opts.WatchWait.Milliseconds(),
		HeartbeatMillis: c.opts.Heartbeat.Milliseconds(),
	})
	var batch Batch
	err := c.finish(OpWatch, c.exchange(ctx, OpWatch, request, &batch, missedHeartbeats*c.opts.Heartbeat))
	if err == nil && batch.Compacted {
		return Batch{}, ErrCompacted
	}
	return batch, err
}

// call makes a call that the service answers without waiting.
func (c *Client) call(ctx context.Context, op Op, request *sling.Sling, out any) error {
	return c.finish(op, c.exchange(ctx, op, request, out, c.opts.CallTimeout))
}

// finish reports a call to OnCall. It converts a nil *Error to a nil error.
func (c *Client) finish(op Op, failure *Error) error {
	if failure == nil {
		c.opts.OnCall(string(op), code.OK)
		return nil
	}
	c.opts.OnCall(string(op), failure.Code)
	return failure
}

// exchange sends a request and decodes its answer into out. It fails if nothing arrives for
// the time silence; an answer other than a watch's must be complete by then.
func (c *Client) exchange(ctx context.Context, op Op, request *sling.Sling, out any, silence time.Duration) *Error {
	req, err := request.Request()
	if err != nil {
		return incompleteError(op, 0, false, err)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silent := errors.Newf("no answer within %s", silence)
	timer := time.AfterFunc(silence, func() { cancel(silent) })
	defer timer.Stop()
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	resp, err := c.http.Do(req.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err != nil {
		c.closeIdleIfSilent(ctx, silent)
		return incompleteError(op, 0, sent.Load(), err)
	}
	defer resp.Body.Close()
	body := io.LimitReader(resp.Body, maxAnswerBytes)
	if op == OpWatch {
		body = &activityReader{reader: body, onActivity: func() { timer.Reset(silence) }}
	}
	failure := decode(op, resp.StatusCode, body, out)
	if failure != nil {
		c.closeIdleIfSilent(ctx, silent)
	}
	return failure
}

// closeIdleIfSilent closes the idle connections after a call timed out without an answer.
//
// It guards against open connections that no longer carry data while new ones work: each
// idle one would cost another time-out. The connection of the call itself is closed by the
// cancellation; the next call dials.
func (c *Client) closeIdleIfSilent(ctx context.Context, silent error) {
	if errors.Is(context.Cause(ctx), silent) {
		c.transport.CloseIdleConnections()
	}
}

func decode(op Op, status int, body io.Reader, out any) *Error {
	if status == http.StatusOK {
		if err := json.NewDecoder(body).Decode(out); err != nil {
			return incompleteError(op, status, true, errors.Wrap(err, "answer"))
		}
		drain(body)
		return nil
	}
	failure := statusError(op, status)
	if op == OpCas && status == http.StatusConflict {
		if err := json.NewDecoder(body).Decode(&failure.Current); err != nil {
			return &Error{Op: op, Code: code.KVUnavailable, Status: status, cause: errors.Wrap(err, "conflict answer")}
		}
	}
	drain(body)
	return failure
}

// drain reads the rest of a body so that its connection can be used again.
func drain(body io.Reader) { _, _ = io.Copy(io.Discard, io.LimitReader(body, maxDrainBytes)) }

// activityReader calls onActivity each time bytes arrive.
type activityReader struct {
	reader     io.Reader
	onActivity func()
}

// Read implements io.Reader.
func (r *activityReader) Read(p []byte) (int, error) {
	n, err := r.reader.Read(p)
	if n > 0 {
		r.onActivity()
	}
	return n, err
}
