package overload

import (
	"time"

	"nutmeglane.example/nutmeglane/internal/api"
	"nutmeglane.example/nutmeglane/internal/bench/fleet"
	"nutmeglane.example/nutmeglane/internal/load"
)

// client account is one who calls the system.
type account struct{ name, key string }

var (
	large = account{"large", "nk-bench-large-0123456789"}
	small = account{"small", "nk-bench-small-0123456789"}
)

const (
	callTimeout  = 2 * time.Second
	batchTimeout = 20 * time.Second
	// fillPart of the window is sent before what is measured. Requests count by
	// their arrival: those that find the queues empty are answered out of turn.
	fillPart = 4
	// burstsPerWindow is the number of bursts that are measured.
	burstsPerWindow = 6
	// maxGrace is how long the referees are left to see a late run.
	maxGrace = 2 * time.Second
	// measuredPhase is the phase that counts.
	measuredPhase = "measured"
	// maxOpen is above what any of the loads keeps open.
	maxOpen = 20_000
	// seed makes runs comparable.
	seed = 5
)

func (b *bench) plan(classes []load.Class) load.Plan {
	plan := load.Plan{
		Seed: seed, MaxOpen: maxOpen, Classes: classes,
		Grace: load.Duration(min(maxGrace, b.opts.Window)),
		Phases: []load.Phase{
			{Name: "fill", Duration: load.Duration(b.opts.Window / fillPart), Multiplier: 1},
			{Name: measuredPhase, Duration: load.Duration(b.opts.Window), Multiplier: 1},
		},
		Versions: map[string]string{fleet.ModelName(0): fleet.CheckpointVersion},
	}
	for _, p := range b.fleet.Entries {
		plan.Targets = append(plan.Targets, "http://"+p.Callers)
	}
	for _, server := range b.fleet.Engines {
		plan.Referees = append(plan.Referees, server.URL())
	}
	return plan
}

// class is steady interactive traffic at a multiple of the capacity.
func (b *bench) class(c account, multiplier float64) load.Class {
	class := b.calls(c, callTimeout)
	class.Priority = api.PriorityInteractive
	class.Poisson = &load.Poisson{PerSecond: multiplier * b.opts.capacity()}
	return class
}

// burst wants half of all places at once.
func (b *bench) burst() load.Class {
	class := b.calls(small, callTimeout)
	class.Priority = api.PriorityInteractive
	class.Bursts = &load.Bursts{
		Size: max(1, b.opts.Agents*b.opts.MaxConcurrent/2), Every: load.Duration(b.opts.Window / burstsPerWindow),
	}
	return class
}

// batch is patient work of the large client account, more than the system carries.
func (b *bench) batch() load.Class {
	class := b.calls(large, batchTimeout)
	class.Priority = api.PriorityBatch
	class.Poisson = &load.Poisson{PerSecond: batchMultiplier * b.opts.capacity()}
	return class
}

func (b *bench) calls(c account, timeout time.Duration) load.Class {
	return load.Class{
		Name: c.name, APIKey: c.key, StreamShare: 1, Timeout: load.Duration(timeout),
		Calls:     []load.Call{{Models: []string{fleet.ModelName(0)}}},
		MaxTokens: &load.Range{Min: b.opts.Tokens, Max: b.opts.Tokens},
	}
}
