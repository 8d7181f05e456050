package daemon

import (
	"context"
	"io"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"nutmeglane.example/nutmeglane/internal/clock"
	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/fleet"
	"nutmeglane.example/nutmeglane/internal/gateway"
	"nutmeglane.example/nutmeglane/internal/router"
	"nutmeglane.example/nutmeglane/internal/settings"
	"nutmeglane.example/nutmeglane/internal/wire"
	"nutmeglane.example/nutmeglane/platform"
)

const (
	// firstConfigWait is how long the callers' listener stays closed while no
	// configuration is known. After that, callers are refused truthfully.
	firstConfigWait = time.Second
	// storeTimeout bounds a call to the platform's store, which answers in a
	// few ms: longer than any answer of a store that is merely slow.
	storeTimeout = time.Second
	// readsPerBound is how often the store is read within the shortest time in
	// which a change must be in force. Two reads may fail or be late.
	readsPerBound = 3
	// configWait is how long one call waits for the first configuration. 68 routers
	// that asked each 100 ms until there was one made a third of a day's calls.
	configWait = 2 * time.Second
	// storeRetry is the pause after a failed read, doubled up to the usual one.
	storeRetry = 100 * time.Millisecond
	// maxProblems bounds the faults that are remembered, some 200 bytes each.
	maxProblems = 500
	// sweepInterval is the time between two looks at idle connections.
	sweepInterval = time.Second
	// lagInterval is the time between two looks at the wait for the processor:
	// long enough for some hundred samples, short against a burst of seconds.
	lagInterval = 250 * time.Millisecond
	// stopDelay is how long a router that stops still takes new connections
	// while its balancer learns of it: the balancer asks once a second and
	// takes it out after two misses.
	stopDelay = 2500 * time.Millisecond
	// stopReserve is left of the stop limit for closing.
	stopReserve = 400 * time.Millisecond
	// defaultHeaderBytes, defaultHeaderTimeout and defaultIdle apply until a
	// configuration is known.
	defaultHeaderBytes   = 16 << 10
	defaultHeaderTimeout = 3 * time.Second
	defaultIdle          = 15 * time.Second
	// idleFactor keeps connections open longer than callers reuse them, so
	// that a request never crosses our close.
	idleFactor = 2
)

// routerProcess is a running router.
type routerProcess struct {
	*nodeProcess
	settings *settings.Router
	gateway  *gateway.Gateway
	links    *wire.Node
	store    *platform.Store
	ready    atomic.Bool
	callers  *http.Server
	// conns are the callers' connections.
	conns *callerConns
	// problems are the faults of the store's values that were logged, by key.
	problems map[string]string
}

// RunRouter runs a router until ctx ends and the graceful shutdown is over.
func RunRouter(ctx context.Context, file string, out io.Writer) error {
	s, err := settings.LoadRouter(file)
	if err != nil {
		return err
	}
	node, err := newNodeProcess(&s.Node, out, slices.Concat(router.Counters, shellCounters))
	if err != nil {
		return err
	}
	p := &routerProcess{nodeProcess: node, settings: s, problems: map[string]string{}}
	err = p.run(ctx, file)
	p.stopped(err)
	return err
}

