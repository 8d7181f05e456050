package daemon

import (
	"context"
	"log/slog"
	"net"
	"net/http"

	"github.com/cockroachdb/errors"

	"nutmeglane.example/nutmeglane/internal/body"
	"nutmeglane.example/nutmeglane/internal/certs"
	"nutmeglane.example/nutmeglane/internal/clock"
	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/engine"
	"nutmeglane.example/nutmeglane/internal/front"
	"nutmeglane.example/nutmeglane/internal/hostlist"
	"nutmeglane.example/nutmeglane/internal/kv"
	"nutmeglane.example/nutmeglane/internal/operator"
	"nutmeglane.example/nutmeglane/internal/operator/page"
	"nutmeglane.example/nutmeglane/internal/operator/status"
	"nutmeglane.example/nutmeglane/internal/settings"
	"nutmeglane.example/nutmeglane/internal/wire"
)

// Counters that are incremented outside of the reducers.
const (
	countKVCalls core.Counter = "kv_calls_total"
	// countConnsClosed counts callers' connections that were closed unread.
	countConnsClosed core.Counter = "caller_conns_closed_unread_total"
	// countConnsEvicted and countConnsRefused count callers' connections that were closed at their
	// limit.
	countConnsEvicted core.Counter = "caller_conns_evicted_total"
	countConnsRefused core.Counter = "caller_conns_refused_total"
	countHostReads    core.Counter = "host_list_reads_total"
	countBadConfig    core.Counter = "config_refused_total"
)

var processCounters = append([]core.CounterDef{
	{Name: countConnsClosed, Help: "New connections of callers that were closed unread, because the process got too little processor time."},
	{Name: countConnsEvicted, Help: "Connections of callers without a request that were closed for new ones, at the limit of connections."},
	{Name: countConnsRefused, Help: "New connections of callers that were closed unread, because all others at the limit had requests."},
	{Name: countKVCalls, Help: "Calls to the KV service, or of a router to the platform's store, by operation and result code.", Labels: []string{"op", "code"}},
	{Name: countHostReads, Help: "Reads of the platform's host list by result.", Labels: []string{"result"}},
	{Name: countBadConfig, Help: "Configuration documents that could not be put in force."},
}, front.Counters...)

// entryBodyCopies is how often an entry holds a body while it is passed on: as it was read, in the
// event of its request, and in the message to an agent.
const entryBodyCopies = 3

// watchedPrefixes are the key prefixes that an entry watches in the KV service.
// Chunks of the configuration are read by their hash instead.
var watchedPrefixes = []string{core.KeySlotsPrefix, core.KeyRosterPrefix, core.KeySteward, core.KeyConfigHead}

// Addresses are the addresses of a running process's listeners; nil if it has none of
// that kind.
type Addresses struct {
	Callers, Operators, Peers net.Addr
}

// Entry is an entry process that is ready to run.
type Entry struct {
	*process
	Addresses Addresses
	settings  *settings.Entry
	front     *front.Front
	operator  *operator.Handler
	// bodies is the memory of the bodies of requests.
	bodies *body.Memory
}

// NewEntry opens the listeners and connections of an entry.
func NewEntry(s *settings.Entry, logger *slog.Logger) (*Entry, error) {
	limitMemory(s.MemoryMB)
	certificates, err := loadEntryCerts(s, logger)
	if err != nil {
		return nil, err
	}
	callers, err := listenForCallers(s.Callers.Listen)
	if err != nil {
		return nil, err
	}
	operators, err := listen(s.Operators.Listen)
	if err != nil {
		return nil, err
	}
	p, err := newProcess(&s.Common, Blueprint{
		Role: settings.RoleEntry, Host: s.Host, Incarnation: core.Incarnation(randomUint64()),
		Zone: s.Zone, Seed: randomUint64(), Timings: s.Timings.Core(), Limits: Limits(s.Limits),
	}, logger.With("host", string(s.Host)))
	if err != nil {
		return nil, err
	}
	e := &Entry{process: p, settings: s, Addresses: Addresses{Callers: callers.Addr(), Operators: operators.Addr()}}
	e.addHTTP(callers, operators, certificates)
	if err := e.metrics.Registry().Register(bodyGauges{e.bodies}); err != nil {
		return nil, errors.Wrap(err, "register gauges of the bodies")
	}
	if err := e.addPlatform(); err != nil {
		return nil, err
	}
	return e, nil
}

