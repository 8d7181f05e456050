package overload_test

import (
	"os"
	"strings"
	"testing"
	"time"

	"nutmeglane.example/nutmeglane/internal/bench/overload"
	"nutmeglane.example/nutmeglane/internal/load"
	"nutmeglane.example/nutmeglane/internal/selfexec"
)

func TestMain(m *testing.M) { selfexec.Main(m) }

// Runs all measurements, with up to ten times the capacity, on real processes. At
// any speed of the machine each request must get a complete answer or a refusal
// with a retry time, and no answer may be lost, duplicated or sent to the wrong
// caller.
func TestRun(t *testing.T) {
	t.Setenv(selfexec.Variable, "1")
	binary, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	r, err := overload.Run(t.Context(), overload.Options{
		Daemon: binary, Entries: 1, Agents: 1, MaxConcurrent: 2, Tokens: 5,
		Multipliers: []float64{0.5, 5}, Window: 600 * time.Millisecond,
	})
	if err != nil {
		t.Fatal(err)
	}
	if len(r.Points) != 2 {
		t.Fatalf("points: %+v", r.Points)
	}
	check(t, "0.5x", r.Points[0].Traffic)
	check(t, "5x", r.Points[1].Traffic)
	check(t, "flood", r.Flood.Beside)
	check(t, "burst", r.Burst.Beside)
	var out strings.Builder
	if err := r.WriteText(&out); err != nil || !strings.Contains(out.String(), "goodput") {
		t.Errorf("%v\n%s", err, out.String())
	}
}

func check(t *testing.T, name string, traffic overload.Traffic) {
	t.Helper()
	if traffic.Faults != 0 || len(traffic.Bounds) > 0 {
		t.Errorf("%s: %+v", name, traffic)
	}
	if traffic.Outcomes[load.OutcomeOK] == 0 {
		t.Errorf("%s: no request was answered: %+v", name, traffic)
	}
}
