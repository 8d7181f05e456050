package capacity

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"nutmeglane.example/nutmeglane/internal/api"
	"nutmeglane.example/nutmeglane/internal/bench/fleet"
	"nutmeglane.example/nutmeglane/internal/standin/engine"
	"nutmeglane.example/nutmeglane/internal/standin/kv"
)

// The fleet and the timing of the propagation measurement.
const (
	propagationEntries  = 8
	propagationZones    = 8
	propagationAdapters = 1_000
	// slowKVDelay is the additional delay of each KV call while the service is
	// slow.
	slowKVDelay = time.Second
	// changeGap is the pause between two changes.
	changeGap = 500 * time.Millisecond
	// inForceBudget is the time within which a change has to be in force
	// everywhere.
	inForceBudget = 7 * time.Second
	// inForceLimit is the timeout for a change that does not come into force.
	inForceLimit = time.Minute
)

// Propagation is the distribution of the time from the operator's call until a
// change was in force at a daemon, over all changes and daemons.
type Propagation struct {
	KV      string `json:"kv"`
	Daemons int    `json:"daemons"`
	Changes int    `json:"changes"`
	// P50 to Max are quantiles in seconds over all pairs of change and daemon.
	P50 float64 `json:"p50_seconds"`
	P90 float64 `json:"p90_seconds"`
	P99 float64 `json:"p99_seconds"`
	Max float64 `json:"max_seconds"`
	// OverBudget counts the pairs above 7 s.
	OverBudget  int    `json:"over_budget"`
	MachineLoad string `json:"machine_load"`
}

// measurePropagation measures changes in one large fleet, first with a healthy
// KV service, then with a slow one.
func measurePropagation(ctx context.Context, opts Options) ([]Propagation, error) {
	c := Case{
		Series: "propagation", Entries: propagationEntries, Agents: opts.PropagationAgents,
		Adapters: propagationAdapters,
	}
	s := &caseRun{opts: opts, testCase: c, referee: engine.NewReferee()}
	var err error
	s.fleet, err = fleet.Start(ctx, fleet.Options{
		Daemon: opts.Daemon, Entries: c.Entries, Agents: c.Agents, Zones: propagationZones,
		Engine: engine.Options{MemoryMiB: c.engineMemoryMiB(), Referee: s.referee},
	})
	if err != nil {
		return nil, err
	}
	defer s.fleet.Close()
	if err := s.warm(ctx); err != nil {
		return nil, err
	}
	healthy, err := s.propagate(ctx, "healthy", 0)
	if err != nil {
		return nil, err
	}
	s.fleet.Platform.KV.SetFaults(kv.Faults{DelayMillis: slowKVDelay.Milliseconds()})
	slow, err := s.propagate(ctx, fmt.Sprintf("slow: each call takes %v longer", slowKVDelay), opts.PropagationChanges)
	return []Propagation{healthy, slow}, err
}

func (s *caseRun) propagate(ctx context.Context, state string, offset int) (Propagation, error) {
	result := Propagation{KV: state, Daemons: len(s.fleet.Processes()), Changes: s.opts.PropagationChanges}
	var times []time.Duration
	for n := range s.opts.PropagationChanges {
		taken, err := s.propagateOne(ctx, offset+n)
		if err != nil {
			return result, errors.Wrapf(err, "KV %s, change %d", state, n)
		}
		times = append(times, taken...)
		if err := pause(ctx, changeGap); err != nil {
			return result, err
		}
	}
	slices.Sort(times)
	at := func(share float64) float64 { return times[int(share*float64(len(times)-1))].Seconds() }
	result.P50, result.P90, result.P99, result.Max = at(0.5), at(0.9), at(0.99), at(1)
	for _, d := range times {
		if d > inForceBudget {
			result.OverBudget++
		}
	}
	result.MachineLoad = fleet.MachineLoad()
	fmt.Fprintf(s.opts.Progress, "in force, KV %s: p50 %.2f s, p99 %.2f s, max %.2f s\n", state, result.P50, result.P99, result.Max)
	return result, nil
}

// propagateOne applies a change and returns the time until it was in force at
// each daemon.
func (s *caseRun) propagateOne(ctx context.Context, n int) ([]time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, inForceLimit)
	defer cancel()
	begin := time.Now()
	revision, err := s.fleet.Apply(ctx, n%propagationEntries, []api.Resource{changedAdapter(s.testCase, n)})
	if err != nil {
		return nil, err
	}
	if err := s.fleet.AwaitRevision(ctx, revision); err != nil {
		return nil, err
	}
	var times []time.Duration
	for _, p := range s.fleet.Processes() {
		if at, ok := p.InForceAt(revision); ok {
			times = append(times, at.Sub(begin))
		}
	}
	return times, nil
}
