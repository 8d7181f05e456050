package daemon

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/binary"
	"log/slog"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"

	"nutmeglane.example/nutmeglane/internal/certs"
	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/core/config"
	"nutmeglane.example/nutmeglane/internal/hangup"
	"nutmeglane.example/nutmeglane/internal/runtime"
	"nutmeglane.example/nutmeglane/internal/settings"
	"nutmeglane.example/nutmeglane/internal/telemetry"
)

// shutdownTimeout limits closing listeners and connections once the reducer has
// exited. It is also the limit for reading request headers on all listeners but the
// callers'.
const shutdownTimeout = 3 * time.Second

// recordFileMode restricts a recorded run, which contains request contents, to its
// owner.
const recordFileMode = 0o600

// process contains what entries and agents have in common: the loop, metrics, logger
// and listeners.
type process struct {
	blueprint Blueprint
	loop      *runtime.Loop
	metrics   *telemetry.Metrics
	logger    *slog.Logger
	ready     atomic.Bool
	record    *os.File
	recorder  *runtime.Recorder
	servers   []*http.Server
	// callers is the callers' server and callerConns its connections; nil in processes
	// without one.
	callers     *http.Server
	callerConns *callerConns
	snapshots   config.SnapshotBuilder
	drain       drainSignal
	// failed receives the error of a listener that ended early.
	failed chan error
	// onDrained, if not nil, is called when the reducer has exited, before the
	// listeners close.
	onDrained func()
	// closers are called in reverse order when the process ends.
	closers []func()
}

func newProcess(s *settings.Common, blueprint Blueprint, logger *slog.Logger) (*process, error) {
	p := &process{blueprint: blueprint, logger: logger, failed: make(chan error, 4)}
	p.drain.requested = make(chan struct{})
	metrics, err := telemetry.NewMetrics(logger, append(Counters(), processCounters...))
	if err != nil {
		return nil, err
	}
	p.metrics = metrics
	if err := p.openRecord(s.Record); err != nil {
		return nil, err
	}
	stepper, err := blueprint.Build()
	if err != nil {
		return nil, err
	}
	p.loop = runtime.New(stepper, p.recorder)
	if err := metrics.Registry().Register(gauges{p.loop.Dump}); err != nil {
		return nil, errors.Wrap(err, "register gauges")
	}
	p.loop.Add(metrics, executorFunc(p.setReady))
	return p, nil
}

// executorFunc adapts a function to runtime.Executor.
type executorFunc func(core.Effect) bool

// Do implements runtime.Executor.
func (f executorFunc) Do(effect core.Effect) bool { return f(effect) }

func (p *process) setReady(effect core.Effect) bool {
	e, ok := effect.(core.Ready)
	if ok {
		p.ready.Store(e.Ready)
	}
	return false // other executors handle the effect, too
}

func (p *process) openRecord(file string) error {
	if file == "" {
		return nil
	}
	f, err := os.OpenFile(file, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, recordFileMode)
	if err != nil {
		return errors.Wrap(err, "open record file")
	}
	p.record = f
	p.recorder, err = runtime.NewRecorder(f, p.blueprint)
	p.closers = append(p.closers, func() {
		if err := p.recorder.Err(); err != nil {
			p.logger.Error("recorded run is incomplete", "error", err.Error())
		}
		_ = f.Close()
	})
	return err
}

// serve starts a server on a listener, with TLS if source is not nil. The server is
// shut down when the process ends.
func (p *process) serve(l net.Listener, server *http.Server, source *certs.Source) {
	p.servers = append(p.servers, server)
	p.serveOn(l, server, source)
}

// serveCallers is like serve, but for the callers' server, which must not lose requests
// when the process stops.
func (p *process) serveCallers(l net.Listener, server *http.Server, source *certs.Source, limit *connLimit) {
	p.callers, p.callerConns = server, newCallerConns()
	p.callerConns.limit = limit
	p.callerConns.serve(server)
	p.serveOn(p.callerConns.wrap(l), server, source)
}

func (p *process) serveOn(l net.Listener, server *http.Server, source *certs.Source) {
	if server.ErrorLog == nil {
		// Failed handshakes are frequent and change no state.
		server.ErrorLog = slog.NewLogLogger(p.logger.Handler(), slog.LevelDebug)
	}
	if source != nil {
		l = tls.NewListener(l, source.Server())
	}
	go func() {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			p.failed <- errors.Wrapf(err, "serve on %s", l.Addr())
		}
	}()
}