func (e *Entry) addHTTP(callers, operators net.Listener, certificates entryCerts) {
	s := e.settings
	e.bodies = body.NewMemory(body.BytesOf(s.MemoryMB) / entryBodyCopies)
	e.front = front.New(front.Options{
		Bodies:       e.bodies,
		MaxBodyBytes: s.Callers.MaxBodyBytes, MaxAnswerBytes: s.Callers.MaxAnswerBytes,
		DefaultTimeout: s.Callers.DefaultTimeout, MaxTimeout: s.Callers.MaxTimeout,
		StreamWindow: s.Limits.StreamWindow, Logger: e.logger,
		Count: func(effect core.Effect) { e.metrics.Do(effect) },
	}, e.loop.Post)
	e.onDrained = e.front.Close
	view := func() status.View { return status.Collect(s.Host, e.loop.Dump()) }
	e.operator = operator.New(operator.Options{View: view}, e.loop.Post)
	wireOptions := wire.Options{
		Host: s.Host, Incarnation: e.blueprint.Incarnation, PingInterval: s.Timings.PingInterval,
		Metrics: newWireMetrics(e.metrics.Registry()), Log: e.logger,
	}
	if certificates.peers != nil {
		wireOptions.TLS = certificates.peers.Client
	}
	node := wire.New(wireOptions, e.loop.Post)
	e.closers = append(e.closers, closeNode(node))
	e.loop.Add(e.front, e.operator, node, executorFunc(e.apply), executorFunc(e.setFrontReady))

	extra := func() map[string]any {
		return map[string]any{"connections": node.Dump(), "bodies": e.bodies.State()}
	}
	handler := e.operatorsHandler(s.Operators.Token, extra, func(mux *http.ServeMux) {
		mux.Handle("/apis/", e.operator)
		mux.Handle("GET /{$}", page.Handler(e.operator.Snapshot, view))
	})
	server := newInternalServer(handler)
	server.RegisterOnShutdown(e.operator.Close)
	e.serveCallers(callers, e.front.Server(), certificates.callers, newConnLimit(maxCallerConns(s.MemoryMB, s.Descriptors), e.bodies, e.metrics, slog.New(slog.DiscardHandler)))
	e.serve(operators, server, certificates.operators)
}

// entryCerts are the certificates of an entry; nil for connections without TLS.
type entryCerts struct {
	callers, operators, peers *certs.Source
}

func loadEntryCerts(s *settings.Entry, logger *slog.Logger) (loaded entryCerts, err error) {
	if loaded.callers, err = loadCerts("callers.tls", s.Callers.TLS, logger); err != nil {
		return loaded, err
	}
	if loaded.operators, err = loadCerts("operators.tls", s.Operators.TLS, logger); err != nil {
		return loaded, err
	}
	loaded.peers, err = loadCerts("peers.tls", s.Peers.TLS, logger)
	return loaded, err
}

// addPlatform starts the clients of the KV service and the host list, and the evictor.
func (e *Entry) addPlatform() error {
	client, err := kv.NewClient(e.settings.KV.URL, kv.ClientOptions{
		CallTimeout: e.settings.KV.Timeout,
		OnCall:      func(op string, c code.Code) { e.count(countKVCalls, op, c.String()) },
	})
	if err != nil {
		return err
	}
	executor := kv.NewExecutor(client, watchedPrefixes, e.loop.Post, kv.ExecutorOptions{})
	evictor := engine.NewEvictor(engine.EvictorOptions{Now: clock.Now}, e.loop.Post)
	e.loop.Add(executor, evictor)
	poller := newPoller(&e.settings.Common, e.process)
	e.closers = append(e.closers, client.Close, executor.Close, evictor.Close, poller.Close)
	return nil
}

// apply puts an assembled configuration in force.
func (e *Entry) apply(effect core.Effect) bool {
	return applyConfig(e.process, effect, func(inForce core.ConfigInForce) {
		e.front.SetSnapshot(inForce.Snapshot)
		e.operator.Update(inForce.Snapshot, inForce.Changed)
	})
}

func (e *Entry) setFrontReady(effect core.Effect) bool {
	ready, ok := effect.(core.Ready)
	if ok {
		e.front.SetReady(ready.Ready)
	}
	return ok
}

// Run serves until ctx ends and the graceful shutdown is complete.
func (e *Entry) Run(ctx context.Context) error {
	e.logger.Info("entry started", "callers", e.Addresses.Callers.String(), "operators", e.Addresses.Operators.String())
	return e.run(ctx, core.Stop{Limit: e.settings.StopLimit, Delay: e.settings.Callers.StopDelay})
}

func newPoller(s *settings.Common, p *process) *hostlist.Poller {
	return hostlist.NewPoller(s.Hosts.URL, s.Hosts.Interval, p.loop.Post, hostlist.Options{
		OnRead: func(err error) {
			result := "ok"
			if err != nil {
				result = "failed"
			}
			p.count(countHostReads, result)
		},
	})
}

// closeNode returns a function that closes a node's connections gracefully.
func closeNode(node *wire.Node) func() {
	return func() {
		ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		_ = node.Close(ctx)
	}
}
