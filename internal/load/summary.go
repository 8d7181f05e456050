package load

import (
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"
)

// Summary is the result of a run. The field names of its JSON form are stable.
type Summary struct {
	RunID   string    `json:"run_id"`
	Seed    uint64    `json:"seed"`
	Started time.Time `json:"started"`
	// ElapsedSeconds is the time from the start of the run to the end of the
	// last request.
	ElapsedSeconds float64  `json:"elapsed_seconds"`
	Targets        []string `json:"targets"`
	// Planned is the number of arrivals drawn, Sent the number of them that
	// were sent.
	Planned int `json:"planned"`
	Sent    int `json:"sent"`
	// Bounds lists the limits that took effect. If there are any, the load
	// differed from the planned one.
	Bounds []Bound `json:"bounds"`
	// SendLag is the delay between the intended and the actual sending. It is
	// caused by the generator and included in the latencies measured from the
	// intended time.
	SendLag Quantiles `json:"send_lag"`
	// FaultCounts has an entry for each kind in Faults, also if it is 0.
	FaultCounts map[Fault]int `json:"faults"`
	// UnclaimedDoubleRuns counts the double runs reported by referees that are
	// not repeated runs of this run's own requests.
	UnclaimedDoubleRuns int `json:"unclaimed_double_runs"`
	// Referees is nil if no referee was read.
	Referees *RefereeChange `json:"referees,omitempty"`
	Phases   []PhaseSummary `json:"phases"`
	Series   []Series       `json:"series"`
	// Examples describes the first faults found.
	Examples []Example `json:"examples"`
	Timeline []Point   `json:"timeline"`
}

// Bound is a limit that took effect.
type Bound struct {
	// Name is "maxRequests", "maxOpen" or "stopped".
	Name   string `json:"name"`
	Detail string `json:"detail"`
}

// PhaseSummary is the sum over all classes in one phase.
type PhaseSummary struct {
	Phase           string  `json:"phase"`
	Multiplier      float64 `json:"multiplier"`
	DurationSeconds float64 `json:"duration_seconds"`
	Sent            int     `json:"sent"`
	SentPerSecond   float64 `json:"sent_per_second"`
	// GoodputPerSecond is the rate of correct answers within their timeout,
	// measured from the intended time.
	GoodputPerSecond float64 `json:"goodput_per_second"`
	TokensPerSecond  float64 `json:"tokens_per_second"`
}

// Series holds the measurements of one class in one phase.
type Series struct {
	Class            string          `json:"class"`
	Phase            string          `json:"phase"`
	Sent             int             `json:"sent"`
	GoodputPerSecond float64         `json:"goodput_per_second"`
	Outcomes         map[Outcome]int `json:"outcomes"`
	FaultCounts      map[Fault]int   `json:"faults"`
	// FirstToken and Whole are measured from the intended time. Whole covers
	// only correct answers, FirstToken only streamed ones. Slow readers are
	// left out, because their latencies would measure the plan's own pauses.
	FirstToken    Quantiles `json:"first_token"`
	BetweenTokens Quantiles `json:"between_tokens"`
	Whole         Quantiles `json:"whole"`
	// Refusal is measured from the actual sending.
	Refusal Quantiles `json:"refusal"`
}

// Quantiles describes the distribution of a latency in milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P90   float64 `json:"p90_ms"`
	P99   float64 `json:"p99_ms"`
	P999  float64 `json:"p999_ms"`
	Max   float64 `json:"max_ms"`
}

// Example describes a fault.
type Example struct {
	Fault     Fault  `json:"fault"`
	Class     string `json:"class"`
	Phase     string `json:"phase"`
	Number    int    `json:"number"`
	RequestID string `json:"request_id"`
	Detail    string `json:"detail"`
}

// Point holds the results of the arrivals in one interval of the timeline.
type Point struct {
	// Seconds is the start of the interval, relative to the start of the run.
	Seconds float64 `json:"seconds"`
	Width   float64 `json:"width_seconds"`
	OK      int     `json:"ok"`
	Refused int     `json:"refused"`
	Other   int     `json:"other"`
	Faulty  int     `json:"faulty"`
	// Whole covers only correct answers.
	Whole Quantiles `json:"whole"`
}