// run runs the reducer until it exits. When ctx ends or an operator drains the
// process, it posts stop to request a graceful shutdown; the reducer exits when no
// request is in flight, or at the latest after the stop limit.
func (p *process) run(ctx context.Context, stop core.Stop) error {
	loopCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- p.loop.Run(loopCtx) }()
	go p.warnOnHangup(loopCtx)
	defer p.close()
	// halt ends the loop before run returns: nothing may start after the process has
	// logged its end.
	halt := func(err error) error {
		cancel()
		<-done
		return err
	}
	select {
	case err := <-done:
		return err
	case err := <-p.failed:
		return halt(err)
	case <-ctx.Done():
	case <-p.drain.requested:
	}
	p.logger.Info("stopping", "limit", stop.Limit.String())
	p.loop.Post(stop)
	select {
	case err := <-done:
		return err
	case <-time.After(stop.Limit + shutdownTimeout):
		return halt(errors.Newf("graceful shutdown did not end within %v", stop.Limit+shutdownTimeout))
	}
}

// warnOnHangup logs that SIGHUP has no effect in this role.
func (p *process) warnOnHangup(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup.C():
			p.logger.Warn("SIGHUP ignored: this role reads its settings only at startup")
		}
	}
}

func (p *process) close() {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if p.onDrained != nil {
		p.onDrained()
	}
	p.closeCallers(ctx)
	for _, server := range p.servers {
		if err := server.Shutdown(ctx); err != nil {
			_ = server.Close()
		}
	}
	for i := len(p.closers) - 1; i >= 0; i-- {
		p.closers[i]()
	}
	p.logger.Info("stopped")
}

// closeCallers closes the callers' connections once their requests are answered.
func (p *process) closeCallers(ctx context.Context) {
	if p.callers == nil {
		return
	}
	if err := p.callerConns.drain(ctx); err != nil {
		p.logger.Warn("callers' connections aborted at the end of the shutdown", "error", err.Error())
	}
	_ = p.callers.Close()
}

// dumpState returns a function that produces the answer to GET /debug/state.
func (p *process) dumpState(extra func() map[string]any) func() any {
	return func() any {
		dump := p.loop.Dump()
		if dump == nil {
			dump = map[string]any{}
		}
		b := p.blueprint
		dump["process"] = map[string]any{
			"role": b.Role, "host": b.Host, "zone": b.Zone,
			"incarnation": b.Incarnation, "address": b.Address, "ready": p.ready.Load(),
		}
		for name, value := range extra() {
			dump[name] = value
		}
		return dump
	}
}

// count adds one to a counter.
func (p *process) count(name core.Counter, labels ...string) {
	p.metrics.Do(core.Count{Name: name, Labels: labels, Add: 1})
}

// randomUint64 returns a random odd number, which is never 0.
func randomUint64() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:]) // never returns an error, see crypto/rand
	return binary.BigEndian.Uint64(b[:]) | 1
}

// wireMetrics implements wire.Metrics.
type wireMetrics struct {
	in, out, refused, bad, stuck prometheus.Counter
	connections                  prometheus.Gauge
}

func newWireMetrics(registry prometheus.Registerer) *wireMetrics {
	counter := func(name, help string) prometheus.Counter {
		c := prometheus.NewCounter(prometheus.CounterOpts{Namespace: "nutmeglane", Name: name, Help: help})
		registry.MustRegister(c)
		return c
	}
	m := &wireMetrics{
		in:      counter("wire_received_bytes_total", "Bytes received from other processes, with all framing."),
		out:     counter("wire_sent_bytes_total", "Bytes sent to other processes, with all framing."),
		refused: counter("wire_upgrades_refused_total", "Connections refused early by the token bucket."),
		bad:     counter("wire_bad_messages_total", "Connections closed for a message that can't be decoded."),
		stuck:   counter("wire_stuck_peers_total", "Connections closed because the peer stopped reading."),
		connections: prometheus.NewGauge(prometheus.GaugeOpts{
			Namespace: "nutmeglane", Name: "wire_connections", Help: "Established connections to other processes.",
		}),
	}
	registry.MustRegister(m.connections)
	return m
}

func (m *wireMetrics) BytesIn(n int)         { m.in.Add(float64(n)) }
func (m *wireMetrics) BytesOut(n int)        { m.out.Add(float64(n)) }
func (m *wireMetrics) Connections(delta int) { m.connections.Add(float64(delta)) }
func (m *wireMetrics) UpgradeRefused()       { m.refused.Inc() }
func (m *wireMetrics) BadMessage()           { m.bad.Inc() }
func (m *wireMetrics) StuckPeer()            { m.stuck.Inc() }
