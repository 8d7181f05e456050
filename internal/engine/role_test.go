package engine_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
	standin "nutmeglane.example/nutmeglane/internal/standin/engine"
)

func roleOrder(id uint64, role core.EngineRole, fence uint64) core.Order {
	return core.Order{ID: id, Kind: core.OrderRole, Role: role, Fence: fence}
}

func (f *fixture) expectOrder(want code.Code, o core.Order) {
	f.t.Helper()
	if got := f.order(o); got != want {
		f.t.Errorf("order %d: code %d, wanted %d", o.ID, got, want)
	}
}

// role returns the role and its fencing number from an inventory.
func (f *fixture) role() (core.EngineRole, uint64) {
	f.t.Helper()
	f.Do(core.TakeInventory{})
	inventory := await[core.Inventory](f)
	return inventory.Role, inventory.RoleFence
}

func (f *fixture) expectRole(want core.EngineRole, fence uint64) {
	f.t.Helper()
	if role, number := f.role(); role != want || number != fence {
		f.t.Errorf("role %d by number %d, wanted %d by %d", role, number, want, fence)
	}
}

// An agent shuts down during a stream and orders its engine to drain. The stream
// must complete. A new request must be refused as not run, so that it can run
// elsewhere. A load must be refused, but the unload that the agent waits for must
// succeed.
func TestDrainingEngine(t *testing.T) {
	const streamed = 500
	s := newEngine()
	f := start(t, s, nil)
	f.load()
	f.expectRole(core.EngineServing, 0)
	s.SetFaults(standin.Faults{SlowTokens: 1e4}) // minutes for the stream
	f.Do(completion(1, streamed))
	if head := await[core.RunProgress](f); head.Kind != core.FrameHead {
		t.Fatalf("frame %d came first", head.Kind)
	}
	f.Do(roleOrder(2, core.EngineDraining, 1))
	var tokens []string
	for drained, ended := false, false; !ended; {
		switch event := await[core.Event](f).(type) {
		case core.OrderDone:
			drained = true
			if event.Code != code.OK {
				t.Errorf("the order to drain ended with code %d", event.Code)
			}
			s.SetFaults(standin.Faults{})
		case core.RunProgress:
			tokens = append(tokens, split(t, event)...)
			ended = event.Kind == core.FrameEnd
			if ended && (!drained || event.Code != code.OK) {
				t.Fatalf("drained %v, run ended with code %d", drained, event.Code)
			}
		}
	}
	if diff := cmp.Diff(standin.Answer(key, "sink scratched", streamed), tokens); diff != "" {
		t.Error(diff)
	}
	f.expectRole(core.EngineDraining, 1)
	f.Do(completion(2, 5))
	if got := f.collect(); got.Code != code.EngineNotLoaded || got.Head != nil {
		t.Errorf("new run: code %d", got.Code)
	}
	if runs := s.Referee().Report().Runs; len(runs) != 1 {
		t.Errorf("ran %v", runs)
	}
	f.expectOrder(code.EngineRefused, core.Order{ID: 3, Kind: core.OrderLoad, Key: "other@1", MemoryMiB: 1, Fence: 1})
	f.expectOrder(code.OK, core.Order{ID: 4, Kind: core.OrderUnload, Key: key, Fence: 1})
	f.expectOrder(code.OK, roleOrder(5, core.EngineServing, 2))
	f.load()
}

// An old agent process's order to drain is delayed, and its successor has set the
// engine to serving in the meantime. An engine that checks fencing numbers must
// refuse the late order. One that doesn't executes it, and its inventory must
// show that.
func TestLateRoleOrder(t *testing.T) {
	for _, ignore := range []bool{false, true} {
		f := start(t, standin.New(standin.Options{TimeScale: 0.001, IgnoreFencing: ignore}), nil)
		f.expectOrder(code.OK, roleOrder(1, core.EngineServing, 6))
		want, role := code.FencedOut, core.EngineServing
		if ignore {
			want, role = code.OK, core.EngineDraining
		}
		f.expectOrder(want, roleOrder(2, core.EngineDraining, 5))
		f.expectRole(role, 6)
	}
}

// An engine restarts while draining. The new process must be serving, with
// nothing loaded and no fencing number stored.
func TestRestartedEngineServes(t *testing.T) {
	s := newEngine()
	f := start(t, s, nil)
	f.expectOrder(code.OK, roleOrder(1, core.EngineDraining, 3))
	s.SetFaults(standin.Faults{Restart: true})
	f.expectRole(core.EngineServing, 0)
}
