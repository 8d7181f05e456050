package overload

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"nutmeglane.example/nutmeglane/internal/bench/fleet"
	"nutmeglane.example/nutmeglane/internal/defaults"
	"nutmeglane.example/nutmeglane/internal/load"
	"nutmeglane.example/nutmeglane/internal/standin/engine"
)

// Options configure a run. Zero fields, but Daemon, have defaults.
type Options struct {
	// Daemon is the path of the nutmeglaned binary.
	Daemon string
	// Entries and Agents are the numbers of processes. Each agent holds a
	// replica of the one model. Default 2 and 2.
	Entries, Agents int
	// MaxConcurrent is the number of requests that a replica runs at a time.
	// Default 8.
	MaxConcurrent int
	// TokensPerSecond is the rate of each stream, and Tokens the length of
	// each answer. Default 100 and 20.
	TokensPerSecond float64
	Tokens          int
	// Multipliers of the capacity are measured one after the other. Default
	// 0.5, 1, 2 and 5.
	Multipliers []float64
	// Window is the length of each measurement. Default 12 s.
	Window time.Duration
	// Progress gets a line for each step. Default none.
	Progress io.Writer
}

func (o Options) withDefaults() Options {
	defaults.Set(&o.Entries, 2)
	defaults.Set(&o.Agents, 2)
	defaults.Set(&o.MaxConcurrent, 8)
	defaults.Set(&o.TokensPerSecond, 100)
	defaults.Set(&o.Tokens, 20)
	defaults.Set(&o.Window, 12*time.Second)
	if o.Multipliers == nil {
		o.Multipliers = []float64{0.5, 1, 2, 5}
	}
	if o.Progress == nil {
		o.Progress = io.Discard
	}
	return o
}

// capacity is the requests a second that all replicas carry at most.
func (o Options) capacity() float64 {
	return float64(o.Agents*o.MaxConcurrent) * o.TokensPerSecond / float64(o.Tokens)
}

const (
	// floodMultiplier is the load of the client account that floods the system.
	floodMultiplier = 10
	// smallShare is the load of the small client account, as a part of the capacity.
	smallShare = 0.1
	// batchMultiplier is the load of batch work around the burst.
	batchMultiplier = 2
	// warmLimit bounds the time until the model is loaded everywhere.
	warmLimit = time.Minute
)

// bench is a run under way.
type bench struct {
	opts   Options
	fleet  *fleet.Fleet
	result *Result
}

// Run measures. On an error it returns what was measured before.
func Run(ctx context.Context, opts Options) (*Result, error) {
	opts = opts.withDefaults()
	b := &bench{opts: opts, result: &Result{
		Started: time.Now().UTC(), Entries: opts.Entries, Agents: opts.Agents,
		CapacityPerSecond: opts.capacity(),
	}}
	f, err := fleet.Start(ctx, fleet.Options{
		Daemon: opts.Daemon, Entries: opts.Entries, Agents: opts.Agents,
		Engine: engine.Options{TokensPerSecond: opts.TokensPerSecond, MaxBatch: opts.MaxConcurrent},
	})
	if err != nil {
		return b.result, err
	}
	defer f.Close()
	b.fleet = f
	if err := b.warm(ctx); err != nil {
		return b.result, errors.Wrap(err, "warm up")
	}
	for _, part := range []func(context.Context) error{b.measurePoints, b.measureFlood, b.measureBurst} {
		if err := part(ctx); err != nil {
			return b.result, err
		}
	}
	return b.result, nil
}

// measurePoints sends one client account's load at each multiple of the capacity.
func (b *bench) measurePoints(ctx context.Context) error {
	for _, multiplier := range b.opts.Multipliers {
		summary, err := b.load(ctx, b.class(large, multiplier))
		if err != nil {
			return errors.Wrapf(err, "%gx", multiplier)
		}
		b.result.Points = append(b.result.Points, newPoint(multiplier, summary))
		fmt.Fprintf(b.opts.Progress, "%gx: goodput %.1f/s\n", multiplier, measured(summary).GoodputPerSecond)
	}
	return nil
}

// measureFlood compares the small client account's first tokens without and with the
// large client account's flood.
func (b *bench) measureFlood(ctx context.Context) error {
	alone, err := b.load(ctx, b.class(small, smallShare))
	if err != nil {
		return errors.Wrap(err, "small client account alone")
	}
	beside, err := b.load(ctx, b.class(small, smallShare), b.class(large, floodMultiplier))
	if err != nil {
		return errors.Wrap(err, "flood")
	}
	b.result.Flood = compare(alone, beside)
	fmt.Fprintf(b.opts.Progress, "flood: p99 ratio %.2f\n", b.result.Flood.RatioP99)
	return nil
}

// measureBurst compares interactive bursts on an idle system and in the middle
// of batch work.
func (b *bench) measureBurst(ctx context.Context) error {
	idle, err := b.load(ctx, b.burst())
	if err != nil {
		return errors.Wrap(err, "burst on an idle system")
	}
	batch, err := b.load(ctx, b.burst(), b.batch())
	if err != nil {
		return errors.Wrap(err, "burst in batch work")
	}
	b.result.Burst = compare(idle, batch)
	fmt.Fprintf(b.opts.Progress, "burst: p99 ratio %.2f\n", b.result.Burst.RatioP99)
	return nil
}

// load runs one plan of some classes on the warm system.
func (b *bench) load(ctx context.Context, classes ...load.Class) (*load.Summary, error) {
	summary, err := load.Run(ctx, b.plan(classes), load.Options{})
	if err == nil {
		err = ctx.Err()
	}
	return summary, err
}
