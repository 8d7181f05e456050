// Package engine is the agent's client for the backend server on its host: a
// model engine, whose HTTP interface is documented in package engineapi, or a
// plain service. The Executor executes the reducer's effects TakeInventory,
// Order, Run, CancelRun and PauseRun and posts the events Inventory, OrderDone,
// EngineLoad and RunProgress.
package engine

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/dghubble/sling"

	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/framing"
)

// Defaults of Options.
const (
	DefaultOrderTimeout     = 10 * time.Minute
	DefaultInventoryTimeout = 5 * time.Second
	DefaultLoadInterval     = 500 * time.Millisecond
	DefaultMaxOrders        = 16
)

// dialTimeout limits connection setup. The backend server is on the same host.
const dialTimeout = 2 * time.Second

// Options configure an Executor. Zero durations and counts mean the defaults.
type Options struct {
	// URL is the backend server's base URL, "http://IP:port".
	URL string
	// Kind is the kind of the backend server: a model engine or a plain
	// service.
	Kind core.BackendKind
	// Now returns the time of the monotonic clock that Order.NotAfter refers
	// to. Required.
	Now func() core.Time
	// OrderTimeout limits the wait for the answer to an order. After it, the
	// effect of the order is unknown.
	OrderTimeout time.Duration
	// InventoryTimeout limits the wait for an inventory or a load report.
	InventoryTimeout time.Duration
	// LoadInterval is the interval at which load reports are fetched.
	LoadInterval time.Duration
	// MaxOrders is the number of concurrent orders at the engine. Further ones
	// wait.
	MaxOrders int
	// Log receives a line when fetching load reports starts to fail or works
	// again. Optional.
	Log *slog.Logger
}

func (o Options) withDefaults() Options {
	if o.OrderTimeout == 0 {
		o.OrderTimeout = DefaultOrderTimeout
	}
	if o.InventoryTimeout == 0 {
		o.InventoryTimeout = DefaultInventoryTimeout
	}
	if o.LoadInterval == 0 {
		o.LoadInterval = DefaultLoadInterval
	}
	if o.MaxOrders == 0 {
		o.MaxOrders = DefaultMaxOrders
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	o.URL = strings.TrimSuffix(o.URL, "/")
	return o
}

// Executor executes effects on one backend server. Its methods are safe for
// concurrent use and do not block on the backend server.
type Executor struct {
	opts   Options
	post   func(core.Event)
	client *http.Client
	api    *sling.Sling
	ctx    context.Context
	stop   context.CancelCauseFunc
	// orders is a semaphore with one element per order at the engine.
	orders chan struct{}
	work   sync.WaitGroup

	mu     sync.Mutex
	closed bool
	runs   map[core.AttemptID]*run
}

// New returns an Executor. For a model engine, it starts fetching load reports.
// It calls post from its own goroutines, possibly concurrently, but in order
// within a run. post may block, but not forever.
func New(opts Options, post func(core.Event)) *Executor {
	opts = opts.withDefaults()
	client := newClient()
	ctx, stop := context.WithCancelCause(context.Background())
	e := &Executor{
		opts:   opts,
		post:   post,
		client: client,
		api:    sling.New().Client(client).Base(opts.URL),
		ctx:    ctx,
		stop:   stop,
		orders: make(chan struct{}, opts.MaxOrders),
		runs:   map[core.AttemptID]*run{},
	}
	if opts.Kind == core.BackendEngine {
		e.spawn(e.watchLoad)
	}
	return e
}

// newClient returns a client that sends each request on a new connection.
//
// With reused connections, net/http retries a request on its own if the
// connection breaks and the method or an Idempotency-Key header marks the request
// as repeatable. A non-idempotent call would then run twice although this system
// sent it once. net/http never retries on a new connection. Besides, a new
// connection can't have become unresponsive while idle, and a failed dial proves
// that nothing was sent.
func newClient() *http.Client {
	transport := &http.Transport{
		DialContext:            (&net.Dialer{Timeout: dialTimeout}).DialContext,
		DisableKeepAlives:      true,
		DisableCompression:     true,
		MaxResponseHeaderBytes: framing.MaxHeadBytes,
	}
	return &http.Client{
		Transport: framing.NewTransport(transport),
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}
}

// Do starts an effect and reports whether the Executor handles its type. Effects
// after Close are dropped.
func (e *Executor) Do(effect core.Effect) bool {
	switch effect := effect.(type) {
	case core.TakeInventory:
		e.spawn(e.takeInventory)
	case core.Order:
		e.spawn(func() { e.order(effect) })
	case core.Run:
		e.startRun(effect)
	case core.CancelRun:
		if r := e.findRun(effect.Attempt); r != nil {
			r.cancel(errCancelled)
		}
	case core.PauseRun:
		if r := e.findRun(effect.Attempt); r != nil {
			r.gate.set(effect.Paused)
		}
	default:
		return false
	}
	return true
}

// Close cancels all work and waits for it to end. Runs still post their FrameEnd.
// Nothing is posted after Close returns.
func (e *Executor) Close() {
	e.mu.Lock()
	e.closed = true
	e.mu.Unlock()
	e.stop(errClosed)
	e.work.Wait()
	e.client.CloseIdleConnections()
}

// spawn runs a function in a goroutine that Close waits for. It returns false
// after Close without running the function.
func (e *Executor) spawn(f func()) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed {
		return false
	}
	e.work.Go(f)
	return true
}

func (e *Executor) findRun(id core.AttemptID) *run {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[id]
}

// takeInventory posts the engine's inventory. That of a plain service is empty.
func (e *Executor) takeInventory() {
	if e.opts.Kind == core.BackendService {
		e.post(core.Inventory{})
		return
	}
	inventory, err := e.fetchInventory()
	if err != nil {
		inventory = core.Inventory{Code: code.EngineFailed}
	}
	e.post(inventory)
}
