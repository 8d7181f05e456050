package agent

import (
	"testing"
	"time"

	"nutmeglane.example/nutmeglane/internal/api"
	"nutmeglane.example/nutmeglane/internal/core"
)

// Guards against agents that use the old cold start price until their restart:
// after an operator raises the price, requests would still meet unloaded models
// hours after the change was in force.
func TestPricesFollowTheConfiguration(t *testing.T) {
	p := New(Config{Host: "h", Kind: core.BackendEngine})
	now := core.Time(0)
	step := func(event core.Event) { p.Step(now, event) }
	configure := func(revision int64, coldPrice float64) {
		step(core.ConfigInForce{Snapshot: &api.Snapshot{
			Revision: revision,
			Models: map[string]*api.Model{"m": {Spec: api.ModelSpec{
				Version: "1", MemoryMiB: 10000, CheckpointMiB: 20000, Replicas: api.ReplicaLimits{Max: 1},
			}}},
			Deployment: &api.DeploymentSpec{ColdStartPrice: coldPrice, IdleHourPrice: 20},
		}})
	}
	step(core.Tick{})
	step(core.Inventory{MemoryMiB: 40000})
	configure(1, 0.01)
	for range 50 {
		now = now.Add(10 * time.Minute)
		p.cfg.Idle.Arrival(now, "m@1")
	}
	if kept := p.cfg.Idle.KeepUntil(now, "m@1").Sub(now); kept > 9*time.Minute {
		t.Errorf("with cheap cold starts a model with a request every 10 min is kept for %v", kept)
	}
	configure(2, 100)
	if kept := p.cfg.Idle.KeepUntil(now, "m@1").Sub(now); kept < 10*time.Minute {
		t.Errorf("with expensive cold starts a model with a request every 10 min is kept for only %v", kept)
	}
}
