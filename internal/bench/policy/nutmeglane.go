package policy

import (
	"context"
	"time"

	"nutmeglane.example/nutmeglane/internal/api"
	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/daemon"
	"nutmeglane.example/nutmeglane/internal/harness"
	"nutmeglane.example/nutmeglane/internal/settings"
)

func priorityOf(batch bool) api.Priority {
	if batch {
		return api.PriorityBatch
	}
	return api.PriorityInteractive
}

// timings returns the default timings with longer intervals for messages that no
// request waits for, which makes the simulation of days faster.
func timings() core.Timings {
	t := core.DefaultTimings()
	t.ReportInterval, t.RosterInterval, t.StewardLease = time.Minute, time.Minute, 3*time.Minute
	return t
}

// runNutmeglane measures the reducers of the daemons.
func runNutmeglane(ctx context.Context, d *deployment, opts Options, arrivals []arrival) (Row, error) {
	w := d.newWorld(opts.Seed)
	engines := d.newEngines(w, opts.Seed)
	for i, e := range engines {
		start(w, newHost(hostName(i), d.zone(i), core.RoleBackend), e, daemon.Blueprint{
			Role: settings.RoleAgent, Kind: core.BackendEngine, Seed: opts.Seed + uint64(i),
		})
	}
	for i := range d.services {
		name := core.HostID(d.service) + "-" + core.HostID('0'+rune(i))
		start(w, newHost(name, d.zone(i), core.RoleBackend), w.NewEngine(0, false), daemon.Blueprint{
			Role: settings.RoleAgent, Kind: core.BackendService, Service: d.service, Seed: opts.Seed + 100 + uint64(i),
		})
	}
	for i := range opts.Entries {
		start(w, newHost(entryName(i), d.zone(i), core.RoleEntry), nil, daemon.Blueprint{
			Role: settings.RoleEntry, Seed: opts.Seed + 200 + uint64(i),
		})
	}
	m := newMeasurement(d, w, engines)
	if err := m.run(ctx, arrivals); err != nil {
		return Row{}, err
	}
	return m.row("nutmeglane"), nil
}

func newHost(id core.HostID, zone core.Zone, role core.HostRole) core.Host {
	return core.Host{ID: id, Address: string(id), Zone: zone, Role: role, State: core.HostLive}
}

// Limits of a process, the same as the defaults of the settings.
const (
	queueLength  = 1024
	queueBytes   = 16 << 20
	streamWindow = 64
)

func start(w *harness.World, host core.Host, e *harness.Engine, b daemon.Blueprint) {
	b.Host, b.Zone, b.Address, b.Timings = host.ID, host.Zone, host.Address, timings()
	b.Limits = daemon.Limits{QueueLength: queueLength, QueueBytes: queueBytes, StreamWindow: streamWindow}
	w.Start(host, e, func(incarnation core.Incarnation) harness.Stepper {
		b.Incarnation = incarnation
		m, err := b.Build()
		if err != nil {
			panic(err) // unknown role, a bug in this package
		}
		return m
	})
}
