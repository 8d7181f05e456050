package overhead

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"nutmeglane.example/nutmeglane/internal/bench/fleet"
)

// Throughput is the traffic through entry and agents and the CPU time that they
// used for it.
type Throughput struct {
	// Streams is the number of concurrent streams. Each stream that ends is
	// replaced at once.
	Streams int `json:"streams"`
	// TokensPerStream is the token rate of one stream per second, 0 in the
	// measurement of short answers.
	TokensPerStream   float64 `json:"tokens_per_second_and_stream"`
	Seconds           float64 `json:"seconds"`
	TokensPerSecond   float64 `json:"tokens_per_second"`
	RequestsPerSecond float64 `json:"requests_per_second"`
	// EntryCores and AgentCores are the mean numbers of cores that the role used.
	EntryCores float64 `json:"entry_cores"`
	AgentCores float64 `json:"agent_cores"`
	// TokensPerCore and RequestsPerCore are per second of CPU time of entry and
	// agents together.
	TokensPerCore   float64 `json:"tokens_per_core"`
	RequestsPerCore float64 `json:"requests_per_core"`
	MachineLoad     string  `json:"machine_load"`
}

// measureThroughput keeps the given number of streams through the entry open and
// measures them once their starts have been spread over Ramp.
func (c *caller) measureThroughput(ctx context.Context, streams, tokens int) (Throughput, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group, running := errgroup.WithContext(ctx)
	for i := range streams {
		group.Go(func() error { return c.keepStreaming(running, i, streams, tokens) })
	}
	t, err := c.observe(running)
	t.Streams = streams
	cancel()
	streamErr := group.Wait()
	if errors.Is(streamErr, context.Canceled) {
		streamErr = nil
	}
	return t, errors.CombineErrors(streamErr, err)
}

// keepStreaming sends one request after the other until ctx ends. The i-th
// stream starts with a delay, so that the starts are spread over Ramp.
func (c *caller) keepStreaming(ctx context.Context, i, streams, tokens int) error {
	if err := pause(ctx, c.opts.Ramp*time.Duration(i)/time.Duration(streams)); err != nil {
		return nil
	}
	for {
		_, err := c.through(ctx, i%c.opts.Agents, tokens)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// observe measures traffic and CPU time during the window, which starts after
// twice Ramp.
func (c *caller) observe(ctx context.Context) (Throughput, error) {
	if err := pause(ctx, 2*c.opts.Ramp); err != nil {
		return Throughput{}, err
	}
	before, err := c.sample(ctx)
	if err != nil {
		return Throughput{}, err
	}
	begin, tokens, answers := time.Now(), c.tokens.Load(), c.answers.Load()
	if err := pause(ctx, c.opts.Window); err != nil {
		return Throughput{}, err
	}
	after, err := c.sample(ctx)
	seconds := time.Since(begin).Seconds()
	carried, answered := float64(c.tokens.Load()-tokens), float64(c.answers.Load()-answers)
	entry, agents := (after.entry - before.entry).Seconds(), (after.agents - before.agents).Seconds()
	return Throughput{
		Seconds: seconds, TokensPerSecond: carried / seconds, RequestsPerSecond: answered / seconds,
		EntryCores: entry / seconds, AgentCores: agents / seconds,
		TokensPerCore: carried / (entry + agents), RequestsPerCore: answered / (entry + agents),
		MachineLoad: fleet.MachineLoad(),
	}, err
}
