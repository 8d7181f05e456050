package daemon

import (
	"context"
	"io"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"nutmeglane.example/nutmeglane/internal/body"
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
	// configuration is known. After that, it opens and callers are refused.
	firstConfigWait = time.Second
	// sweepInterval is the interval between checks for idle connections to
	// backend servers.
	sweepInterval = time.Second
	// schedLatencyInterval is the interval between reads of the scheduling
	// latency: long enough for some hundred samples, short compared to a burst of
	// seconds.
	schedLatencyInterval = 250 * time.Millisecond
	// stopDelay is how long a router that stops still accepts new connections,
	// until the load balancer has removed it: the load balancer checks readiness
	// once a second and removes a router after two failed checks.
	stopDelay = 2500 * time.Millisecond
	// stopReserve is the part of the stop limit that is reserved for closing.
	stopReserve = 400 * time.Millisecond
	// closeLinksTimeout limits closing the connections to loaders, within stopReserve.
	closeLinksTimeout = 100 * time.Millisecond
	// defaultHeaderBytes, defaultHeaderTimeout and defaultIdleTimeout apply until
	// a configuration is known.
	defaultHeaderBytes   = 16 << 10
	defaultHeaderTimeout = 3 * time.Second
	defaultIdleTimeout   = 15 * time.Second
	// maxLiftBytes is the limit of the body of an operators' call, which names a fingerprint.
	maxLiftBytes = 4 << 10
	// answerMemoryShare is the part of the process's memory for buffered answers.
	answerMemoryShare = 0.1
	// idleTimeoutFactor keeps connections open for longer than callers reuse
	// them, so that no request is sent on a connection that is being closed.
	idleTimeoutFactor = 2
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
	// bodies is the memory of the bodies of callers' requests.
	bodies *body.Memory
	// standstill tells how late a signal is handled.
	standstill standstill
}

// RunRouter runs a router until ctx ends and the graceful shutdown is complete.
func RunRouter(ctx context.Context, file string, out io.Writer) error {
	modifiedAt := modTime(file)
	s, err := settings.LoadRouter(file)
	if err != nil {
		return err
	}
	node, err := newNodeProcess(&s.Node, out, slices.Concat(router.Counters, processCounters))
	if err != nil {
		return err
	}
	node.settingsModTime = modifiedAt
	p := &routerProcess{nodeProcess: node, settings: s, bodies: body.NewMemory(body.BytesOf(s.MemoryMB))}
	err = p.run(ctx, file)
	p.logStopped(err)
	return err
}

