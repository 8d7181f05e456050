package engine

import "nutmeglane.example/nutmeglane/internal/standin/admin"

// Report holds the counts of a Referee since its creation.
type Report struct {
	Loads      int `json:"loads"`
	Unloads    int `json:"unloads"`
	Prefetches int `json:"prefetches"`
	// MemoryViolations counts loads that would overcommit the accelerator.
	MemoryViolations int `json:"memoryViolations"`
	// Fenced counts orders refused because of an old fencing number.
	Fenced int `json:"fenced"`
	// DoubleRuns counts the runs beyond the first of requests marked as
	// non-idempotent.
	DoubleRuns int `json:"doubleRuns"`
	// RunsCut counts runs aborted by an unload of their checkpoint.
	RunsCut int `json:"runsCut"`
	// Runs counts runs by idempotency key, or by request id if there is no
	// key. Runs resumed from a later token are not counted.
	Runs map[string]int `json:"runs"`
	// MaxLoaded is the maximum number of copies loaded at the same time, by
	// key. A copy counts from the start of its load to the end of its unload.
	MaxLoaded map[string]int `json:"maxLoaded"`
}

// Referee counts the actions of engines. Engines in one process may share it, so
// that it counts copies and runs across all of them.
type Referee struct {
	*admin.Tally[Report]
	// loaded is the current number of copies by key. It is accessed only within
	// Count.
	loaded map[string]int
}

// NewReferee returns a Referee with all counts at zero.
func NewReferee() *Referee {
	return &Referee{
		Tally:  admin.NewTally(Report{Runs: map[string]int{}, MaxLoaded: map[string]int{}}),
		loaded: map[string]int{},
	}
}

func (r *Referee) countLoad(key string) {
	r.Count(func(report *Report) {
		report.Loads++
		r.loaded[key]++
		report.MaxLoaded[key] = max(report.MaxLoaded[key], r.loaded[key])
	})
}

func (r *Referee) countRelease(key string) {
	r.Count(func(*Report) { r.loaded[key]-- })
}

func (r *Referee) countRun(id string, nonIdempotent bool) {
	r.Count(func(report *Report) {
		report.Runs[id]++
		if nonIdempotent && report.Runs[id] > 1 {
			report.DoubleRuns++
		}
	})
}
