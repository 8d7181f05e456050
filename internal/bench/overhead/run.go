package overhead

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"nutmeglane.example/nutmeglane/internal/bench/fleet"
	"nutmeglane.example/nutmeglane/internal/defaults"
	"nutmeglane.example/nutmeglane/internal/standin/engine"
)

// Options configure a run. All fields except Daemon have defaults, which apply
// where they are zero.
type Options struct {
	// Daemon is the path of the nutmeglaned binary.
	Daemon string
	// Agents is the number of agents behind the one entry, each with one model.
	// Default 4.
	Agents int
	// Streams is the number of concurrent streams while throughput is measured.
	// Default 1000.
	Streams int
	// TokenRates has the tokens per second of each stream, for one measurement
	// each. Default 40 and 200.
	TokenRates []float64
	// Window is the length of each measurement. Default 15 s.
	Window time.Duration
	// Ramp is the time over which the starts of the streams are spread, so that
	// the streams are at different points of their answers. Default 5 s.
	Ramp time.Duration
	// Profile, if set, is the file to write a CPU profile to. The daemons then
	// run in this process, and only the throughput at the first of TokenRates
	// is measured.
	Profile string
	// Progress receives one line of text for each step. Default io.Discard.
	Progress io.Writer
}

func (o Options) withDefaults() Options {
	defaults.Set(&o.Agents, 4)
	defaults.Set(&o.Streams, 1000)
	defaults.Set(&o.Window, 15*time.Second)
	defaults.Set(&o.Ramp, 5*time.Second)
	if o.TokenRates == nil {
		o.TokenRates = []float64{40, 200}
	}
	if o.Progress == nil {
		o.Progress = io.Discard
	}
	return o
}

// Timing and concurrency of a run.
const (
	// warmLimit is the timeout for bringing the configuration in force, and for
	// loading the models.
	warmLimit = time.Minute
	// warmRetry is the interval between attempts to apply the configuration or to
	// use a model that is not loaded.
	warmRetry = 500 * time.Millisecond
	// streamSeconds is the approximate duration of each stream.
	streamSeconds = 5
	// replicaConcurrency is the number of requests that a replica runs
	// concurrently.
	replicaConcurrency = 1024
)

// Run runs the measurements. If one fails, Run returns the measurements before the
// failure together with the error.
func Run(ctx context.Context, opts Options) (*Result, error) {
	opts = opts.withDefaults()
	result := &Result{Started: time.Now().UTC(), Agents: opts.Agents, Streams: opts.Streams}
	if opts.Profile != "" {
		return result, errors.Wrap(result.profile(ctx, opts), "profile")
	}
	for i, rate := range opts.TokenRates {
		if err := result.measureRate(ctx, opts, rate, i == 0); err != nil {
			return result, errors.Wrapf(err, "%g tokens a second", rate)
		}
	}
	return result, nil
}

// measureRate starts a fleet whose engines generate tokens at the given rate and
// measures its throughput. If first is set, it also measures the time to the first
// token and the throughput with short answers.
func (r *Result) measureRate(ctx context.Context, opts Options, rate float64, first bool) error {
	f, err := fleet.Start(ctx, fleet.Options{
		Daemon: opts.Daemon, Entries: 1, Agents: opts.Agents,
		Engine: engine.Options{TokensPerSecond: rate, MaxBatch: replicaConcurrency},
	})
	if err != nil {
		return err
	}
	defer f.Close()
	if err := warm(ctx, f, opts); err != nil {
		return err
	}
	c := newCaller(f, opts)
	defer c.close()
	if err := c.awaitLoaded(ctx); err != nil {
		return err
	}
	if first {
		if r.FirstToken, err = c.measureFirstToken(ctx); err != nil {
			return err
		}
		fmt.Fprintf(opts.Progress, "first token: direct p50 %.2f ms, through p50 %.2f ms\n",
			r.FirstToken.Direct.P50, r.FirstToken.Through.P50)
	}
	t, err := c.measureThroughput(ctx, opts.Streams, int(rate*streamSeconds))
	if err != nil {
		return err
	}
	t.TokensPerStream = rate
	r.Throughput = append(r.Throughput, t)
	fmt.Fprintf(opts.Progress, "%d streams at %g tokens/s: %.0f tokens/s, %.0f tokens per core second\n",
		t.Streams, rate, t.TokensPerSecond, t.TokensPerCore)
	if !first {
		return nil
	}
	r.Requests, err = c.measureThroughput(ctx, requestStreams, 1)
	return err
}

// requestStreams is the number of concurrent callers, each of which sends requests
// for one token one after the other.
const requestStreams = 64

func warm(ctx context.Context, f *fleet.Fleet, opts Options) error {
	limited, cancel := context.WithTimeout(ctx, warmLimit)
	defer cancel()
	revision, err := f.Apply(limited, 0, fleet.Declare(fleet.Declaration{
		Models: opts.Agents, Replicas: 1, KeepLoaded: 1, MaxConcurrent: replicaConcurrency,
	}))
	if err != nil {
		return err
	}
	return f.AwaitRevision(limited, revision)
}

func pause(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
