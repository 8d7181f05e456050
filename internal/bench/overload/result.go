package overload

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	"nutmeglane.example/nutmeglane/internal/bench/fleet"
	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/load"
)

// Result has the measurements of a run.
type Result struct {
	Started time.Time `json:"started"`
	Entries int       `json:"entries"`
	Agents  int       `json:"agents"`
	// CapacityPerSecond is the maximum rate of requests, calculated from the
	// concurrency of the replicas and the token rate.
	CapacityPerSecond float64    `json:"capacity_per_second"`
	Points            []Point    `json:"points"`
	Flood             Comparison `json:"flood"`
	Burst             Comparison `json:"burst"`
}

// Point is the measurement at one multiple of the capacity.
type Point struct {
	Multiplier       float64 `json:"multiplier"`
	SentPerSecond    float64 `json:"sent_per_second"`
	GoodputPerSecond float64 `json:"goodput_per_second"`
	Traffic
	MachineLoad string `json:"machine_load"`
}

// Traffic has the outcomes and latencies of one class of requests.
type Traffic struct {
	Sent     int                  `json:"sent"`
	Outcomes map[load.Outcome]int `json:"outcomes"`
	// Refusal and FirstToken are the times to a refusal and to the first
	// token, in milliseconds.
	Refusal    load.Quantiles `json:"refusal"`
	FirstToken load.Quantiles `json:"first_token"`
	Faults     int            `json:"faults"`
	Bounds     []load.Bound   `json:"bounds"`
}

// Comparison compares one class without and with other load. RatioP99 is the p99
// time to the first token of Beside divided by that of Alone.
type Comparison struct {
	Alone  Traffic `json:"alone"`
	Beside Traffic `json:"beside"`
	// Other is the traffic of the other load.
	Other       Traffic `json:"other"`
	RatioP99    float64 `json:"ratio_p99"`
	MachineLoad string  `json:"machine_load"`
}

func newPoint(multiplier float64, s *load.Summary) Point {
	phase := measured(s)
	return Point{
		Multiplier: multiplier, SentPerSecond: phase.SentPerSecond,
		GoodputPerSecond: phase.GoodputPerSecond, Traffic: traffic(s, large),
		MachineLoad: fleet.MachineLoad(),
	}
}

func measured(s *load.Summary) load.PhaseSummary {
	i := slices.IndexFunc(s.Phases, func(p load.PhaseSummary) bool { return p.Phase == measuredPhase })
	return s.Phases[i]
}

// traffic returns the traffic of an account in the measured phase. Faults are those
// of the whole run, since the referees do not count them by class.
func traffic(s *load.Summary, c account) Traffic {
	i := slices.IndexFunc(s.Series, func(s load.Series) bool { return s.Class == c.name && s.Phase == measuredPhase })
	series := s.Series[i]
	return Traffic{
		Sent: series.Sent, Outcomes: series.Outcomes, Refusal: series.Refusal,
		FirstToken: series.FirstToken, Faults: s.Faults(), Bounds: s.Bounds,
	}
}

func compare(alone, beside *load.Summary) Comparison {
	c := Comparison{
		Alone: traffic(alone, small), Beside: traffic(beside, small), Other: traffic(beside, large),
		MachineLoad: fleet.MachineLoad(),
	}
	if c.Alone.FirstToken.P99 > 0 {
		c.RatioP99 = c.Beside.FirstToken.P99 / c.Alone.FirstToken.P99
	}
	return c
}

// GoodputKept returns the goodput of the last point as a fraction of the highest
// goodput of all points.
func (r *Result) GoodputKept() float64 {
	var peak, last float64
	for _, p := range r.Points {
		peak, last = max(peak, p.GoodputPerSecond), p.GoodputPerSecond
	}
	if peak == 0 {
		return 0
	}
	return last / peak
}

// WriteJSON writes the result as indented JSON.
func (r *Result) WriteJSON(to io.Writer) error {
	encoder := json.NewEncoder(to)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(r), "write result")
}

// WriteText writes the result as tables.
func (r *Result) WriteText(to io.Writer) error {
	table := tabwriter.NewWriter(to, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(table, "%d entries, %d agents, capacity %.0f requests/s; times in ms\n", r.Entries, r.Agents, r.CapacityPerSecond)
	fmt.Fprintln(table, "load\tsent/s\tgoodput/s\trefused\trefusal p50\trefusal p99\tfirst token p99\tfaults\tload average\t")
	for _, p := range r.Points {
		fmt.Fprintf(table, "%gx\t%.1f\t%.1f\t%d\t%.1f\t%.1f\t%.1f\t%d\t%s\t\n", p.Multiplier, p.SentPerSecond, p.GoodputPerSecond,
			p.Refusal.Count, p.Refusal.P50, p.Refusal.P99, p.FirstToken.P99, p.Faults, p.MachineLoad)
	}
	fmt.Fprintf(table, "goodput at the highest load / peak: %.2f\n\n", r.GoodputKept())
	fmt.Fprintln(table, "class\tsent\tok\trefused\trefusal p99\tfirst token p50\tfirst token p99\tp99 ratio\tfaults\tload average\t")
	writeComparison(table, "small client account", "large client account, flood", r.Flood)
	writeComparison(table, "interactive burst", "batch", r.Burst)
	if err := table.Flush(); err != nil {
		return errors.Wrap(err, "write result")
	}
	return r.writeOutcomes(to)
}

func writeComparison(to io.Writer, name, other string, c Comparison) {
	writeTraffic(to, name+" alone", c.Alone, "", c.MachineLoad)
	writeTraffic(to, name+" beside", c.Beside, fmt.Sprintf("%.2f", c.RatioP99), c.MachineLoad)
	writeTraffic(to, other, c.Other, "", c.MachineLoad)
}

func writeTraffic(to io.Writer, name string, t Traffic, ratio, machineLoad string) {
	fmt.Fprintf(to, "%s\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t%s\t%d\t%s\t\n", name, t.Sent, t.Outcomes[load.OutcomeOK],
		t.Refusal.Count, t.Refusal.P99, t.FirstToken.P50, t.FirstToken.P99, ratio, t.Faults, machineLoad)
}

// writeOutcomes lists the numbers of requests by outcome, and the limits of the
// load generator that took effect. With such a limit the load differed from the
// planned one.
func (r *Result) writeOutcomes(to io.Writer) error {
	fmt.Fprintln(to, "\nend of requests, by code:")
	for _, p := range r.Points {
		writeEnds(to, fmt.Sprintf("%gx", p.Multiplier), p.Traffic)
	}
	writeEnds(to, "small alone", r.Flood.Alone)
	writeEnds(to, "small beside flood", r.Flood.Beside)
	writeEnds(to, "flood", r.Flood.Other)
	writeEnds(to, "burst alone", r.Burst.Alone)
	writeEnds(to, "burst beside batch", r.Burst.Beside)
	writeEnds(to, "batch", r.Burst.Other)
	_, err := fmt.Fprintln(to)
	return errors.Wrap(err, "write result")
}

func writeEnds(to io.Writer, name string, t Traffic) {
	fmt.Fprintf(to, "  %s:", name)
	for _, outcome := range core.SortedKeys(t.Outcomes) {
		fmt.Fprintf(to, " [%s: %d]", outcome, t.Outcomes[outcome])
	}
	for _, bound := range t.Bounds {
		fmt.Fprintf(to, " (bound %s: %s)", bound.Name, bound.Detail)
	}
	fmt.Fprintln(to)
}