func (p *routerProcess) run(ctx context.Context, file string) error {
	p.log.Info("router starting", "callers", p.settings.Callers.String(), "zone", string(p.settings.Zone),
		"store", p.settings.Store.String())
	p.links = p.nodeProcess.links(p.fromPeer)
	p.gateway = gateway.New(router.New(router.Options{
		Host: core.HostID(p.settings.Address), Zone: p.settings.Zone, LoaderPort: p.settings.LoaderPort,
		Bounds: p.settings.Fleet(), Seed: randomUint64(),
	}), gateway.Options{Links: p.links, Metrics: p.metrics, Log: p.log, Requests: p.requests})
	if err := p.serve(p.settings.Readiness, &http.Server{Handler: p.readiness(), ReadHeaderTimeout: drainTime}); err != nil {
		return err
	}
	if err := p.serveOperators(p.dump, p.ready.Load); err != nil {
		return err
	}
	known := make(chan struct{})
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	p.store = platform.NewStore(p.settings.Store.String(), storeTimeout)
	defer p.store.Close()
	go p.readStore(background, known)
	go every(background, sweepInterval, p.gateway.Sweep)
	go p.watchLag(background)
	go p.watchSettings(background, file, func() error { return p.reload(file) })
	select {
	case <-known:
	case <-time.After(firstConfigWait):
		p.log.Warn("no configuration yet; callers are refused until there is one")
	case <-ctx.Done():
	}
	if err := p.serveCallers(); err != nil {
		return err
	}
	select {
	case err := <-p.failed:
		return err
	case <-ctx.Done():
	}
	return p.stop()
}

// serveCallers opens the callers' listener with the limits in force.
func (p *routerProcess) serveCallers() error {
	limits := fleet.Limits{MaxHeaderBytes: defaultHeaderBytes, HeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdle}
	p.gateway.Look(func(r *router.Router) {
		if l := r.Limits(); l.MaxHeaderBytes > 0 {
			limits = l
		}
	})
	p.conns = newCallerConns()
	p.callers = &http.Server{
		Handler:           p.gateway,
		ConnState:         p.conns.state,
		MaxHeaderBytes:    limits.MaxHeaderBytes,
		ReadHeaderTimeout: limits.HeaderTimeout,
		IdleTimeout:       idleFactor * limits.IdleTimeout,
	}
	listener, err := listen(p.settings.Callers)
	if err != nil {
		return err
	}
	p.serveOn(p.conns.listen(listener), p.callers)
	return nil
}

// readiness answers the balancer.
func (p *routerProcess) readiness() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+platform.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !p.ready.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}

// stop ends the process without cutting requests: the balancer is told first,
// then connections close after their answers, then idle ones.
func (p *routerProcess) stop() error {
	p.log.Info("stopping", "limit", p.settings.StopLimit.String(), "requests", p.gateway.Calls())
	p.ready.Store(false)
	p.gateway.Stop()
	limit := p.settings.StopLimit - stopReserve
	p.gateway.Step(router.Stopping{Until: clock.Now().Add(limit - stopReserve/2)})
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	select {
	case <-time.After(min(stopDelay, limit)):
	case err := <-p.failed:
		return err
	}
	if err := p.conns.drain(ctx); err != nil {
		p.log.Warn("requests cut at the end of the stop limit", "requests", p.gateway.Calls(), "error", err.Error())
	}
	_ = p.callers.Close()
	return nil
}

func (p *routerProcess) reload(file string) error {
	s, err := settings.LoadRouter(file)
	if err != nil {
		return err
	}
	p.gateway.Look(func(r *router.Router) { r.SetBounds(s.Fleet()) })
	return nil
}

// watchLag tells the reducer how long work waits for the processor.
func (p *routerProcess) watchLag(ctx context.Context) {
	var waits schedWaits
	every(ctx, lagInterval, func() { p.gateway.Step(router.Lagged{Wait: waits.lately()}) })
}

// every calls f at each interval until ctx ends.
func every(ctx context.Context, interval time.Duration, f func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			f()
		}
	}
}

// fromPeer feeds what loaders say to the reducer.
func (p *routerProcess) fromPeer(event core.Event) {
	switch e := event.(type) {
	case core.PeerUp:
		p.gateway.Step(router.LoaderUp{Loader: e.Peer})
	case core.PeerDown:
		p.gateway.Step(router.LoaderDown{Loader: e.Peer})
	case core.Received:
		switch m := e.Message.(type) {
		case core.Holdings:
			p.gateway.Step(router.LoaderSaid{Loader: e.From, Holdings: m})
		case core.Counts:
			p.gateway.Step(router.LoaderCounted{Loader: e.From, Counts: m})
		}
	}
}

