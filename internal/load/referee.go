package load

import (
	"cmp"
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	refereePath    = "/admin/referee"
	refereeTimeout = 10 * time.Second
)

// refereeReport has the fields that the referees of stand-in engines and of
// stand-in services have in common.
type refereeReport struct {
	Loads            int            `json:"loads"`
	MemoryViolations int            `json:"memoryViolations"`
	DoubleRuns       int            `json:"doubleRuns"`
	RunsCut          int            `json:"runsCut"`
	Runs             map[string]int `json:"runs"`
	ByID             map[string]int `json:"byID"`
}

// RefereeChange is the sum of what all referees counted during the run.
type RefereeChange struct {
	Loads int `json:"loads"`
	// MemoryViolations counts loads that would overcommit an accelerator.
	MemoryViolations int `json:"memory_violations"`
	// DoubleRuns counts repeated runs of calls that may run only once, also of
	// callers outside this run.
	DoubleRuns int `json:"double_runs"`
	// RunsCut counts runs aborted by an unload.
	RunsCut int `json:"runs_cut"`
}

// add adds the counts of a report multiplied by factor, 1 or -1.
func (c *RefereeChange) add(report *refereeReport, factor int) {
	c.Loads += factor * report.Loads
	c.MemoryViolations += factor * report.MemoryViolations
	c.DoubleRuns += factor * report.DoubleRuns
	c.RunsCut += factor * report.RunsCut
}

func readReferees(ctx context.Context, transport http.RoundTripper, urls []string) ([]*refereeReport, error) {
	var reports []*refereeReport
	for _, base := range urls {
		report, err := readReferee(ctx, transport, base)
		if err != nil {
			return nil, errors.Wrapf(err, "read referee %s", base)
		}
		reports = append(reports, report)
	}
	return reports, nil
}

func readReferee(ctx context.Context, transport http.RoundTripper, base string) (*refereeReport, error) {
	ctx, cancel := context.WithTimeout(ctx, refereeTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, strings.TrimSuffix(base, "/")+refereePath, nil)
	if err != nil {
		return nil, err
	}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, errors.Newf("got %s, wanted 200", response.Status)
	}
	report := &refereeReport{}
	return report, json.NewDecoder(response.Body).Decode(report)
}

// refereeCheck compares the answers that callers got with the runs that the
// referees counted.
type refereeCheck struct {
	change RefereeChange
	runs   map[string]int
}

func newRefereeCheck(before, after []*refereeReport) *refereeCheck {
	w := &refereeCheck{runs: map[string]int{}}
	for _, report := range before {
		w.change.add(report, -1)
		w.addRuns(report, -1)
	}
	for _, report := range after {
		w.change.add(report, 1)
		w.addRuns(report, 1)
	}
	return w
}

func (w *refereeCheck) addRuns(report *refereeReport, factor int) {
	for _, byName := range []map[string]int{report.Runs, report.ByID} {
		for name, count := range byName {
			w.runs[name] += factor * count
		}
	}
}

// runsOf returns how often a request ran. Referees count it under its
// idempotency key, or under its request id if it has none.
func (w *refereeCheck) runsOf(c *claim) int {
	name := cmp.Or(c.key, c.requestID)
	if name == "" {
		return 0 // no answer carried the request id
	}
	return w.runs[name]
}

// claim is a statement about a request that the referees' counts can contradict:
// that it was refused without running, or that it runs at most once.
type claim struct {
	series         *series
	number         int
	key, requestID string
	refused        bool
	runsOnce       bool
}

// check returns the fault if the referees' counts contradict the claim.
func (w *refereeCheck) check(c *claim) (finding, bool) {
	runs := w.runsOf(c)
	switch {
	case c.refused && runs > 0:
		return finding{FaultUntrueRefusal, "refused as not run, but ran"}, true
	case c.runsOnce && runs > 1:
		return finding{FaultDoubled, "a call that must run at most once ran several times"}, true
	default:
		return finding{}, false
	}
}
