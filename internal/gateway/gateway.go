package gateway

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"nutmeglane.example/nutmeglane/internal/body"
	"nutmeglane.example/nutmeglane/internal/clock"
	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/defaults"
	"nutmeglane.example/nutmeglane/internal/router"
)

// Options are the dependencies of a gateway.
type Options struct {
	// Links connects to loaders and sends them messages. It must not call the gateway.
	Links interface{ Do(core.Effect) bool }
	// Publish and PublishReleases execute the effects of those names. They must not call the
	// gateway. Nil if there is no store.
	Publish         func(router.Publish)
	PublishReleases func(router.PublishReleases)
	// RequestStoreRead requests a read of the platform's store soon. It must not call the
	// gateway. Nil if there is no store.
	RequestStoreRead func()
	// Metrics updates counters and histograms.
	Metrics interface{ Do(core.Effect) bool }
	// Bodies is the memory of the bodies of callers' requests. Default: body.DefaultBytes.
	Bodies *body.Memory
	// AnswerBytes is the memory, in bytes, of all buffered answers that are not small. Default:
	// defaultAnswerBytes.
	AnswerBytes int64
	// Log is the log of the process, Requests that of single requests.
	Log, Requests *slog.Logger
}

// Gateway runs a router's reducer. Its methods may be called concurrently.
type Gateway struct {
	opts Options
	pool *pool
	// stopping is set when the process shuts down: callers' connections are closed after
	// the response.
	stopping atomic.Bool
	// largestBody is the limit of a request's body, in bytes, for which Bodies has been prepared.
	largestBody atomic.Int64
	// answers is the memory of buffered answers.
	answers *answerMemory

	mu      sync.Mutex
	router  *router.Router
	timer   *time.Timer
	calls   map[router.Key]*call
	lastKey router.Key
}

// New returns a gateway that runs the given reducer.
func New(r *router.Router, opts Options) *Gateway {
	if opts.Bodies == nil {
		opts.Bodies = body.NewMemory(body.DefaultBytes)
	}
	defaults.Set(&opts.AnswerBytes, defaultAnswerBytes)
	g := &Gateway{opts: opts, answers: &answerMemory{left: opts.AnswerBytes}, pool: newPool(), router: r, calls: map[router.Key]*call{}}
	g.timer = time.AfterFunc(time.Hour, func() { g.Step(router.Tick{}) })
	g.Step(router.Tick{})
	return g
}

// Step passes an event to the reducer and executes the resulting effects.
func (g *Gateway) Step(event router.Event) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, effect := range g.router.Step(clock.Now(), event) {
		g.do(effect)
	}
}

// Inspect calls f with the reducer between two steps. f must not call the gateway.
func (g *Gateway) Inspect(f func(*router.Router)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f(g.router)
}

// do executes an effect without blocking. The caller holds g.mu.
func (g *Gateway) do(effect router.Effect) {
	switch e := effect.(type) {
	case router.Send:
		if c := g.calls[e.Key]; c != nil && e.Hedge {
			c.startHedge(e)
			return
		}
		g.deliver(e.Key, e)
	case router.Forward:
		g.deliver(e.Key, e)
	case router.Finish:
		g.deliver(e.Key, e)
	case router.Abandon:
		if c := g.calls[e.Key]; c != nil {
			c.abandon(e.Attempt)
		}
	case router.Complete:
		if c := g.calls[e.Key]; c != nil {
			c.setCompleted(e.Attempt)
		}
	case router.Reconnect:
		g.pool.dropIdle(e.Address)
	case router.Dial:
		g.opts.Links.Do(core.Dial{Peer: e.Loader, Address: e.Address})
	case router.Hangup:
		g.opts.Links.Do(core.Hangup{Peer: e.Loader})
	case router.SendDemand:
		g.opts.Links.Do(core.Send{To: e.Loader, Message: e.Demand})
	case router.RelayPoison:
		for _, to := range e.Via {
			g.opts.Links.Do(core.Send{To: to, Message: e.News})
		}
	case router.RelayDraining:
		for _, to := range e.Via {
			g.opts.Links.Do(core.Send{To: to, Message: e.News})
		}
	case router.RelayDigest:
		g.opts.Links.Do(core.Send{To: e.Loader, Message: e.Digest})
	case router.RequestConfig:
		for _, to := range e.Loaders {
			g.opts.Links.Do(core.Send{To: to, Message: e.Wanted})
		}
	case router.SendQuotaRequest:
		g.opts.Links.Do(core.Send{To: e.Loader, Message: e.Request})
	case router.SendLimitRequest:
		g.opts.Links.Do(core.Send{To: e.Loader, Message: e.Request})
	case router.TellOrigins:
		g.opts.Links.Do(core.Send{To: e.Loader, Message: e.News})
	case router.AskOrigin:
		g.opts.Links.Do(core.Send{To: e.Loader, Message: e.Query})
	case router.PublishReleases:
		if g.opts.PublishReleases != nil {
			g.opts.PublishReleases(e)
		}
	case router.Publish:
		if g.opts.Publish != nil {
			g.opts.Publish(e)
		}
	case router.ReadStore:
		if g.opts.RequestStoreRead != nil {
			g.opts.RequestStoreRead()
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

func (g *Gateway) deliver(key router.Key, decision router.Effect) {
	if c := g.calls[key]; c != nil {
		c.decisions <- decision
	}
}

func (g *Gateway) log(e router.Log) {
	logger := g.opts.Log
	if e.About == router.SingleRequest {
		logger = g.opts.Requests
	}
	attrs := e.Attrs
	if c := g.calls[e.Of]; c != nil {
		attrs = append(attrs, c.progress.attrs()...)
	}
	logger.LogAttrs(context.Background(), slog.LevelInfo, e.Message, attrs...)
}

// Stop makes the gateway close callers' connections after their next response.
func (g *Gateway) Stop() { g.stopping.Store(true) }

// Sweep closes the connections to backend servers whose idle timeout has expired. Call it
// periodically.
func (g *Gateway) Sweep() { g.pool.sweep(time.Now()) }

// ActiveRequests returns the number of callers' requests in progress.
func (g *Gateway) ActiveRequests() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.calls)
}

func (g *Gateway) register(r *http.Request, content *body.Body) *call {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lastKey++
	c := &call{
		gateway: g, key: g.lastKey, request: r, body: content,
		held:      &heldAnswers{memory: g.answers},
		decisions: make(chan router.Effect, maxDecisions),
	}
	g.calls[c.key] = c
	return c
}

func (g *Gateway) unregister(c *call) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.calls, c.key)
}
