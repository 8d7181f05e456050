package daemon

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"os"
	"runtime/debug"
	"time"

	"github.com/cockroachdb/errors"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/hangup"
	"nutmeglane.example/nutmeglane/internal/runtime"
	"nutmeglane.example/nutmeglane/internal/settings"
	"nutmeglane.example/nutmeglane/internal/telemetry"
	"nutmeglane.example/nutmeglane/internal/wire"
)

const (
	// collectAt is the growth of the heap, in percent, that starts a garbage
	// collection. Half of Go's default: these processes are priced by their
	// memory, and allocate little.
	collectAt = 50
	// memoryShare of the limit is where the collector works harder; the rest
	// is for what it does not count.
	memoryShare = 0.8
	// peerPing is the time between pings. Where something is waited for, words come more
	// often and show earlier that a connection is silent.
	peerPing = 5 * time.Second
	// peerPingRate bounds the pings per second of a process, each some 20 us: with more
	// than 500 peers the time between pings grows.
	peerPingRate = 100
	// peerDial bounds a dial of a loader.
	peerDial = time.Second
	// settingsPoll is the time between two looks at the settings file, which
	// may change without a signal.
	settingsPoll = 2 * time.Second
	// logLimit bounds writing the last log lines.
	logLimit = 200 * time.Millisecond
)

// nodeProcess is what routers and loaders have in common.
type nodeProcess struct {
	settings *settings.Node
	ring     *telemetry.AsyncWriter
	// log takes lines about the process, requests those about single requests.
	log, requests *slog.Logger
	metrics       *telemetry.Metrics
	failed        chan error
	// readAt is when the settings file that was read had been changed.
	readAt time.Time
}

func newNodeProcess(s *settings.Node, out io.Writer, counters []core.CounterDef) (*nodeProcess, error) {
	debug.SetGCPercent(collectAt)
	if s.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(s.MemoryMB * memoryShare * (1 << 20)))
	}
	p := &nodeProcess{settings: s, ring: telemetry.NewAsyncWriter(out), failed: make(chan error, 4)}
	var err error
	if p.log, err = telemetry.NewLogger(p.ring, s.Log); err != nil {
		return nil, err
	}
	if p.requests, err = telemetry.NewLogger(p.ring.RequestWriter(), s.Log); err != nil {
		return nil, err
	}
	p.log, p.requests = p.log.With("host", s.Host), p.requests.With("host", s.Host)
	p.metrics, err = telemetry.NewMetrics(p.log, counters)
	return p, err
}

// serve runs an HTTP server until it is closed.
func (p *nodeProcess) serve(address netip.AddrPort, server *http.Server) error {
	l, err := listen(address)
	if err != nil {
		return err
	}
	p.serveOn(l, server)
	return nil
}

func (p *nodeProcess) serveOn(l net.Listener, server *http.Server) {
	if server.ErrorLog == nil {
		// Broken connections of callers are many and change no state.
		server.ErrorLog = slog.NewLogLogger(p.log.Handler(), slog.LevelDebug)
	}
	go func() {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			p.failed <- errors.Wrapf(err, "serve on %s", l.Addr())
		}
	}()
}

// serveOperators serves metrics, the state dump and what mount adds, if it is not nil.
func (p *nodeProcess) serveOperators(dump func() any, ready func() bool, mount func(*http.ServeMux)) error {
	mux := http.NewServeMux()
	mux.Handle("/", p.metrics.Handler(dump, ready))
	if mount != nil {
		mount(mux)
	}
	return p.serve(p.settings.Operators, &http.Server{Handler: sameOrigin(mux), ReadHeaderTimeout: drainTime})
}

// links returns the node's connections to peers. Events reach post from one
// goroutine, in order.
func (p *nodeProcess) links(post func(core.Event)) *wire.Node {
	put := pump(post)
	return wire.New(wire.Options{
		Host: core.HostID(p.settings.Address), Incarnation: core.Incarnation(randomUint64()),
		PingInterval: peerPing, PingRate: peerPingRate, DialTimeout: peerDial,
		Metrics: newWireMetrics(p.metrics.Registry()), Log: p.log,
	}, put)
}

// pump returns a function that hands events to post, from a goroutine of its
// own, in order. It never blocks.
//
// It guards against a deadlock: the node hands over events under its lock, and
// post, which holds the reducer's lock, sends messages through the node. With a
// bounded queue a process that was frozen for some seconds would wake up to more
// events than it holds, and each side would wait for the other for good.
func pump(post func(core.Event)) func(core.Event) {
	queue := runtime.NewQueue()
	go func() {
		var batch []core.Event
		for range queue.Ready() {
			batch = queue.Take(batch)
			for _, event := range batch {
				post(event)
			}
			clear(batch)
		}
	}()
	return queue.Put
}

// watchSettings calls reload after SIGHUP and after a change of the file.
func (p *nodeProcess) watchSettings(ctx context.Context, file string, reload func() error) {
	ticker := time.NewTicker(settingsPoll)
	defer ticker.Stop()
	last := p.readAt
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup.C():
		case <-ticker.C:
			if modified(file).Equal(last) {
				continue
			}
		}
		last = modified(file)
		if err := reload(); err != nil {
			p.log.Error("settings not reloaded; the old ones stay", "file", file, "error", err.Error())
			continue
		}
		p.log.Info("settings reloaded", "file", file)
	}
}

func modified(file string) time.Time {
	info, err := os.Stat(file)
	if err != nil {
		return time.Time{} // a file that is gone is read, and reported, on reload
	}
	return info.ModTime()
}

// stopped logs the end of the process and writes the last lines.
func (p *nodeProcess) stopped(cause error) {
	if cause != nil {
		p.log.Error("stopped", "error", cause.Error())
	} else {
		p.log.Info("stopped")
	}
	p.ring.Close(logLimit)
}
