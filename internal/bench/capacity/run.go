package capacity

import (
	"context"
	"fmt"
	"runtime"
	"time"

	"github.com/cockroachdb/errors"
)

// Result has the measurements of a run.
type Result struct {
	Started time.Time `json:"started"`
	Cores   int       `json:"cores"`
	// ElapsedSeconds is the duration of the whole run.
	ElapsedSeconds float64       `json:"elapsed_seconds"`
	Hosts          []HostsResult `json:"hosts"`
	Idle           []Idle        `json:"idle_connections"`
	Points         []Point       `json:"points"`
	Slopes         []Slope       `json:"slopes"`
	Costs          []Cost        `json:"costs"`
	Propagation    []Propagation `json:"propagation"`
}

// Run runs the parts that opts select. If a part fails, Run returns the
// measurements before the failure together with the error.
func Run(ctx context.Context, opts Options) (*Result, error) {
	opts = opts.withDefaults()
	r := &Result{Started: time.Now().UTC(), Cores: runtime.NumCPU()}
	err := r.measure(ctx, opts)
	r.Slopes, r.Costs = slopes(r.Points), costs(r.Points)
	r.ElapsedSeconds = time.Since(r.Started).Seconds()
	return r, err
}

func (r *Result) measure(ctx context.Context, opts Options) error {
	if opts.wants(PartHosts) {
		if err := r.measureHosts(ctx, opts); err != nil {
			return errors.Wrap(err, "hosts")
		}
	}
	if opts.wants(PartConnections) {
		if err := r.measureConnections(ctx, opts); err != nil {
			return errors.Wrap(err, "connections")
		}
	}
	if opts.wants(PartSlopes) {
		for _, c := range opts.Cases {
			points, err := measureCase(ctx, opts, c)
			r.Points = append(r.Points, points...)
			if err != nil {
				return err
			}
		}
	}
	if !opts.wants(PartPropagation) {
		return nil
	}
	var err error
	r.Propagation, err = measurePropagation(ctx, opts)
	return errors.Wrap(err, "propagation")
}

func (r *Result) measureHosts(ctx context.Context, opts Options) error {
	for _, agents := range opts.Hosts {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		result, err := targetRun(agents).measure()
		if err != nil {
			return err
		}
		r.Hosts = append(r.Hosts, result)
		fmt.Fprintf(opts.Progress, "%d agents: %d KV writes quiet, %d waking, in %.0f s\n",
			agents, result.Quiet.Writes, result.Waking.Writes, result.Seconds)
	}
	return nil
}

func (r *Result) measureConnections(ctx context.Context, opts Options) error {
	for _, count := range opts.Connections {
		idle, err := measureIdle(ctx, opts, count)
		if err != nil {
			return err
		}
		r.Idle = append(r.Idle, idle)
		fmt.Fprintf(opts.Progress, "%d idle connections: %.0f bytes per end, %.1f bytes/s\n",
			count, idle.BytesPerEnd, idle.WireBytesPerSecond)
	}
	return nil
}