func (p *routerProcess) run(ctx context.Context, file string) error {
	p.log.Info("router starting", "callers", p.settings.Callers.String(), "zone", string(p.settings.Zone),
		"store", p.settings.Store.String())
	p.links = p.nodeProcess.newLinks(p.handlePeerEvent)
	store := platform.NewStore(p.settings.Store.String(), storeTimeout, p.countStoreCall)
	defer store.Close()
	notes := newNoteWriter(store, p.log)
	p.gateway = gateway.New(router.New(router.Options{
		Host: core.HostID(p.settings.Address), Zone: p.settings.Zone, LoaderPort: p.settings.LoaderPort, Processor: p.settings.Processor,
		Bounds: p.settings.FleetBounds(), Crowding: router.CrowdingOptions(p.settings.Crowding), Seed: randomUint64(),
	}), gateway.Options{Links: p.links, Publish: notes.put, PublishReleases: notes.putReleases, RequestStoreRead: p.readStoreNow, Bodies: p.bodies, AnswerBytes: answerBytes(p.settings.MemoryMB), Metrics: p.metrics, Log: p.log, Requests: p.requests})
	if err := p.metrics.Registry().Register(retryGauges{p.retryBudgets}); err != nil {
		return errors.Wrap(err, "register gauges of the retry budgets")
	}
	if err := p.metrics.Registry().Register(bodyGauges{p.bodies}); err != nil {
		return errors.Wrap(err, "register gauges of the bodies")
	}
	p.reader = newStoreReader(store, p.gateway, maxReadInterval(p.settings.Bounds), p.log)
	p.reader.spreadConfig = p.spreadConfig
	p.reader.send = func(to []core.HostID, news core.Message) { p.links.SendAll(to, news) }
	if err := p.serve(p.settings.Readiness, newInternalServer(p.readiness())); err != nil {
		return err
	}
	if err := p.serveOperators(p.dump, p.ready.Load, p.mountLift); err != nil {
		return err
	}
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	known := make(chan struct{})
	go p.reader.run(background, func() {
		p.setReady()
		close(known)
	})
	go notes.run(background)
	go every(background, sweepInterval, p.gateway.Sweep)
	go p.reportSchedLatency(background)
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

// answerBytes returns the memory, in bytes, for buffered answers in a process with a memory in MB, 0 if
// unknown.
func answerBytes(memoryMB float64) int64 { return int64(memoryMB * answerMemoryShare * (1 << 20)) }

// serveCallers opens the callers' listener with the limits in force.
func (p *routerProcess) serveCallers() error {
	limits := fleet.Limits{MaxHeaderBytes: defaultHeaderBytes, HeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout}
	p.gateway.Inspect(func(r *router.Router) {
		if l := r.Limits(); l.MaxHeaderBytes > 0 {
			limits = l
		}
	})
	p.conns = newCallerConns()
	p.conns.accepts = p.acceptsConn
	p.conns.limit = newConnLimit(maxCallerConns(p.settings.MemoryMB, p.settings.Descriptors), p.bodies, p.metrics, p.requests)
	p.callers = &http.Server{
		Handler:           p.gateway,
		ConnContext:       gateway.WithConn,
		MaxHeaderBytes:    limits.MaxHeaderBytes,
		ReadHeaderTimeout: limits.HeaderTimeout,
		IdleTimeout:       idleTimeoutFactor * limits.IdleTimeout,
	}
	p.conns.serve(p.callers)
	listener, err := listenForCallers(p.settings.Callers)
	if err != nil {
		return err
	}
	p.serveOn(p.conns.wrap(listener), p.callers)
	return nil
}

// acceptsConn reports whether a caller's new connection is to be accepted.
func (p *routerProcess) acceptsConn() (accepts bool) {
	p.gateway.Inspect(func(r *router.Router) { accepts = r.AcceptsConn(clock.Now()) })
	if !accepts {
		p.metrics.Do(core.Count{Name: countConnsClosed, Add: 1})
	}
	return accepts
}

func (p *routerProcess) countStoreCall(op, result string) {
	p.metrics.Do(core.Count{Name: countKVCalls, Labels: []string{op, result}, Add: 1})
}

func (p *routerProcess) readStoreNow() { p.reader.readNow() }

// readiness serves the load balancer's readiness checks.
func (p *routerProcess) readiness() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+platform.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !p.ready.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}

// stop stops the process without aborting requests: it first reports to the load
// balancer that the router is not ready, later closes idle connections, and others
// after their answers.
func (p *routerProcess) stop() error {
	late := p.standstill.lateness(time.Now())
	p.ready.Store(false)
	p.gateway.Stop()
	// What the platform has waited already is not left for answers, and the load balancer's checks
	// had no answer in that time.
	limit := max(0, p.settings.StopLimit-stopReserve-late)
	p.log.Info("stopping", "limit", p.settings.StopLimit.String(), "late", late.String(), "ends_within", limit.String(),
		"requests", p.gateway.ActiveRequests())
	p.gateway.Step(router.Stopping{Until: clock.Now().Add(limit - stopReserve/2), Late: late})
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	select {
	case <-time.After(max(0, min(stopDelay-late, limit))):
	case err := <-p.failed:
		return err
	}
	if err := p.conns.drain(ctx); err != nil {
		p.log.Warn("requests aborted at the end of the stop limit", "requests", p.gateway.ActiveRequests(), "error", err.Error())
	}
	_ = p.callers.Close()
	p.closeLinks()
	return nil
}

// closeLinks ends the connections to loaders with the code of a planned stop, which tells it from a
// crash in their logs.
func (p *routerProcess) closeLinks() {
	ctx, cancel := context.WithTimeout(context.Background(), closeLinksTimeout)
	defer cancel()
	_ = p.links.Close(ctx) // what has not ended by then is closed by the end of the process
}

