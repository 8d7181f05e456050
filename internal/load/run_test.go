package load

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
)

// transportFunc answers requests without a network, so that tests can use
// synctest's fake clock.
type transportFunc func(*http.Request) (*http.Response, error)

func (f transportFunc) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

func rightResponse(r *http.Request) *http.Response {
	recorder := httptest.NewRecorder()
	recorder.Header().Set("Nutmeglane-Request-Id", testID)
	serveRight(recorder, r)
	return recorder.Result()
}

// onePerSecondPlan returns a plan that sends one completion each second for four
// seconds, with at most one open at a time.
func onePerSecondPlan() Plan {
	return Plan{
		Targets: []string{"http://127.0.0.1:1"}, Duration: Duration(4 * time.Second), MaxOpen: 1,
		Versions: map[string]string{"m": "1"},
		Classes: []Class{{
			Name: "c", APIKey: "k", StreamShare: 1, Calls: modelCalls(),
			Bursts: &Bursts{Size: 1, Every: Duration(time.Second)},
		}},
	}
}

// The system stalls for three seconds and is fast otherwise. Callers that arrive
// during the stall wait as well, but a generator that sends one request after
// another would measure a single slow one (coordinated omission). All latencies
// must be measured from the intended send time.
func TestLatencyCountsFromIntendedTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stalled := false
		transport := transportFunc(func(r *http.Request) (*http.Response, error) {
			if !stalled {
				stalled = true
				time.Sleep(3 * time.Second)
			}
			return rightResponse(r), nil
		})
		var progress bytes.Buffer
		s, err := Run(t.Context(), onePerSecondPlan(), Options{Transport: transport, Progress: &progress})
		if err != nil {
			t.Fatal(err)
		}
		whole := s.Series[0].Whole
		near := func(got, want float64) bool { return math.Abs(got-want) <= want/1000 }
		if whole.Count != 4 || !near(whole.P50, 1000) || !near(whole.Max, 3000) || !near(s.SendLag.Max, 2000) {
			t.Errorf("whole %+v, lag %+v; wanted 0, 1, 2 and 3 s, lag up to 2 s", whole, s.SendLag)
		}
		if len(s.Bounds) != 1 || s.Bounds[0].Name != "maxOpen" {
			t.Errorf("bounds %v, wanted maxOpen", s.Bounds)
		}
		if line := "phase steady: sent 1 of 4, open 1, ok 0"; !strings.Contains(progress.String(), line) {
			t.Errorf("progress %q lacks %q", &progress, line)
		}
	})
}

// No request is ever answered. The first is lost after its timeout and grace
// period, at 11.5 s. By then the second one's timeout has passed, so it isn't
// sent. The third is sent late and lost too, so the fourth isn't sent either.
// The summary must report all of this.
func TestUnsentArrivalsAreReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		transport := transportFunc(func(r *http.Request) (*http.Response, error) {
			<-r.Context().Done()
			return nil, r.Context().Err()
		})
		plan := onePerSecondPlan()
		plan.Grace = Duration(1500 * time.Millisecond)
		s, err := Run(t.Context(), plan, Options{Transport: transport})
		if err != nil {
			t.Fatal(err)
		}
		want := []Bound{{"maxOpen", "1 arrivals were sent late, 2 not at all"}}
		if diff := cmp.Diff(want, s.Bounds); diff != "" || s.Sent != 2 || s.FaultCounts[FaultLost] != 2 {
			t.Errorf("sent %d, faults %v, bounds %s", s.Sent, s.FaultCounts, diff)
		}
	})
}

func TestStopAndCancelAreNoFaults(t *testing.T) {
	for _, want := range []Outcome{OutcomeStopped, OutcomeCancelled} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			transport := transportFunc(func(r *http.Request) (*http.Response, error) {
				if want == OutcomeStopped {
					cancel()
				}
				<-r.Context().Done()
				return nil, r.Context().Err()
			})
			plan := onePerSecondPlan()
			if want == OutcomeCancelled {
				plan.Classes[0].CancelShare = 1
			}
			s, err := Run(ctx, plan, Options{Transport: transport})
			if err != nil {
				t.Fatal(err)
			}
			if s.Series[0].Outcomes[want] != s.Sent || s.Faults() != 0 || (want == OutcomeStopped) != (len(s.Bounds) == 1) {
				t.Errorf("%s: %v, bounds %v", want, s.Series[0].Outcomes, s.Bounds)
			}
		})
	}
}

func TestSummaryForms(t *testing.T) {
	s := runAgainst(t, &system{answer: serveRight}, Class{Calls: modelCalls(), StreamShare: 1}, nil)
	var text, data bytes.Buffer
	if err := s.WriteText(&text); err != nil || !strings.Contains(text.String(), "faults: 0") {
		t.Errorf("%v: %s", err, &text)
	}
	if err := s.WriteJSON(&data); err != nil || !json.Valid(data.Bytes()) {
		t.Error(err)
	}
	for name, mark := range map[string]string{"c.svg": "</svg>", "c.png": "IEND"} {
		file := filepath.Join(t.TempDir(), name)
		if err := s.WriteChart(file); err != nil {
			t.Error(err)
		}
		if drawn, err := os.ReadFile(file); err != nil || !bytes.Contains(drawn, []byte(mark)) {
			t.Errorf("%s: %v", name, err)
		}
	}
	if s.WriteChart("chart.gif") == nil {
		t.Error("chart.gif was accepted")
	}
	_, err := Run(t.Context(), Plan{Targets: []string{"http://192.0.2.1:80"}}, Options{Progress: io.Discard})
	if err == nil || !strings.Contains(err.Error(), "never sent to other hosts") {
		t.Errorf("a target that is not loopback: %v", err)
	}
}
