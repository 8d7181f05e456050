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

// Options configure a run. All fields except Daemon have defaults, which apply
// where they are zero.
type Options struct {
	// Daemon is the path of the nutmeglaned binary.
	Daemon string
	// Entries and Agents are the numbers of processes. Each agent has a replica
	// of the only model. Default 2 and 2.
	Entries, Agents int
	// MaxConcurrent is the number of requests that a replica runs concurrently.
	// Default 8.
	MaxConcurrent int
	// TokensPerSecond is the token rate of each stream, Tokens the length of
	// each answer. Default 100 and 20.
	TokensPerSecond float64
	Tokens          int
	// Multipliers are the multiples of the capacity to measure, in order. Default
	// 0.5, 1, 2 and 5.
	Multipliers []float64
	// Window is the length of each measurement. Default 12 s.
	Window time.Duration
	// Progress receives one line of text for each step. Default io.Discard.
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

// capacity returns the maximum rate of requests per second of all replicas.
func (o Options) capacity() float64 {
	return float64(o.Agents*o.MaxConcurrent) * o.TokensPerSecond / float64(o.Tokens)
}

const (
	// floodMultiplier is the load of the large client account in the flood, as a
	// multiple of the capacity.
	floodMultiplier = 10
	// smallShare is the load of the small client account as a fraction of the
	// capacity.
	smallShare = 0.1
	// batchMultiplier is the load of batch requests during the bursts, as a
	// multiple of the capacity.
	batchMultiplier = 2
	// warmLimit is the timeout for loading the model at all engines.
	warmLimit = time.Minute
)

// bench is a run in progress.
type bench struct {
	opts   Options
	fleet  *fleet.Fleet
	result *Result
}

// Run runs the measurements. If one fails, Run returns the measurements before the
// failure together with the error.
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

// measurePoints sends the large client account's requests at each multiple of the
// capacity.
func (b *bench) measurePoints(ctx context.Context) error {
	for _, multiplier := range b.opts.Multipliers {
		summary, err := b.load(ctx, b.steadyClass(large, multiplier))
		if err != nil {
			return errors.Wrapf(err, "%gx", multiplier)
		}
		b.result.Points = append(b.result.Points, newPoint(multiplier, summary))
		fmt.Fprintf(b.opts.Progress, "%gx: goodput %.1f/s\n", multiplier, measured(summary).GoodputPerSecond)
	}
	return nil
}

// measureFlood compares the small client account's time to the first token without
// and with the flood of the large client account.
func (b *bench) measureFlood(ctx context.Context) error {
	alone, err := b.load(ctx, b.steadyClass(small, smallShare))
	if err != nil {
		return errors.Wrap(err, "small client account alone")
	}
	beside, err := b.load(ctx, b.steadyClass(small, smallShare), b.steadyClass(large, floodMultiplier))
	if err != nil {
		return errors.Wrap(err, "flood")
	}
	b.result.Flood = compare(alone, beside)
	fmt.Fprintf(b.opts.Progress, "flood: p99 ratio %.2f\n", b.result.Flood.RatioP99)
	return nil
}

// measureBurst compares the time to the first token of interactive bursts on an
// idle system and during batch load.
func (b *bench) measureBurst(ctx context.Context) error {
	idle, err := b.load(ctx, b.burstClass())
	if err != nil {
		return errors.Wrap(err, "burst on an idle system")
	}
	batch, err := b.load(ctx, b.burstClass(), b.batchClass())
	if err != nil {
		return errors.Wrap(err, "burst during batch load")
	}
	b.result.Burst = compare(idle, batch)
	fmt.Fprintf(b.opts.Progress, "burst: p99 ratio %.2f\n", b.result.Burst.RatioP99)
	return nil
}

// load sends the requests of the given classes and returns the summary.
func (b *bench) load(ctx context.Context, classes ...load.Class) (*load.Summary, error) {
	summary, err := load.Run(ctx, b.plan(classes), load.Options{})
	if err == nil {
		err = ctx.Err()
	}
	return summary, err
}
