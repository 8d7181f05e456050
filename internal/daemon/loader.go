package daemon

import (
	"context"
	"io"
	"log/slog"
	"slices"
	"sync"
	"time"

	"nutmeglane.example/nutmeglane/internal/clock"
	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/loader"
	"nutmeglane.example/nutmeglane/internal/settings"
	"nutmeglane.example/nutmeglane/internal/wire"
	"nutmeglane.example/nutmeglane/platform"
)

// engineTimeout limits a call to the engine for a report or an order. The engine
// is on the same host and answers within 1 ms. After the timeout the outcome of an
// order is treated as unknown.
const engineTimeout = 400 * time.Millisecond

// loaderProcess is a running loader.
type loaderProcess struct {
	*nodeProcess
	settings *settings.Loader
	links    *wire.Node
	engine   *platform.EngineClient
	// calls counts the calls to the engine that are in progress.
	calls sync.WaitGroup

	mu     sync.Mutex
	loader *loader.Loader
	timer  *time.Timer
}

// RunLoader runs a loader until ctx ends.
func RunLoader(ctx context.Context, file string, out io.Writer) error {
	modifiedAt := modTime(file)
	s, err := settings.LoadLoader(file)
	if err != nil {
		return err
	}
	node, err := newNodeProcess(&s.Node, out, slices.Concat(loader.Counters, processCounters))
	if err != nil {
		return err
	}
	node.settingsModTime = modifiedAt
	p := &loaderProcess{
		nodeProcess: node, settings: s,
		engine: platform.NewEngineClient(s.Engine.String(), s.Host, engineTimeout),
		loader: loader.New(loader.Options{Host: core.HostID(s.Address), IdleAfter: s.IdleAfter}),
	}
	err = p.run(ctx, file)
	p.logStopped(err)
	return err
}

func (p *loaderProcess) run(ctx context.Context, file string) error {
	p.log.Info("loader starting", "engine", p.settings.Engine.String(), "peers", p.settings.Peers.String())
	p.timer = time.AfterFunc(time.Hour, func() { p.step(loader.Tick{}) })
	p.links = p.nodeProcess.newLinks(p.handlePeerEvent)
	if err := p.serve(p.settings.Peers, newInternalServer(p.links.Handler())); err != nil {
		return err
	}
	if err := p.serveOperators(p.dump, func() bool { return true }, nil); err != nil {
		return err
	}
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	go p.watchSettings(background, file, func() error {
		_, err := settings.LoadLoader(file)
		return err
	})
	p.step(loader.Tick{})
	select {
	case err := <-p.failed:
		return err
	case <-ctx.Done():
	}
	p.log.Info("stopping")
	// Waits for orders in progress: the next loader would receive their results
	// only from the engine's report.
	p.calls.Wait()
	closeNode(p.links)()
	return nil
}

func (p *loaderProcess) step(event loader.Event) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, effect := range p.loader.Step(clock.Now(), event) {
		p.execute(effect)
	}
}

// execute executes an effect without blocking. The caller holds p.mu.
func (p *loaderProcess) execute(effect loader.Effect) {
	switch e := effect.(type) {
	case loader.ReadReport:
		p.calls.Go(func() {
			report, err := p.engine.Report(context.Background())
			p.step(loader.ReportRead{Report: report, Err: err})
		})
	case loader.SendOrder:
		p.calls.Go(func() {
			answer, err := p.engine.Order(context.Background(), e.Order)
			p.step(loader.OrderDone{Order: e.Order, OrderAnswer: answer, Err: err})
		})
	case loader.SendHoldings:
		p.links.SendAll(e.Routers, e.Holdings)
	case loader.SendCounts:
		p.links.SendAll(e.Routers, e.Counts)
	case loader.RequestSpec:
		p.links.Do(core.Send{To: e.Router, Message: core.SpecWanted{}})
	case loader.SendQuota:
		p.links.Do(core.Send{To: e.Router, Message: e.Answer})
	case loader.SendLimit:
		p.links.SendAll(e.Routers, e.Limit)
	case loader.Forward:
		p.links.SendAll(e.Routers, e.Message)
	case loader.Wake:
		p.timer.Reset(max(0, clock.Until(e.At)))
	case loader.Log:
		p.log.LogAttrs(context.Background(), slog.LevelInfo, e.Message, e.Attrs...)
	case loader.Count:
		p.metrics.Do(e.Count)
	case loader.Observe:
		p.metrics.Do(e.Observe)
	}
}

// handlePeerEvent passes events and messages of routers to the reducer.
func (p *loaderProcess) handlePeerEvent(event core.Event) {
	switch e := event.(type) {
	case core.PeerUp:
		p.step(loader.RouterUp{Router: e.Peer})
	case core.PeerDown:
		p.step(loader.RouterDown{Router: e.Peer})
	case core.Received:
		switch m := e.Message.(type) {
		case core.Demand:
			p.step(loader.DemandReceived{Router: e.From, Demand: m})
		case core.RegistryNews:
			p.step(loader.RegistryNewsReceived{Router: e.From, News: m})
		case core.ConfigSpread:
			p.step(loader.ConfigSpreadReceived{Router: e.From, Spread: m})
		case core.LoadDigest:
			p.step(loader.DigestReceived{Router: e.From, Digest: m})
		case core.ConfigWanted:
			p.step(loader.ConfigRequested{Router: e.From, Above: m.Above})
		case core.ConfigPassed:
			p.step(loader.ConfigReceived{Router: e.From, Config: m})
		case core.QuotaRequest:
			p.step(loader.QuotaRequested{Router: e.From, Request: m})
		case core.LimitRequest:
			p.step(loader.LimitRequested{Router: e.From, Request: m})
		case core.OriginNews:
			p.step(loader.OriginsTold{News: m})
		case core.OriginQuery:
			p.step(loader.OriginAsked{Router: e.From, Query: m})
		case core.ServerDraining:
			p.step(loader.DrainingReceived{Router: e.From, News: m})
		case core.PoisonNews:
			p.step(loader.PoisonNewsReceived{Router: e.From, News: m})
		}
	}
}

func (p *loaderProcess) dump() any {
	p.mu.Lock()
	state := map[string]any{"loader": p.loader.Dump()}
	p.mu.Unlock()
	state["connections"] = p.links.Dump()
	return state
}
