package daemon

import (
	"context"
	"log/slog"

	"golang.org/x/time/rate"

	"nutmeglane.example/nutmeglane/internal/clock"
	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/engine"
	"nutmeglane.example/nutmeglane/internal/settings"
	"nutmeglane.example/nutmeglane/internal/wire"
)

// Agent is an agent process that is ready to run.
type Agent struct {
	*process
	Addresses Addresses
	settings  *settings.Agent
}

// NewAgent opens the listeners and connections of an agent.
func NewAgent(s *settings.Agent, logger *slog.Logger) (*Agent, error) {
	peerCerts, err := loadCerts("peers.tls", s.Peers.TLS, logger)
	if err != nil {
		return nil, err
	}
	operatorCerts, err := loadCerts("operators.tls", s.Operators.TLS, logger)
	if err != nil {
		return nil, err
	}
	peersListener, err := listen(s.Peers.Listen)
	if err != nil {
		return nil, err
	}
	operators, err := listen(s.Operators.Listen)
	if err != nil {
		return nil, err
	}
	advertise := s.Peers.Advertise.String()
	if s.Peers.Advertise.Port() == 0 {
		advertise = peersListener.Addr().String()
	}
	p, err := newProcess(&s.Common, Blueprint{
		Role: settings.RoleAgent, Host: s.Host, Incarnation: core.Incarnation(randomUint64()),
		Zone: s.Zone, Seed: randomUint64(), Address: advertise,
		Kind: s.Backend.Kind, Service: s.Backend.Service, Backend: reachableBackend(s.Backend.URL, advertise),
		Timings: s.Timings.Core(), Limits: Limits(s.Limits),
	}, logger.With("host", string(s.Host)))
	if err != nil {
		return nil, err
	}
	a := &Agent{process: p, settings: s, Addresses: Addresses{Operators: operators.Addr(), Peers: peersListener.Addr()}}

	node := wire.New(wire.Options{
		Host: s.Host, Incarnation: p.blueprint.Incarnation, PingInterval: s.Timings.PingInterval,
		UpgradeRate: rate.Limit(s.Peers.UpgradeRate), UpgradeBurst: s.Peers.UpgradeBurst,
		Metrics: newWireMetrics(p.metrics.Registry()), Log: p.logger,
	}, p.loop.Post)
	backend := engine.New(engine.Options{
		URL: s.Backend.URL, Kind: s.Backend.Kind, Now: clock.Now, Log: p.logger,
	}, p.loop.Post)
	poller := newPoller(&s.Common, p)
	p.closers = append(p.closers, closeNode(node), backend.Close, poller.Close)
	p.loop.Add(node, backend, executorFunc(func(effect core.Effect) bool {
		return applyConfig(p, effect, func(core.ConfigInForce) {})
	}))

	extra := func() map[string]any { return map[string]any{"connections": node.Dump()} }
	p.serve(peersListener, newInternalServer(node.Handler()), peerCerts)
	p.serve(operators, newInternalServer(p.operatorsHandler(s.Operators.Token, extra, nil)), operatorCerts)
	// The first event makes the reducer take an inventory of the engine.
	p.loop.Post(core.Tick{})
	return a, nil
}

// Run serves until ctx ends and the graceful shutdown is complete.
func (a *Agent) Run(ctx context.Context) error {
	a.logger.Info("agent started", "peers", a.Addresses.Peers.String(), "operators", a.Addresses.Operators.String())
	return a.run(ctx, core.Stop{Limit: a.settings.StopLimit})
}
