package fleet

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"nutmeglane.example/nutmeglane/internal/api"
	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/dev"
	"nutmeglane.example/nutmeglane/internal/operator/client"
	"nutmeglane.example/nutmeglane/internal/settings"
	"nutmeglane.example/nutmeglane/internal/standin/engine"
)

const (
	// applyRetry is the interval between attempts to apply while entries start.
	applyRetry = 200 * time.Millisecond
	// pollInterval is the interval between checks of a condition.
	pollInterval = 20 * time.Millisecond
	// callLimit is the timeout of HTTP calls to daemons by the measurement itself.
	callLimit = 30 * time.Second
)

// Options describe a fleet.
type Options struct {
	// Daemon is the path of the nutmeglaned binary.
	Daemon string
	// Entries and Agents are the numbers of processes.
	Entries, Agents int
	// Zones is the number of availability zones. Default 1.
	Zones int
	// Engine configures the fake engine of each agent.
	Engine engine.Options
}

// Fleet has the running daemons and the fakes that they use.
type Fleet struct {
	Platform *Platform
	Entries  []*Process
	Agents   []*Process
	// Engines are the fake engines, in the order of Agents.
	Engines []*dev.Server

	opts      Options
	directory string
	client    *http.Client
}

// Start starts a fleet. It runs until Close.
func Start(ctx context.Context, opts Options) (*Fleet, error) {
	opts.Zones = max(1, opts.Zones)
	directory, err := os.MkdirTemp("", "nutmeglane-fleet-")
	if err != nil {
		return nil, errors.Wrap(err, "make directory")
	}
	f := &Fleet{opts: opts, directory: directory, client: &http.Client{Timeout: callLimit}}
	if f.Platform, err = startPlatform(); err != nil {
		_ = os.RemoveAll(directory)
		return nil, err
	}
	if err := f.startAll(ctx); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) startAll(ctx context.Context) error {
	for i := range f.opts.Agents {
		if err := f.startAgent(i); err != nil {
			return err
		}
	}
	for i := range f.opts.Entries {
		if err := f.startEntry(i); err != nil {
			return err
		}
	}
	for _, p := range f.Processes() {
		if err := p.awaitStart(ctx); err != nil {
			return err
		}
	}
	for i, p := range f.Agents {
		f.Platform.Hosts.Put(core.Host{
			ID: core.HostID(p.Host), Address: p.Peers, Zone: f.zone(i),
			Role: core.RoleBackend, State: core.HostLive,
		})
	}
	return nil
}

func (f *Fleet) zone(i int) core.Zone { return core.Zone(fmt.Sprintf("zone-%d", i%f.opts.Zones+1)) }

func (f *Fleet) startAgent(i int) error {
	handler := engine.New(f.opts.Engine)
	server, err := dev.Serve(freePort, handler, handler.Close)
	if err != nil {
		return err
	}
	f.Engines = append(f.Engines, server)
	s := f.commonSettings(settings.RoleAgent, fmt.Sprintf("agent-%04d", i+1), f.zone(i))
	s.Peers, s.Backend = &listener{freePort}, &backend{core.BackendEngine, server.URL()}
	p, err := f.start(s)
	if err == nil {
		f.Agents = append(f.Agents, p)
	}
	return err
}

func (f *Fleet) startEntry(i int) error {
	s := f.commonSettings(settings.RoleEntry, fmt.Sprintf("entry-%04d", i+1), f.zone(i))
	s.Callers, s.KV = &listener{freePort}, &address{f.Platform.KVURL()}
	p, err := f.start(s)
	if err == nil {
		f.Entries = append(f.Entries, p)
	}
	return err
}

func (f *Fleet) start(s settingsFile) (*Process, error) {
	file, err := f.writeSettings(s)
	if err != nil {
		return nil, err
	}
	return startProcess(f.opts.Daemon, s.Role, s.Host, file, f.client)
}

// Processes returns all daemons.
func (f *Fleet) Processes() []*Process {
	return append(append([]*Process{}, f.Entries...), f.Agents...)
}

// Apply applies resources at an entry and returns the revision. It retries until
// ctx ends, since calls fail while the daemons start. Only a refusal with status
// 400 is returned at once.
func (f *Fleet) Apply(ctx context.Context, entry int, resources []api.Resource) (int64, error) {
	operators := client.New("http://"+f.Entries[entry].Operators, "", f.client)
	for {
		result, err := operators.Apply(ctx, resources, client.ApplyOptions{})
		if err == nil {
			return result.Revision, nil
		}
		var refused *client.Error
		if errors.As(err, &refused) && refused.Status == http.StatusBadRequest {
			return 0, err
		}
		if wait(ctx, applyRetry) != nil {
			return 0, errors.CombineErrors(err, ctx.Err())
		}
	}
}

// AwaitRevision waits until a revision, or a later one, is in force at every
// daemon.
func (f *Fleet) AwaitRevision(ctx context.Context, revision int64) error {
	for _, p := range f.Processes() {
		for {
			if _, ok := p.InForceAt(revision); ok {
				break
			}
			if err := wait(ctx, pollInterval); err != nil {
				return errors.Wrapf(err, "revision %d at %s", revision, p.Host)
			}
		}
	}
	return nil
}

// Samples samples the given processes and returns the samples in their order.
func Samples(ctx context.Context, processes []*Process) ([]Sample, error) {
	samples := make([]Sample, len(processes))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(8)
	for i, p := range processes {
		group.Go(func() (err error) {
			samples[i], err = p.Sample(ctx)
			return errors.Wrap(err, p.Host)
		})
	}
	return samples, group.Wait()
}

// Close kills all processes and closes the fakes.
func (f *Fleet) Close() {
	for _, p := range f.Processes() {
		_ = p.command.Process.Kill()
	}
	for _, p := range f.Processes() {
		p.kill()
	}
	for _, server := range f.Engines {
		server.Close()
	}
	f.Platform.close()
	f.client.CloseIdleConnections()
	_ = os.RemoveAll(f.directory)
}

func wait(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