func (p *routerProcess) dump() any {
	state := map[string]any{}
	p.gateway.Look(func(r *router.Router) { state["router"] = r.Dump() })
	state["connections"] = p.links.Dump()
	return state
}

// readStore keeps the reducer's view of the platform's store up to date. It
// reads what changed a few times within each bound, instead of having a watch
// wait for each change: the registry changes with every heartbeat of every
// server, and each answer of the store is a call that counts.
func (p *routerProcess) readStore(ctx context.Context, known chan struct{}) {
	revision := int64(0)
	retry := storeRetry
	for ctx.Err() == nil {
		next, err := p.read(ctx, revision)
		pause := p.readPause()
		switch {
		case err == nil:
			revision, retry = next, storeRetry
			if known != nil && p.announce() {
				close(known)
				known = nil
			}
			if known != nil {
				pause = 0
			}
		case errors.Is(err, platform.ErrCompacted):
			p.log.Info("store history was discarded; reading the whole again", "revision", revision)
			revision, pause = 0, 0
		default:
			p.log.Warn("store read failed", "error", err.Error(), "revision", revision)
			p.gateway.Step(router.StoreState{Reachable: false})
			pause = min(retry, pause)
			retry *= 2
		}
		sleep(ctx, pause)
	}
}

// readPause is the time between two reads.
func (p *routerProcess) readPause() time.Duration {
	return min(p.settings.Bounds.Drain, p.settings.Bounds.ConfigDelay) / readsPerBound
}

// read reads what changed since a revision. While there is no configuration, it
// waits for the first: nothing can be served until then.
func (p *routerProcess) read(ctx context.Context, revision int64) (int64, error) {
	known := false
	p.gateway.Look(func(r *router.Router) { known = r.Ready() })
	if !known && revision > 0 {
		written, err := p.store.AwaitConfig(ctx, revision, configWait)
		if err != nil || !written {
			return revision, err
		}
	}
	return p.readOnce(ctx, revision)
}

// announce reports whether the router knows enough to be ready, and says so to
// the balancer.
func (p *routerProcess) announce() bool {
	ready := false
	p.gateway.Look(func(r *router.Router) { ready = r.Ready() })
	if ready {
		p.ready.Store(true)
		p.log.Info("ready")
	}
	return ready
}

// readOnce reads the changes since a revision, or the whole for revision 0.
func (p *routerProcess) readOnce(ctx context.Context, revision int64) (int64, error) {
	if revision == 0 {
		snapshot, err := p.store.Snapshot(ctx)
		if err != nil {
			return 0, err
		}
		p.report(snapshot.Problems)
		p.gateway.Step(router.StoreState{Reachable: true})
		if snapshot.Config != nil {
			p.gateway.Step(router.ConfigRead{Config: snapshot.Config})
		}
		p.gateway.Step(router.BackendsRead{Backends: snapshot.Backends})
		return snapshot.Revision, nil
	}
	changes, err := p.store.Changes(ctx, revision, storeTimeout/2)
	if err != nil {
		return 0, err
	}
	p.report(changes.Problems)
	p.gateway.Step(router.StoreState{Reachable: true})
	if changes.Config != nil {
		p.gateway.Step(router.ConfigRead{Config: changes.Config})
	}
	p.gateway.Step(router.BackendsChanged{Written: changes.Written, Removed: changes.Removed})
	return changes.Revision, nil
}

// report logs values of the platform that can't be decoded. One that is written
// again and again is told once, until it changes.
func (p *routerProcess) report(problems []platform.Problem) {
	for _, problem := range problems {
		text := problem.Err.Error()
		if p.problems[problem.Key] == text {
			continue
		}
		if len(p.problems) >= maxProblems {
			clear(p.problems)
		}
		p.problems[problem.Key] = text
		p.log.Error("value of the platform can't be read and is left out", "key", problem.Key, "error", text)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
