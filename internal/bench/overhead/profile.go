package overhead

import (
	"context"
	"fmt"
	"log/slog"
	"net/netip"
	"os"
	"runtime/pprof"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"nutmeglane.example/nutmeglane/internal/bench/fleet"
	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/daemon"
	"nutmeglane.example/nutmeglane/internal/dev"
	"nutmeglane.example/nutmeglane/internal/operator/client"
	"nutmeglane.example/nutmeglane/internal/settings"
	"nutmeglane.example/nutmeglane/internal/standin/engine"
	"nutmeglane.example/nutmeglane/internal/standin/hosts"
	"nutmeglane.example/nutmeglane/internal/standin/kv"
)

// roleLabel is the profile label with the role that the CPU time belongs to:
// go tool pprof -tagfocus role=entry FILE.
const roleLabel = "role"

// embedded has an entry, agents and the fakes that they use, all in this process.
type embedded struct {
	servers []*dev.Server
	kvURL   string
	hosts   *hosts.Server
	hostURL string
	entry   *daemon.Entry
	agents  []*daemon.Agent
	group   errgroup.Group
	stop    context.CancelFunc
}

// profile measures throughput with embedded daemons and writes a CPU profile to
// opts.Profile.
func (r *Result) profile(ctx context.Context, opts Options) error {
	e, err := startEmbedded(ctx, opts)
	if e != nil {
		defer e.close()
	}
	if err != nil {
		return err
	}
	c := &caller{opts: opts, callers: e.entry.Addresses.Callers.String(), client: newClient(opts.Streams)}
	defer c.close()
	c.sample = func(context.Context) (usage, error) { return usage{entry: fleet.OwnCPU()}, nil }
	if err := c.awaitLoaded(ctx); err != nil {
		return err
	}
	file, err := os.Create(opts.Profile)
	if err != nil {
		return errors.Wrap(err, "create profile")
	}
	defer func() { _ = file.Close() }()
	if err := pprof.StartCPUProfile(file); err != nil {
		return errors.Wrap(err, "start profile")
	}
	defer pprof.StopCPUProfile()
	t, err := c.measureThroughput(ctx, opts.Streams, int(opts.TokenRates[0]*streamSeconds))
	fmt.Fprintf(opts.Progress, "profiled %.0f tokens/s; CPU time includes callers and engines\n", t.TokensPerSecond)
	return err
}

// labelled runs f with the label of a role, which goroutines that f starts
// inherit.
func labelled(ctx context.Context, role string, f func(context.Context) error) (err error) {
	pprof.Do(ctx, pprof.Labels(roleLabel, role), func(ctx context.Context) { err = f(ctx) })
	return err
}

func startEmbedded(ctx context.Context, opts Options) (*embedded, error) {
	ctx, stop := context.WithCancel(ctx)
	e := &embedded{stop: stop}
	if err := labelled(ctx, "stand-in", func(context.Context) error { return e.startPlatform() }); err != nil {
		return e, err
	}
	if err := labelled(ctx, "entry", e.startEntry); err != nil {
		return e, err
	}
	for i := range opts.Agents {
		if err := e.startAgent(ctx, i, opts); err != nil {
			return e, err
		}
	}
	operators := client.New("http://"+e.entry.Addresses.Operators.String(), "", nil)
	limited, cancel := context.WithTimeout(ctx, warmLimit)
	defer cancel()
	for {
		_, err := operators.Apply(limited, fleet.Declare(fleet.Declaration{
			Models: opts.Agents, Replicas: 1, KeepLoaded: 1, MaxConcurrent: replicaConcurrency,
		}), client.ApplyOptions{})
		if err == nil {
			return e, nil
		}
		if pause(limited, warmRetry) != nil {
			return e, err
		}
	}
}

func (e *embedded) serve(s *dev.Server, err error) (string, error) {
	if err != nil {
		return "", err
	}
	e.servers = append(e.servers, s)
	return s.URL(), nil
}

func (e *embedded) startPlatform() (err error) {
	store := kv.New(kv.Options{})
	if e.kvURL, err = e.serve(dev.Serve(anyPort, store, store.Close)); err != nil {
		return err
	}
	e.hosts = hosts.New(hosts.Options{})
	e.hostURL, err = e.serve(dev.Serve(anyPort, e.hosts, nil))
	return err
}

const anyPort = "127.0.0.1:0"

func (e *embedded) fillCommon(c *settings.Common, role settings.Role, host string) {
	c.Role, c.Host, c.Zone = role, core.HostID(host), "zone-1"
	c.Operators.Listen = netip.MustParseAddrPort(anyPort)
	c.Hosts.URL = e.hostURL + "/hosts"
}

func (e *embedded) startEntry(ctx context.Context) error {
	s := settings.DefaultEntry()
	e.fillCommon(&s.Common, settings.RoleEntry, "entry-1")
	s.Callers.Listen = netip.MustParseAddrPort(anyPort)
	s.KV.URL = e.kvURL
	var err error
	if e.entry, err = daemon.NewEntry(s, slog.New(slog.DiscardHandler)); err != nil {
		return err
	}
	e.group.Go(func() error { return e.entry.Run(ctx) })
	return nil
}

func (e *embedded) startAgent(ctx context.Context, i int, opts Options) error {
	var url string
	err := labelled(ctx, "stand-in", func(context.Context) (err error) {
		server := engine.New(engine.Options{TokensPerSecond: opts.TokenRates[0], MaxBatch: replicaConcurrency})
		url, err = e.serve(dev.Serve(anyPort, server, server.Close))
		return err
	})
	if err != nil {
		return err
	}
	return labelled(ctx, "agent", func(ctx context.Context) error {
		s := settings.DefaultAgent()
		e.fillCommon(&s.Common, settings.RoleAgent, fmt.Sprintf("agent-%d", i))
		s.Peers.Listen = netip.MustParseAddrPort(anyPort)
		s.Backend = settings.Backend{Kind: core.BackendEngine, URL: url}
		agent, err := daemon.NewAgent(s, slog.New(slog.DiscardHandler))
		if err != nil {
			return err
		}
		e.agents = append(e.agents, agent)
		e.hosts.Put(core.Host{
			ID: s.Host, Address: agent.Addresses.Peers.String(), Zone: s.Zone,
			Role: core.RoleBackend, State: core.HostLive,
		})
		e.group.Go(func() error { return agent.Run(ctx) })
		return nil
	})
}

func (e *embedded) close() {
	e.stop()
	_ = e.group.Wait()
	for _, s := range e.servers {
		s.Close()
	}
}
