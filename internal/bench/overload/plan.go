package overload

import (
	"time"

	"nutmeglane.example/nutmeglane/internal/api"
	"nutmeglane.example/nutmeglane/internal/bench/fleet"
	"nutmeglane.example/nutmeglane/internal/load"
)

// account is a client account with its API key.
type account struct{ name, key string }

var (
	large = account{"large", "nk-bench-large-0123456789"}
	small = account{"small", "nk-bench-small-0123456789"}
)

const (
	callTimeout  = 2 * time.Second
	batchTimeout = 20 * time.Second
	// fillDivisor divides the window to give the length of the phase that fills
	// the queues before the measured phase. Requests belong to the phase in which
	// they arrive, and those that arrive at empty queues would be answered earlier
	// than under steady load.
	fillDivisor = 4
	// burstsPerWindow is the number of bursts in the measured phase.
	burstsPerWindow = 6
	// maxGrace limits the wait after the load in which the referees can still
	// detect late runs.
	maxGrace = 2 * time.Second
	// measuredPhase is the name of the phase that results are taken from.
	measuredPhase = "measured"
	// maxOpen is the limit on open requests. No load of the measurement
	// reaches it.
	maxOpen = 20_000
	// seed is the same in all runs, so that they are comparable.
	seed = 5
)

func (b *bench) plan(classes []load.Class) load.Plan {
	plan := load.Plan{
		Seed: seed, MaxOpen: maxOpen, Classes: classes,
		Grace: load.Duration(min(maxGrace, b.opts.Window)),
		Phases: []load.Phase{
			{Name: "fill", Duration: load.Duration(b.opts.Window / fillDivisor), Multiplier: 1},
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

// steadyClass returns interactive requests with Poisson arrivals at a multiple of
// the capacity.
func (b *bench) steadyClass(c account, multiplier float64) load.Class {
	class := b.newClass(c, callTimeout)
	class.Priority = api.PriorityInteractive
	class.Poisson = &load.Poisson{PerSecond: multiplier * b.opts.capacity()}
	return class
}

// burstClass returns interactive bursts, each of which has half as many requests
// as all replicas can run concurrently.
func (b *bench) burstClass() load.Class {
	class := b.newClass(small, callTimeout)
	class.Priority = api.PriorityInteractive
	class.Bursts = &load.Bursts{
		Size: max(1, b.opts.Agents*b.opts.MaxConcurrent/2), Every: load.Duration(b.opts.Window / burstsPerWindow),
	}
	return class
}

// batchClass returns batch requests of the large client account, with a long
// timeout and at a rate above the capacity.
func (b *bench) batchClass() load.Class {
	class := b.newClass(large, batchTimeout)
	class.Priority = api.PriorityBatch
	class.Poisson = &load.Poisson{PerSecond: batchMultiplier * b.opts.capacity()}
	return class
}

func (b *bench) newClass(c account, timeout time.Duration) load.Class {
	return load.Class{
		Name: c.name, APIKey: c.key, StreamShare: 1, Timeout: load.Duration(timeout),
		Calls:     []load.Call{{Models: []string{fleet.ModelName(0)}}},
		MaxTokens: &load.Range{Min: b.opts.Tokens, Max: b.opts.Tokens},
	}
}
