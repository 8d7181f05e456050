package router

import (
	"testing"
	"time"

	"nutmeglane.example/nutmeglane/internal/fleet"
)

var allCrowding = CrowdingOptions{FromPause: 800 * time.Millisecond, Budget: true, CopyPlan: true, RunCopies: true}

// pausesConfig is testConfig with the given pause objectives of the engines' two streams.
func pausesConfig(version int64, quick, patient time.Duration) *fleet.Config {
	config := testConfig()
	config.Version = version
	config.Routes[0].PauseObjective, config.Routes[1].PauseObjective = quick, patient
	return config
}

// Guards against applying the protection to a service that has a stream with a short pause
// objective or with none, and against keeping it after such a stream was added.
func TestCrowdingAppliesToServicesThatQualify(t *testing.T) {
	const from = 800 * time.Millisecond
	tests := []struct {
		name           string
		options        CrowdingOptions
		quick, patient time.Duration
		want           CrowdingOptions
	}{
		{"all pauses long", allCrowding, from, 2 * from, allCrowding},
		{"one pause short", allCrowding, from - 1, 2 * from, CrowdingOptions{}},
		{"one stream without an objective", allCrowding, 0, from, CrowdingOptions{}},
		{"off", CrowdingOptions{Budget: true, CopyPlan: true, RunCopies: true}, from, from, CrowdingOptions{}},
		{"one switch", CrowdingOptions{FromPause: from, Budget: true}, from, from, CrowdingOptions{FromPause: from, Budget: true}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			w := newFixture(t)
			w.router.SetCrowding(test.options)
			w.step(ConfigRead{Config: pausesConfig(2, test.quick, test.patient)})
			if got := w.router.crowding(engineService); got != test.want {
				t.Errorf("options %+v, want %+v", got, test.want)
			}
			for _, service := range []string{plainService, "unknown"} {
				if got := w.router.crowding(service); got != (CrowdingOptions{}) {
					t.Errorf("service %s, which has no streams, has options %+v", service, got)
				}
			}
			w.step(ConfigRead{Config: pausesConfig(3, from/2, from)})
			if got := w.router.crowding(engineService); got != (CrowdingOptions{}) {
				t.Errorf("options %+v after a stream with a short pause objective was added", got)
			}
		})
	}
}

// Guards against a change of the settings that takes effect only with the next configuration.
func TestCrowdingFollowsTheSettings(t *testing.T) {
	w := newFixture(t)
	w.step(ConfigRead{Config: pausesConfig(2, time.Second, time.Second)})
	if got := w.router.crowding(engineService); got != (CrowdingOptions{}) {
		t.Fatalf("options %+v without the setting", got)
	}
	w.router.SetCrowding(allCrowding)
	if got := w.router.crowding(engineService); got != allCrowding {
		t.Errorf("options %+v, want %+v", got, allCrowding)
	}
	w.router.SetCrowding(CrowdingOptions{})
	if got := w.router.crowding(engineService); got != (CrowdingOptions{}) {
		t.Errorf("options %+v after they were turned off", got)
	}
}
