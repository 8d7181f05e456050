package capacity

import (
	"fmt"

	"github.com/cockroachdb/errors"

	"nutmeglane.example/nutmeglane/internal/bench/fleet"
)

// Case describes a fleet and the loads that it is measured under. Each case has
// an idle window and one window for each of its loads.
type Case struct {
	// Series groups the cases that differ in one dimension.
	Series          string
	Entries, Agents int
	// Models is the number of models, 0 for one per agent. Replicas is the
	// number of replicas of each model, 0 for one. Adapters is the number of
	// adapters of all models together.
	Models, Replicas, Adapters int
	// Connect sends a request for each model through each entry, so that
	// every entry connects to every agent.
	Connect bool
	// ChangesPerSecond is the rate of configuration changes in a window of
	// their own, 0 for no such window.
	ChangesPerSecond float64
	// WakesPerSecond is the rate of requests for adapters that are not
	// loaded, 0 for no such window. The engines have memory for a few
	// adapters only.
	WakesPerSecond float64
	// Requests adds a window of requests with one output token, Tokens one of
	// long answers.
	Requests, Tokens bool
}

// Names of the series.
const (
	seriesAgents   = "agents"
	seriesEntries  = "entries"
	seriesReplicas = "replicas"
	seriesAdapters = "adapters"
	seriesWakes    = "wakes"
	seriesLoad     = "load"
)

// DefaultCases returns the cases of all series. Each has at most 124 daemons.
func DefaultCases() []Case {
	return []Case{
		{Series: seriesAgents, Entries: 2, Agents: 10, Connect: true},
		{Series: seriesAgents, Entries: 2, Agents: 40, Connect: true},
		{Series: seriesAgents, Entries: 2, Agents: 120, Connect: true},
		{Series: seriesEntries, Entries: 1, Agents: 10, Connect: true},
		{Series: seriesEntries, Entries: 4, Agents: 10, Connect: true},
		{Series: seriesEntries, Entries: 16, Agents: 10, Connect: true},
		{Series: seriesReplicas, Entries: 2, Agents: 10, Replicas: 1, Connect: true},
		{Series: seriesReplicas, Entries: 2, Agents: 10, Replicas: 10, Models: 100, Connect: true},
		{Series: seriesAdapters, Entries: 2, Agents: 4, Adapters: 1_000, ChangesPerSecond: 0.5},
		{Series: seriesAdapters, Entries: 2, Agents: 4, Adapters: 10_000, ChangesPerSecond: 0.5},
		{Series: seriesAdapters, Entries: 2, Agents: 4, Adapters: 42_000, ChangesPerSecond: 0.25},
		{Series: seriesWakes, Entries: 2, Agents: 10, Adapters: 10_000, WakesPerSecond: 20},
		{Series: seriesLoad, Entries: 1, Agents: 2, Connect: true, Requests: true, Tokens: true},
	}
}

// CasesOf returns the default cases of the named series, nil if none is named.
// Options use all default cases then.
func CasesOf(series []string) ([]Case, error) {
	var cases []Case
	for _, name := range series {
		before := len(cases)
		for _, c := range DefaultCases() {
			if c.Series == name {
				cases = append(cases, c)
			}
		}
		if len(cases) == before {
			return nil, errors.Newf("unknown series %q", name)
		}
	}
	return cases, nil
}

// Name identifies the case in results.
func (c Case) Name() string {
	return fmt.Sprintf("%s: %d entries, %d agents, %d adapters", c.Series, c.Entries, c.Agents, c.Adapters)
}

func (c Case) models() int {
	if c.Models > 0 {
		return c.Models
	}
	return c.Agents
}

func (c Case) replicas() int { return max(1, c.Replicas) }

func (c Case) declaration() fleet.Declaration {
	keep := 0
	if c.Connect || c.WakesPerSecond > 0 {
		keep = c.replicas()
	}
	return fleet.Declaration{
		Models: c.models(), Replicas: c.replicas(), Adapters: c.Adapters,
		KeepLoaded: keep, MaxConcurrent: concurrency,
	}
}

// engineMemoryMiB returns the accelerator memory of each host.
func (c Case) engineMemoryMiB() int64 {
	perHost := (c.models()*c.replicas() + c.Agents - 1) / c.Agents
	return int64(memoryShare * perHost * fleet.ModelMemoryMiB)
}