func (p *routerProcess) reload(file string) error {
	s, err := settings.LoadRouter(file)
	if err != nil {
		return err
	}
	p.gateway.Inspect(func(r *router.Router) {
		r.SetBounds(s.FleetBounds())
		r.SetCrowding(router.CrowdingOptions(s.Crowding))
	})
	p.reader.setMaxInterval(maxReadInterval(s.Bounds))
	return nil
}

// reportSchedLatency periodically reports to the reducer how long goroutines wait for
// the processor, and notices when the whole process did not run.
func (p *routerProcess) reportSchedLatency(ctx context.Context) {
	var waits schedLatency
	every(ctx, schedLatencyInterval, func() {
		p.standstill.beat(time.Now())
		p.gateway.Step(router.CPUWaitMeasured{Wait: waits.sinceLast()})
	})
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

// handlePeerEvent passes events and messages of loaders to the reducer.
func (p *routerProcess) handlePeerEvent(event core.Event) {
	switch e := event.(type) {
	case core.PeerUp:
		p.gateway.Step(router.LoaderUp{Loader: e.Peer})
	case core.PeerDown:
		p.gateway.Step(router.LoaderDown{Loader: e.Peer})
	case core.Received:
		switch m := e.Message.(type) {
		case core.Holdings:
			p.reader.configAnnounced(m.Config)
			p.gateway.Step(router.LoaderReported{Loader: e.From, Holdings: m})
		case core.Counts:
			p.gateway.Step(router.LoaderCountsReported{Loader: e.From, Counts: m})
		case core.LoadDigest:
			p.reader.configAnnounced(m.Config)
			p.gateway.Step(router.DigestReceived{Digest: m})
		case core.SpecWanted:
			p.gateway.Step(router.LoaderSpecRequested{Loader: e.From})
		case core.ConfigWanted:
			p.passConfig(e.From, m.Above)
		case core.ConfigPassed:
			p.applyPassedConfig(m)
		case core.QuotaReply:
			p.gateway.Step(router.LoaderAnsweredQuota{Loader: e.From, Answer: m})
		case core.OriginReply:
			p.gateway.Step(router.LoaderAnsweredOrigin{Loader: e.From, Answer: m})
		case core.LimitReply:
			p.gateway.Step(router.LoaderAnsweredLimit{Loader: e.From, Answer: m})
		case core.RegistryNews:
			p.reader.applyPeerNews(m)
		case core.ServerDraining:
			p.gateway.Step(router.DrainingReported{News: m})
		case core.PoisonNews:
			p.gateway.Step(router.PoisonReported{News: m})
		}
	}
}

// maxReadInterval is the longest time between two reads of the store.
func maxReadInterval(bounds settings.RouterBounds) time.Duration {
	return min(bounds.Drain, bounds.ConfigDelay) / readsPerDeadline
}

// setReady reports to the load balancer that the router is ready.
func (p *routerProcess) setReady() {
	p.ready.Store(true)
	p.log.Info("ready")
}

// mountLift adds the operators' call that lifts the block of a poison request, so that
// it is sent to servers again.
func (p *routerProcess) mountLift(mux *http.ServeMux) {
	mux.HandleFunc("POST "+operator.LiftPath, func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, maxLiftBytes)
		fingerprint, err := core.ParseFingerprint(r.FormValue("request"))
		if err != nil {
			operator.WriteNoFingerprint(w, err)
			return
		}
		p.gateway.Step(router.LiftPoison{Fingerprint: fingerprint})
		operator.WriteLifted(w, p.settings.Host, fingerprint.String())
	})
}

func (p *routerProcess) retryBudgets() (states []router.RetryBudgetState) {
	p.gateway.Inspect(func(r *router.Router) { states = r.RetryBudgets() })
	return states
}

func (p *routerProcess) dump() any {
	state := map[string]any{}
	p.gateway.Inspect(func(r *router.Router) { state["router"] = r.Dump() })
	state["connections"] = p.links.Dump()
	state["bodies"] = p.bodies.State()
	return state
}
