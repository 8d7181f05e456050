package fleet_test

import (
	"os"
	"testing"

	"nutmeglane.example/nutmeglane/internal/bench/fleet"
	"nutmeglane.example/nutmeglane/internal/selfexec"
)

func TestMain(m *testing.M) { selfexec.Main(m) }

// A fleet of processes must bring a configuration in force, yield a sample for
// each process, and leave no process running after Close.
func TestFleet(t *testing.T) {
	t.Setenv(selfexec.Variable, "1")
	binary, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	f, err := fleet.Start(t.Context(), fleet.Options{Daemon: binary, Entries: 1, Agents: 2, Zones: 2})
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	revision, err := f.Apply(t.Context(), 0, fleet.Declare(fleet.Declaration{Models: 2, Adapters: 3}))
	if err != nil {
		t.Fatal(err)
	}
	if err := f.AwaitRevision(t.Context(), revision); err != nil {
		t.Fatal(err)
	}
	samples, err := fleet.Samples(t.Context(), f.Processes())
	if err != nil {
		t.Fatal(err)
	}
	for i, s := range samples {
		if s.CPU <= 0 || s.Resident <= 0 || s.Metrics[fleet.MetricReceived] <= 0 {
			t.Errorf("%s: sample lacks CPU time, memory or received bytes: %+v", f.Processes()[i].Host, s)
		}
	}
	if samples[0].Metrics[fleet.MetricConnections] != 2 || samples[0].Metrics[fleet.MetricStewardElections] != 1 {
		t.Errorf("the entry is not the steward with connections to two agents: %v", samples[0].Metrics)
	}
	if _, bytes := f.Platform.KVBytes.Totals(); bytes == 0 {
		t.Error("no bytes of the KV service counted")
	}
	f.Close()
	for _, p := range f.Processes() {
		if _, err := p.Sample(t.Context()); err == nil {
			t.Errorf("%s is still running", p.Host)
		}
	}
}