// Faults returns the total number of faults, including unclaimed double runs and
// memory violations. A run passes only if it is 0.
func (s *Summary) Faults() int {
	total := s.UnclaimedDoubleRuns
	for _, count := range s.FaultCounts {
		total += count
	}
	if s.Referees != nil {
		total += s.Referees.MemoryViolations
	}
	return total
}

// WriteJSON writes the summary as indented JSON.
func (s *Summary) WriteJSON(to io.Writer) error {
	encoder := json.NewEncoder(to)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(s), "write summary")
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	if h.TotalCount() == 0 {
		return Quantiles{}
	}
	at := h.ValueAtPercentilesSlice([]float64{50, 90, 99, 99.9})
	return Quantiles{
		Count: h.TotalCount(),
		P50:   millis(at[0]), P90: millis(at[1]), P99: millis(at[2]), P999: millis(at[3]),
		Max: millis(h.Max()),
	}
}

func millis(micros int64) float64 { return float64(micros) / 1000 }

// summary builds the Summary. It must not be called before all requests have
// ended.
func (r *runner) summary(change *RefereeChange, unclaimed int) *Summary {
	rec := r.record
	s := &Summary{
		RunID: r.opts.RunID, Seed: r.plan.Seed, Started: r.started.UTC(),
		ElapsedSeconds: r.elapsed.Seconds(), Targets: r.plan.Targets,
		Planned: len(r.arrivals), Sent: int(r.sent.Load()), Bounds: r.bounds(),
		SendLag: quantiles(rec.lag), FaultCounts: map[Fault]int{},
		UnclaimedDoubleRuns: unclaimed, Referees: change,
		Examples: append([]Example{}, rec.examples...), Timeline: rec.timeline(),
	}
	for _, fault := range Faults {
		s.FaultCounts[fault] = 0
	}
	for i, phase := range r.plan.phases() {
		s.Phases = append(s.Phases, r.phaseSummary(i, phase))
	}
	for i := range r.plan.Classes {
		for k, phase := range r.plan.phases() {
			s.Series = append(s.Series, rec.series[i][k].summary(time.Duration(phase.Duration)))
			for fault, count := range rec.series[i][k].faults {
				s.FaultCounts[fault] += count
			}
		}
	}
	return s
}

func (r *runner) bounds() []Bound {
	list := []Bound{}
	if r.more {
		last := r.arrivals[len(r.arrivals)-1].at
		list = append(list, Bound{"maxRequests", fmt.Sprintf("arrivals after %v were left out", last)})
	}
	if r.delayed > 0 {
		list = append(list, Bound{"maxOpen", fmt.Sprintf("%d arrivals were sent late, %d not at all", r.delayed-r.unsent, r.unsent)})
	}
	if r.stopped {
		list = append(list, Bound{"stopped", fmt.Sprintf("after %v, %d arrivals were not sent", r.elapsed, len(r.arrivals)-int(r.sent.Load()))})
	}
	return list
}

func (r *runner) phaseSummary(index int, phase Phase) PhaseSummary {
	seconds := time.Duration(phase.Duration).Seconds()
	sum := PhaseSummary{Phase: phase.Name, Multiplier: phase.Multiplier, DurationSeconds: seconds}
	good, tokens := 0, 0
	for _, row := range r.record.series {
		sum.Sent += row[index].sent
		good += row[index].good
		tokens += row[index].tokens
	}
	sum.SentPerSecond = float64(sum.Sent) / seconds
	sum.GoodputPerSecond = float64(good) / seconds
	sum.TokensPerSecond = float64(tokens) / seconds
	return sum
}

func (s *series) summary(length time.Duration) Series {
	return Series{
		Class: s.class, Phase: s.phase, Sent: s.sent,
		GoodputPerSecond: float64(s.good) / length.Seconds(),
		Outcomes:         s.outcomes, FaultCounts: s.faults,
		FirstToken: quantiles(s.firstToken), BetweenTokens: quantiles(s.between),
		Whole: quantiles(s.whole), Refusal: quantiles(s.refusal),
	}
}

func (rec *recorder) timeline() []Point {
	points := make([]Point, len(rec.buckets))
	for i, b := range rec.buckets {
		begin := time.Duration(i) * rec.width
		points[i] = Point{
			Seconds: begin.Seconds(), Width: min(rec.width, rec.total-begin).Seconds(),
			OK: b.ok, Refused: b.refused, Other: b.other, Faulty: b.faulty,
			Whole: quantiles(b.whole),
		}
	}
	return points
}
