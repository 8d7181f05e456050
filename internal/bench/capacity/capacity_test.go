package capacity

import (
	"math"
	"strings"
	"testing"
	"time"

	"nutmeglane.example/nutmeglane/internal/api"
	"nutmeglane.example/nutmeglane/internal/bench/fleet"
)

func TestFit(t *testing.T) {
	base, slope := fit([]Pair{{1, 5}, {2, 7}, {4, 11}})
	if math.Abs(base-3) > 1e-9 || math.Abs(slope-2) > 1e-9 {
		t.Errorf("got %v + %v x, wanted 3 + 2 x", base, slope)
	}
	if base, slope := fit([]Pair{{2, 5}, {2, 7}}); base != 6 || slope != 0 {
		t.Errorf("got %v + %v x for one x, wanted 6", base, slope)
	}
}

// The cost of an event is the usage of a loaded window minus that of the idle
// window of the same fleet.
func TestCosts(t *testing.T) {
	idle := Point{Case: "a", Load: loadIdle, Agent: Usage{Processes: 2, CPU: 0.1}}
	busy := Point{Case: "a", Load: loadChanges, Seconds: 10, Events: 5, Agent: Usage{Processes: 2, CPU: 0.3, InPerSecond: 50}}
	other := Point{Case: "b", Load: loadChanges, Seconds: 10, Events: 5}
	got := costs([]Point{idle, busy, other})
	if len(got) != 1 {
		t.Fatalf("%d costs, wanted one: %v", len(got), got)
	}
	c := got[0]
	if math.Abs(c.Agent.CPUMicros-400_000) > 1 || c.Agent.InBytes != 100 || math.Abs(c.PerFleet.CPUMicros-800_000) > 1 {
		t.Errorf("got %+v", c)
	}
}

// The number of KV writes of the steward must not depend on the number of
// agents. Loading and unloading adapters must not cause KV calls.
func TestKVCallsIndependentOfAgents(t *testing.T) {
	run := hostsRun{agents: 16, adapters: 500, settle: time.Minute, window: time.Minute}
	few, err := run.measure()
	if err != nil {
		t.Fatal(err)
	}
	run.agents = 64
	many, err := run.measure()
	if err != nil {
		t.Fatal(err)
	}
	if few.Quiet.Writes != many.Quiet.Writes || few.Quiet.Writes == 0 {
		t.Errorf("%d writes with 16 agents, %d with 64", few.Quiet.Writes, many.Quiet.Writes)
	}
	if many.Waking != many.Quiet {
		t.Errorf("waking %+v, quiet %+v", many.Waking, many.Quiet)
	}
	if many.Loads < many.Requests/2 {
		t.Errorf("only %d loads for %d requests, want at least half as many", many.Loads, many.Requests)
	}
}

func TestDeclarationsAreValid(t *testing.T) {
	for _, c := range DefaultCases() {
		if _, err := api.Build(1, fleet.Declare(c.declaration())); err != nil {
			t.Errorf("%s: %v", c.Name(), err)
		}
		if n := c.Entries + c.Agents; n > 190 {
			t.Errorf("%s has %d processes", c.Name(), n)
		}
	}
}

func TestWriteText(t *testing.T) {
	points := []Point{
		{Case: "a", Series: seriesAgents, Load: loadIdle, Steward: Usage{Processes: 1, CPU: 0.01, Connections: 10}},
		{Case: "b", Series: seriesAgents, Load: loadIdle, Steward: Usage{Processes: 1, CPU: 0.03, Connections: 20}},
	}
	r := Result{Points: points, Slopes: slopes(points), Propagation: []Propagation{{KV: "healthy"}}}
	var out strings.Builder
	if err := r.WriteText(&out); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"connected agent", "0.002", "healthy"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("%q is missing from\n%s", want, out.String())
		}
	}
}
