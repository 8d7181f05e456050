package overhead

import (
	"context"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"nutmeglane.example/nutmeglane/internal/bench/fleet"
)

// FirstToken compares the time to the first token through entry and agent with
// that of a direct call of the engine. Both kinds of call alternate in one run.
type FirstToken struct {
	Direct  Quantiles `json:"direct"`
	Through Quantiles `json:"through"`
	// RatioP50 and RatioP99 are the quantiles of Through divided by those of
	// Direct.
	RatioP50    float64 `json:"ratio_p50"`
	RatioP99    float64 `json:"ratio_p99"`
	MachineLoad string  `json:"machine_load"`
}

// Quantiles has quantiles of a latency in milliseconds. Count is the number of
// calls.
type Quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

const (
	// firstTokenRate is the number of calls of each kind per second.
	firstTokenRate = 50
	// firstTokenLength is the number of tokens of each answer.
	firstTokenLength = 4
	highestMicros    = int64(time.Minute / time.Microsecond)
)

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	at := func(percent float64) float64 { return float64(h.ValueAtPercentile(percent)) / 1000 }
	return Quantiles{Count: h.TotalCount(), P50: at(50), P99: at(99), Max: float64(h.Max()) / 1000}
}

// measureFirstToken sends pairs of a direct call and a call through the entry at a
// constant rate, without waiting for the answers of earlier pairs.
func (c *caller) measureFirstToken(ctx context.Context) (FirstToken, error) {
	direct := hdrhistogram.New(1, highestMicros, 3)
	through := hdrhistogram.New(1, highestMicros, 3)
	times := make(chan [2]time.Duration, 1)
	recorded := make(chan struct{})
	go func() {
		defer close(recorded)
		for pair := range times {
			_ = direct.RecordValue(min(pair[0].Microseconds(), highestMicros))
			_ = through.RecordValue(min(pair[1].Microseconds(), highestMicros))
		}
	}()
	var group errgroup.Group
	count := int(c.opts.Window.Seconds() * firstTokenRate)
	for i := range count {
		group.Go(func() error { return c.measurePair(ctx, i, times) })
		if err := pause(ctx, time.Second/firstTokenRate); err != nil {
			break
		}
	}
	err := group.Wait()
	close(times)
	<-recorded
	result := FirstToken{Direct: quantiles(direct), Through: quantiles(through), MachineLoad: fleet.MachineLoad()}
	if result.Direct.Count > 0 {
		result.RatioP50 = result.Through.P50 / result.Direct.P50
		result.RatioP99 = result.Through.P99 / result.Direct.P99
	}
	return result, errors.CombineErrors(err, ctx.Err())
}

// measurePair sends one call of each kind, one after the other, and reports both
// times to the first token. The order alternates with i.
func (c *caller) measurePair(ctx context.Context, i int, times chan<- [2]time.Duration) error {
	calls := [2]func(context.Context, int, int) (time.Duration, error){c.direct, c.through}
	var taken [2]time.Duration
	for n := range calls {
		kind := (i + n) % len(calls)
		var err error
		if taken[kind], err = calls[kind](ctx, i%c.opts.Agents, firstTokenLength); err != nil {
			return err
		}
	}
	times <- taken
	return nil
}
