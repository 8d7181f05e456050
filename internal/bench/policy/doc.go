// Package policy measures cold starts and idle accelerator hours in the example
// deployments. It runs the reducers of entries and agents against the fakes of
// package harness on a seeded trace of arrivals, and compares them with a naive
// policy on the same fakes and trace, and with an oracle that knows all arrivals.
// Results depend on the Options only.
package policy

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// Options configure a measurement. Fields that are zero have the given defaults.
type Options struct {
	// Deployments are the names of the deployments to measure. Default helvarin
	// and agence.
	Deployments []string
	// Days is the number of simulated days. Of each seven days, the second is a
	// peak day, the third and the seventh are idle, and the others are ordinary.
	// Default 3.
	Days int
	// Seed is the seed of the trace and of all processes. Default 1.
	Seed uint64
	// NaiveTTLs are the times that the naive policy keeps a model loaded after
	// its last request, one measurement each. Targets refer to the first.
	// Default 10, 5 and 30 minutes.
	NaiveTTLs []time.Duration
	// ColdStartPrice and IdleHourPrice, if not 0, replace the prices of the
	// declarations.
	ColdStartPrice, IdleHourPrice float64
	// Entries is the number of entries that requests arrive at. Default 5.
	Entries int
}

func (o Options) withDefaults() Options {
	if len(o.Deployments) == 0 {
		o.Deployments = []string{"helvarin", "agence"}
	}
	if o.Days == 0 {
		o.Days = 3
	}
	if o.Seed == 0 {
		o.Seed = 1
	}
	if len(o.NaiveTTLs) == 0 {
		o.NaiveTTLs = []time.Duration{10 * time.Minute, 5 * time.Minute, 30 * time.Minute}
	}
	if o.Entries == 0 {
		o.Entries = 5
	}
	return o
}

// Run measures nutmeglane, the naive policy and the oracle in each deployment.
func Run(ctx context.Context, opts Options) (*Result, error) {
	opts = opts.withDefaults()
	result := &Result{Days: opts.Days, Seed: opts.Seed}
	for _, name := range opts.Deployments {
		d, err := newDeployment(name)
		if err != nil {
			return nil, err
		}
		d.overridePrices(opts)
		part, err := runDeployment(ctx, d, opts)
		if err != nil {
			return nil, errors.Wrapf(err, "measure %s", name)
		}
		result.Deployments = append(result.Deployments, part)
	}
	return result, nil
}

func runDeployment(ctx context.Context, d *deployment, opts Options) (DeploymentResult, error) {
	arrivals := makeTrace(d, opts)
	part := DeploymentResult{Name: d.name, Requests: len(arrivals)}
	row, err := runNutmeglane(ctx, d, opts, arrivals)
	if err != nil {
		return part, err
	}
	part.Rows = append(part.Rows, row)
	for _, ttl := range opts.NaiveTTLs {
		row, err := runNaive(ctx, d, opts, arrivals, ttl)
		if err != nil {
			return part, err
		}
		part.Rows = append(part.Rows, row)
	}
	part.Rows = append(part.Rows, oracle(d, arrivals, opts))
	part.Targets = targets(part.Rows[0], part.Rows[1])
	return part, nil
}
