package policy

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"nutmeglane.example/nutmeglane/internal/api"
	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
)

// Result has the results of a measurement.
type Result struct {
	Days        int                `json:"days"`
	Seed        uint64             `json:"seed"`
	Deployments []DeploymentResult `json:"deployments"`
}

// DeploymentResult has the results of one deployment.
type DeploymentResult struct {
	Name     string   `json:"name"`
	Requests int      `json:"requests"`
	Rows     []Row    `json:"rows"`
	Targets  []Target `json:"targets"`
}

// Row has the results of one policy.
type Row struct {
	Name string `json:"name"`
	// ColdRequests counts the requests that were served although their target
	// was not loaded when they arrived, ColdStarts those of them that were the
	// first to wait for a load. P50, P99 and Max are of their waits.
	ColdRequests int           `json:"coldRequests"`
	ColdStarts   int           `json:"coldStarts"`
	P50          time.Duration `json:"p50"`
	P99          time.Duration `json:"p99"`
	Max          time.Duration `json:"max"`
	// InteractiveCold counts the interactive cold requests.
	// InteractiveColdSeconds is the sum of their waits.
	InteractiveCold        int     `json:"interactiveCold"`
	InteractiveColdSeconds float64 `json:"interactiveColdSeconds"`
	// RefusalCodes counts the refusals by result code.
	RefusalCodes map[code.Code]int `json:"refusalCodes,omitempty"`
	// AllP99 is the p99 of the wait of all served interactive requests, cold
	// or not.
	AllP99 time.Duration `json:"allP99"`
	// ColdSeconds is the sum of the waits of all cold requests. Cost is the sum
	// of ColdSeconds and IdleHours, each multiplied by its price in the
	// deployment.
	ColdSeconds float64 `json:"coldSeconds"`
	Cost        float64 `json:"cost"`
	// InteractiveP99 is the p99 of the waits of interactive cold requests.
	InteractiveP99 time.Duration `json:"interactiveP99"`
	// FloorP99 is the p99 that the same cold requests would have had if each
	// waited only for the load from the fastest tier that had the checkpoint.
	// RemoteFloorP99 is the same with all loads from the weight store at full
	// speed.
	FloorP99       time.Duration `json:"floorP99"`
	RemoteFloorP99 time.Duration `json:"remoteFloorP99"`
	// Refusals counts the requests that were answered as not run, Failures those
	// that failed otherwise.
	Refusals int `json:"refusals"`
	Failures int `json:"failures"`
	// IdleHours is the accelerator time with loaded models that run no request,
	// in hours.
	IdleHours float64 `json:"idleHours"`
	Loads     int     `json:"loads"`
	// StoreReads counts the loads and prefetches from the weight store,
	// StoreBusiest is the maximum number of concurrent ones.
	StoreReads   int `json:"storeReads"`
	StoreBusiest int `json:"storeBusiest"`
	// Violations are the violated invariants that the referee detected.
	Violations []string `json:"violations,omitempty"`
}

// Target is a target with the measured value. It is met if Measured is at most
// Limit.
type Target struct {
	Name     string  `json:"name"`
	Limit    float64 `json:"limit"`
	Measured float64 `json:"measured"`
	Met      bool    `json:"met"`
}

// Limits of the targets, as ratios.
const (
	coldTarget  = 0.5
	floorTarget = 1.3
	idleTarget  = 0.5
)

func targets(ours, naive Row) []Target {
	return []Target{
		target("p99 cold start / naive's", coldTarget, ratio(ours.P99.Seconds(), naive.P99.Seconds())),
		target("p99 cold start / floor", floorTarget, ratio(ours.P99.Seconds(), ours.FloorP99.Seconds())),
		target("idle accelerator hours / naive's", idleTarget, ratio(ours.IdleHours, naive.IdleHours)),
	}
}

func target(name string, limit, measured float64) Target {
	return Target{Name: name, Limit: limit, Measured: measured, Met: measured <= limit}
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

// sumCosts sets the sums of the waits and the cost.
func (r *Row) sumCosts(waits, interactive []time.Duration, prices *api.DeploymentSpec) {
	r.InteractiveCold = len(interactive)
	for _, wait := range interactive {
		r.InteractiveColdSeconds += wait.Seconds()
	}
	for _, wait := range waits {
		r.ColdSeconds += wait.Seconds()
	}
	r.Cost = r.ColdSeconds*prices.ColdStartPrice + r.IdleHours*prices.IdleHourPrice
}

// percentile sorts the samples and returns the value that a fraction p of them does
// not exceed, 0 without samples.
func percentile(samples []time.Duration, p float64) time.Duration {
	if len(samples) == 0 {
		return 0
	}
	slices.Sort(samples)
	return samples[min(len(samples)-1, int(p*float64(len(samples))))]
}

// WriteJSON writes the result as JSON.
func (r *Result) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(r)
}

// WriteText writes the tables.
func (r *Result) WriteText(w io.Writer) error {
	for _, d := range r.Deployments {
		fmt.Fprintf(w, "%s: %d requests in %d days, seed %d\n", d.Name, d.Requests, r.Days, r.Seed)
		t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
		fmt.Fprintln(t, "\tp50 s\tp99 s\tmax s\tinteractive p99 s\tall interactive p99 s\tfloor p99 s\tstore floor p99 s\tcold requests\tof these interactive\tcold starts\trefusals\tfailures\tidle hours\tcold hours\tinteractive cold hours\tcost\tloads\tstore reads\t")
		for _, row := range d.Rows {
			fmt.Fprintf(t, "%s\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.2f\t%.2f\t%.0f\t%d\t%d\t\n", row.Name,
				row.P50.Seconds(), row.P99.Seconds(), row.Max.Seconds(), row.InteractiveP99.Seconds(), row.AllP99.Seconds(),
				row.FloorP99.Seconds(), row.RemoteFloorP99.Seconds(),
				row.ColdRequests, row.InteractiveCold, row.ColdStarts, row.Refusals, row.Failures, row.IdleHours,
				row.ColdSeconds/time.Hour.Seconds(), row.InteractiveColdSeconds/time.Hour.Seconds(), row.Cost, row.Loads, row.StoreReads)
		}
		if err := t.Flush(); err != nil {
			return err
		}
		for _, target := range d.Targets {
			fmt.Fprintf(w, "  %s: %.2f, target at most %.2f: %s\n", target.Name, target.Measured, target.Limit, verdict(target.Met))
		}
		for _, row := range d.Rows {
			for _, c := range core.SortedKeys(row.RefusalCodes) {
				fmt.Fprintf(w, "  refusals, %s: %d with code %d\n", row.Name, row.RefusalCodes[c], c)
			}
			for _, violation := range row.Violations[:min(len(row.Violations), violationsShown)] {
				fmt.Fprintf(w, "  violation, %s: %s\n", row.Name, violation)
			}
		}
	}
	return nil
}

// violationsShown is the maximum number of violations printed for a row.
const violationsShown = 5

func verdict(met bool) string {
	if met {
		return "met"
	}
	return "missed"
}
