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
	// gcPercent is the growth of the heap, in percent, that starts a garbage
	// collection. It is half of Go's default: these processes are billed by the
	// memory they use, and they allocate little.
	gcPercent = 50
	// memoryLimitRatio is the garbage collector's memory limit as a fraction of
	// the process's limit. The rest is for memory that the collector does not
	// count.
	memoryLimitRatio = 0.8
	// peerPingInterval is the time between pings. While a process waits for something,
	// other messages are more frequent and reveal a dead connection earlier.
	peerPingInterval = 5 * time.Second
	// maxPeerPingRate limits the pings per second of a process, each of which costs
	// about 20 us. With more than 500 peers the interval between pings grows.
	maxPeerPingRate = 100
	// peerDialTimeout limits dialling a loader.
	peerDialTimeout = time.Second
	// settingsPollInterval is the interval between checks of the settings file,
	// which may change without a signal.
	settingsPollInterval = 2 * time.Second
	// logFlushTimeout limits writing the last log lines.
	logFlushTimeout = 200 * time.Millisecond
)

// nodeProcess contains what routers and loaders have in common.
type nodeProcess struct {
	settings  *settings.Node
	logWriter *telemetry.AsyncWriter
	// log is for messages about the process, requests for those about single
	// requests.
	log, requests *slog.Logger
	metrics       *telemetry.Metrics
	// failed receives the error of a listener that ended early.
	failed chan error
	// settingsModTime is the modification time of the settings file when it was
	// read at startup.
	settingsModTime time.Time
}

func newNodeProcess(s *settings.Node, out io.Writer, counters []core.CounterDef) (*nodeProcess, error) {
	debug.SetGCPercent(gcPercent)
	limitMemory(s.MemoryMB)
	p := &nodeProcess{settings: s, logWriter: telemetry.NewAsyncWriter(out), failed: make(chan error, 4)}
	var err error
	if p.log, err = telemetry.NewLogger(p.logWriter, s.Log); err != nil {
		return nil, err
	}
	if p.requests, err = telemetry.NewLogger(p.logWriter.RequestWriter(), s.Log); err != nil {
		return nil, err
	}
	p.log, p.requests = p.log.With("host", s.Host), p.requests.With("host", s.Host)
	p.metrics, err = telemetry.NewMetrics(p.log, counters)
	return p, err
}

// limitMemory sets the collector's memory limit for a process's limit in MB, 0 if unknown.
func limitMemory(processMB float64) {
	if processMB > 0 {
		debug.SetMemoryLimit(int64(processMB * memoryLimitRatio * (1 << 20)))
	}
}

// serve opens a listener and starts an HTTP server on it.
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
		// Failed connections of callers are frequent and change no state.
		server.ErrorLog = slog.NewLogLogger(p.log.Handler(), slog.LevelDebug)
	}
	go func() {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			p.failed <- errors.Wrapf(err, "serve on %s", l.Addr())
		}
	}()
}

// serveOperators serves metrics, the state dump and the handlers that mount registers. mount
// may be nil.
func (p *nodeProcess) serveOperators(dump func() any, ready func() bool, mount func(*http.ServeMux)) error {
	mux := http.NewServeMux()
	mux.Handle("/", p.metrics.Handler(dump, ready))
	if mount != nil {
		mount(mux)
	}
	return p.serve(p.settings.Operators, newInternalServer(sameOrigin(mux)))
}

// newLinks returns the process's connections to peers. It passes events to post in
// order, from a single goroutine.
func (p *nodeProcess) newLinks(post func(core.Event)) *wire.Node {
	put := queueEvents(post)
	return wire.New(wire.Options{
		Host: core.HostID(p.settings.Address), Incarnation: core.Incarnation(randomUint64()),
		PingInterval: peerPingInterval, PingRate: maxPeerPingRate, DialTimeout: peerDialTimeout,
		Metrics: newWireMetrics(p.metrics.Registry()), Log: p.log,
	}, put)
}

// queueEvents returns a function that queues an event for post without blocking. A
// separate goroutine passes the events to post in order.
//
// The queue is unbounded to prevent a deadlock: the node delivers events while it
// holds its lock, and post, which holds the reducer's lock, sends messages through
// the node. A process that was suspended for some seconds may receive more events
// than a bounded queue holds; each side would then wait for the other forever.
func queueEvents(post func(core.Event)) func(core.Event) {
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
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	last := p.settingsModTime
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup.C():
		case <-ticker.C:
			if modTime(file).Equal(last) {
				continue
			}
		}
		last = modTime(file)
		if err := reload(); err != nil {
			p.log.Error("settings not reloaded; the old ones stay", "file", file, "error", err.Error())
			continue
		}
		p.log.Info("settings reloaded", "file", file)
	}
}

func modTime(file string) time.Time {
	info, err := os.Stat(file)
	if err != nil {
		return time.Time{} // reload reports a missing file
	}
	return info.ModTime()
}

// logStopped logs the end of the process and flushes the log.
func (p *nodeProcess) logStopped(cause error) {
	if cause != nil {
		p.log.Error("stopped", "error", cause.Error())
	} else {
		p.log.Info("stopped")
	}
	p.logWriter.Close(logFlushTimeout)
}
