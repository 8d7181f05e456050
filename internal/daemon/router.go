package daemon

import (
	"context"
	"io"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"nutmeglane.example/nutmeglane/internal/clock"
	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/fleet"
	"nutmeglane.example/nutmeglane/internal/gateway"
	"nutmeglane.example/nutmeglane/internal/operator"
	"nutmeglane.example/nutmeglane/internal/router"
	"nutmeglane.example/nutmeglane/internal/settings"
	"nutmeglane.example/nutmeglane/internal/wire"
	"nutmeglane.example/nutmeglane/platform"
)

const (
	// firstConfigWait is how long the callers' listener stays closed while no
	// configuration is known. After that, callers are refused truthfully.
	firstConfigWait = time.Second
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
	reader   *storeReader
	ready    atomic.Bool
	callers  *http.Server
	// conns are the callers' connections.
	conns *callerConns
}

// RunRouter runs a router until ctx ends and the graceful shutdown is over.
func RunRouter(ctx context.Context, file string, out io.Writer) error {
	readAt := modified(file)
	s, err := settings.LoadRouter(file)
	if err != nil {
		return err
	}
	node, err := newNodeProcess(&s.Node, out, slices.Concat(router.Counters, shellCounters))
	if err != nil {
		return err
	}
	node.readAt = readAt
	p := &routerProcess{nodeProcess: node, settings: s}
	err = p.run(ctx, file)
	p.stopped(err)
	return err
}

func (p *routerProcess) run(ctx context.Context, file string) error {
	p.log.Info("router starting", "callers", p.settings.Callers.String(), "zone", string(p.settings.Zone),
		"store", p.settings.Store.String())
	p.links = p.nodeProcess.links(p.fromPeer)
	store := platform.NewStore(p.settings.Store.String(), storeTimeout, p.countStoreCall)
	defer store.Close()
	notes := newNoteKeeper(store, p.log)
	p.gateway = gateway.New(router.New(router.Options{
		Host: core.HostID(p.settings.Address), Zone: p.settings.Zone, LoaderPort: p.settings.LoaderPort, Processor: p.settings.Processor,
		Bounds: p.settings.FleetBounds(), Seed: randomUint64(),
	}), gateway.Options{Links: p.links, Publish: notes.put, LookIntoStore: p.lookIntoStore, Metrics: p.metrics, Log: p.log, Requests: p.requests})
	p.reader = newStoreReader(store, p.gateway, readPause(p.settings.Bounds), p.log)
	p.reader.spread = p.spreadConfig
	p.reader.send = func(to []core.HostID, news core.Message) { p.links.SendAll(to, news) }
	if err := p.serve(p.settings.Readiness, &http.Server{Handler: p.readiness(), ReadHeaderTimeout: drainTime}); err != nil {
		return err
	}
	if err := p.serveOperators(p.dump, p.ready.Load, p.mountLift); err != nil {
		return err
	}
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	known := make(chan struct{})
	go p.reader.run(background, func() {
		p.announce()
		close(known)
	})
	go notes.run(background)
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

func (p *routerProcess) countStoreCall(op, result string) {
	p.metrics.Do(core.Count{Name: countKVCalls, Labels: []string{op, result}, Add: 1})
}

func (p *routerProcess) lookIntoStore() { p.reader.lookSoon() }

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
	p.gateway.Look(func(r *router.Router) { r.SetBounds(s.FleetBounds()) })
	p.reader.setPause(readPause(s.Bounds))
	return nil
}

// watchLag tells the reducer how long work waits for the processor.
func (p *routerProcess) watchLag(ctx context.Context) {
	var waits schedWaits
	every(ctx, lagInterval, func() { p.gateway.Step(router.CPUWaitMeasured{Wait: waits.lately()}) })
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
			p.reader.heardOf(m.Config)
			p.gateway.Step(router.LoaderReported{Loader: e.From, Holdings: m})
		case core.Counts:
			p.gateway.Step(router.LoaderCountsReported{Loader: e.From, Counts: m})
		case core.LoadDigest:
			p.reader.heardOf(m.Config)
			p.gateway.Step(router.DigestReceived{Digest: m})
		case core.SpecWanted:
			p.gateway.Step(router.LoaderSpecRequested{Loader: e.From})
		case core.ConfigWanted:
			p.passConfig(e.From, m.Above)
		case core.ConfigPassed:
			p.takeConfig(m)
		case core.QuotaTold:
			p.gateway.Step(router.LoaderAnsweredQuota{Loader: e.From, Answer: m})
		case core.LimitTold:
			p.gateway.Step(router.LoaderAnsweredLimit{Loader: e.From, Answer: m})
		case core.RegistryNews:
			p.reader.hear(m)
		case core.PoisonNews:
			p.gateway.Step(router.PoisonReported{News: m})
		}
	}
}

// readPause is the longest time between two looks at the store.
func readPause(bounds settings.RouterBounds) time.Duration {
	return min(bounds.Drain, bounds.ConfigDelay) / readsPerBound
}

// announce tells the balancer that the router is ready.
func (p *routerProcess) announce() {
	p.ready.Store(true)
	p.log.Info("ready")
}

// mountLift lets operators have a request sent to servers again.
func (p *routerProcess) mountLift(mux *http.ServeMux) {
	mux.HandleFunc("POST "+operator.LiftPath, func(w http.ResponseWriter, r *http.Request) {
		fingerprint, err := core.ParseFingerprint(r.FormValue("request"))
		if err != nil {
			operator.WriteNoFingerprint(w, err)
			return
		}
		p.gateway.Step(router.LiftPoison{Fingerprint: fingerprint})
		operator.WriteLifted(w, p.settings.Host, fingerprint.String())
	})
}

func (p *routerProcess) dump() any {
	state := map[string]any{}
	p.gateway.Look(func(r *router.Router) { state["router"] = r.Dump() })
	state["connections"] = p.links.Dump()
	return state
}
