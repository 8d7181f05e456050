package policy

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// testArrivals is the number of arrivals of a test run. It is enough for cold starts
// at night and in the morning.
const testArrivals = 1500

// Results must not differ between runs or machines, or they could not be compared.
// On this trace without faults, nutmeglane and the naive policy must serve all
// requests without violations.
func TestRunsAreDeterministicAndServeAll(t *testing.T) {
	for _, name := range []string{"helvarin", "agence"} {
		t.Run(name, func(t *testing.T) {
			opts := Options{Days: 1}.withDefaults()
			d, err := newDeployment(name)
			if err != nil {
				t.Fatal(err)
			}
			arrivals := makeTrace(d, opts)[:testArrivals]
			for _, run := range []func() (Row, error){
				func() (Row, error) { return runNutmeglane(context.Background(), d, opts, arrivals) },
				func() (Row, error) { return runNaive(context.Background(), d, opts, arrivals, 10*time.Minute) },
			} {
				first, err := run()
				if err != nil {
					t.Fatal(err)
				}
				second, err := run()
				if err != nil {
					t.Fatal(err)
				}
				if diff := cmp.Diff(first, second); diff != "" {
					t.Errorf("two runs of %s differ: %s", first.Name, diff)
				}
				if first.Refusals+first.Failures+len(first.Violations) > 0 || first.ColdStarts == 0 {
					t.Errorf("%s: %+v", first.Name, first)
				}
			}
		})
	}
}

// The oracle is reported as a lower bound: at any prices it must cost no more than
// keeping everything loaded, or than unloading after each request.
func TestOracleCostIsLowerBound(t *testing.T) {
	opts := Options{Days: 1}.withDefaults()
	d, err := newDeployment("agence")
	if err != nil {
		t.Fatal(err)
	}
	arrivals := makeTrace(d, opts)
	cost := func(cold, idle float64) Row {
		d.overridePrices(Options{ColdStartPrice: cold, IdleHourPrice: idle})
		return oracle(d, arrivals, opts)
	}
	best, keep, drop := cost(1, 60), cost(1e9, 60), cost(1e-9, 60)
	for _, other := range []Row{keep, drop} {
		if price := other.ColdSeconds + 60*other.IdleHours; best.Cost > price {
			t.Errorf("the oracle costs %.0f, %+v costs %.0f", best.Cost, other, price)
		}
	}
}
