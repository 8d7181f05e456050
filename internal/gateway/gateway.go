package gateway

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"nutmeglane.example/nutmeglane/internal/clock"
	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/router"
)

// Options are what a gateway needs around it.
type Options struct {
	// Links carries out Dial, Hangup and Tell. It must not call back.
	Links interface{ Do(core.Effect) bool }
	// Publish carries out Publish. It must not call back. Nil where there is no store.
	Publish func(router.Publish)
	// LookIntoStore carries out the effect of that name. It must not call back. Nil where
	// there is no store.
	LookIntoStore func()
	// Metrics carries out Count and Observe.
	Metrics interface{ Do(core.Effect) bool }
	// Log takes lines about the process, Requests those about single requests.
	Log, Requests *slog.Logger
}

// Gateway runs a router's reducer. Its methods may be called concurrently.
type Gateway struct {
	opts Options
	pool *pool
	// stopping is set once the process is to end: connections are closed
	// after their answer.
	stopping atomic.Bool

	mu     sync.Mutex
	router *router.Router
	timer  *time.Timer
	calls  map[router.Key]*call
	last   router.Key
}

// New returns a gateway that runs the reducer.
func New(r *router.Router, opts Options) *Gateway {
	g := &Gateway{opts: opts, pool: newPool(), router: r, calls: map[router.Key]*call{}}
	g.timer = time.AfterFunc(time.Hour, func() { g.Step(router.Tick{}) })
	g.Step(router.Tick{})
	return g
}

// Step feeds an event to the reducer and carries the effects out.
func (g *Gateway) Step(event router.Event) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, effect := range g.router.Step(clock.Now(), event) {
		g.do(effect)
	}
}

// Inspect runs a function on the reducer between two steps.
func (g *Gateway) Inspect(f func(*router.Router)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f(g.router)
}

// do carries out an effect. It holds g.mu and never blocks.
func (g *Gateway) do(effect router.Effect) {
	switch e := effect.(type) {
	case router.Send:
		g.decide(e.Key, e)
	case router.Forward:
		g.decide(e.Key, e)
	case router.Finish:
		g.decide(e.Key, e)
	case router.Abandon:
		if c := g.calls[e.Key]; c != nil {
			c.abandon(e.Attempt)
		}
	case router.Reconnect:
		g.pool.dropIdle(e.Address)
	case router.Dial:
		g.opts.Links.Do(core.Dial{Peer: e.Loader, Address: e.Address})
	case router.Hangup:
		g.opts.Links.Do(core.Hangup{Peer: e.Loader})
	case router.Tell:
		g.opts.Links.Do(core.Send{To: e.Loader, Message: e.Demand})
	case router.TellRouters:
		for _, to := range e.Via {
			g.opts.Links.Do(core.Send{To: to, Message: e.News})
		}
	case router.TellDigest:
		g.opts.Links.Do(core.Send{To: e.Loader, Message: e.Digest})
	case router.AskConfig:
		for _, to := range e.Loaders {
			g.opts.Links.Do(core.Send{To: to, Message: e.Wanted})
		}
	case router.AskQuota:
		g.opts.Links.Do(core.Send{To: e.Loader, Message: e.Ask})
	case router.AskLimit:
		g.opts.Links.Do(core.Send{To: e.Loader, Message: e.Ask})
	case router.Publish:
		if g.opts.Publish != nil {
			g.opts.Publish(e)
		}
	case router.LookIntoStore:
		if g.opts.LookIntoStore != nil {
			g.opts.LookIntoStore()
		}
	case router.Wake:
		g.timer.Reset(max(0, clock.Until(e.At)))
	case router.Log:
		g.log(e)
	case router.Count:
		g.opts.Metrics.Do(e.Count)
	case router.Observe:
		g.opts.Metrics.Do(e.Observe)
	}
}

func (g *Gateway) decide(key router.Key, decision router.Effect) {
	if c := g.calls[key]; c != nil {
		c.decisions <- decision
	}
}

func (g *Gateway) log(e router.Log) {
	logger := g.opts.Log
	if e.About == router.OneRequest {
		logger = g.opts.Requests
	}
	logger.LogAttrs(context.Background(), slog.LevelInfo, e.Message, e.Attrs...)
}

// Stop makes answers close their connections from now on.
func (g *Gateway) Stop() { g.stopping.Store(true) }

// Sweep closes connections to backend servers that were idle for too long.
func (g *Gateway) Sweep() { g.pool.sweep(time.Now()) }

// ActiveRequests is the number of requests in the process.
func (g *Gateway) ActiveRequests() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.calls)
}

func (g *Gateway) register(r *http.Request, body []byte) *call {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.last++
	c := &call{
		gateway: g, key: g.last, request: r, body: body,
		decisions: make(chan router.Effect, maxDecisions),
	}
	g.calls[c.key] = c
	return c
}

func (g *Gateway) forget(c *call) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.calls, c.key)
}
