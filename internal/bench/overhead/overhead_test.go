package overhead_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"nutmeglane.example/nutmeglane/internal/bench/overhead"
	"nutmeglane.example/nutmeglane/internal/selfexec"
)

func TestMain(m *testing.M) { selfexec.Main(m) }

// Runs a small measurement with real processes. Run fails if any answer lacks
// tokens.
func TestRun(t *testing.T) {
	t.Setenv(selfexec.Variable, "1")
	binary, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	r, err := overhead.Run(t.Context(), overhead.Options{
		Daemon: binary, Agents: 1, Streams: 4, TokenRates: []float64{100}, Window: time.Second, Ramp: 100 * time.Millisecond,
	})
	if err != nil {
		t.Fatal(err)
	}
	if f := r.FirstToken; f.Direct.Count == 0 || f.Direct.Count != f.Through.Count {
		t.Errorf("first tokens: %+v", r.FirstToken)
	}
	if len(r.Throughput) != 1 || r.Throughput[0].TokensPerSecond <= 0 || r.Requests.RequestsPerSecond <= 0 {
		t.Errorf("throughput: %+v, requests: %+v", r.Throughput, r.Requests)
	}
	var out strings.Builder
	if err := r.WriteText(&out); err != nil || !strings.Contains(out.String(), "ratio") {
		t.Errorf("%v\n%s", err, out.String())
	}
}

// A run with Profile set must write a CPU profile.
func TestProfile(t *testing.T) {
	file := filepath.Join(t.TempDir(), "cpu.pprof")
	_, err := overhead.Run(t.Context(), overhead.Options{
		Agents: 1, Streams: 2, TokenRates: []float64{100}, Window: time.Second, Ramp: 100 * time.Millisecond, Profile: file,
	})
	if err != nil {
		t.Fatal(err)
	}
	if info, err := os.Stat(file); err != nil || info.Size() == 0 {
		t.Errorf("no profile: %v", err)
	}
}
