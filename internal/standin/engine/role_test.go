package engine_test

import (
	"context"
	"encoding/json"
	"net/http"
	"testing"

	"nutmeglane.example/nutmeglane/internal/engine/engineapi"
	"nutmeglane.example/nutmeglane/internal/standin/engine"
)

func role(role engineapi.Role, fence uint64) engineapi.Order {
	return engineapi.Order{Kind: engineapi.KindRole, Role: role, Fence: fence}
}

// A request is queued when the engine is ordered to drain. It was accepted
// before, so it must run. The next request must be refused as not run.
func TestDrainingRunsQueuedRequest(t *testing.T) {
	f := start(t, engine.Options{MaxBatch: 1})
	f.expect(http.StatusOK, load(key, 1, 1))
	f.SetFaults(slowed)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	first, err := f.post(ctx, engineapi.PathCompletions, completion("first", "batch"), prompt(endless))
	if err != nil {
		t.Fatal(err)
	}
	waiting := make(chan int, 1)
	go func() {
		response, err := f.post(t.Context(), engineapi.PathCompletions, completion("waits", "batch"), prompt(endless))
		if err != nil {
			waiting <- 0
			return
		}
		waiting <- response.StatusCode
		_ = response.Body.Close()
	}()
	f.awaitQueued(1)
	f.expect(http.StatusOK, role(engineapi.RoleDraining, 1))
	refused, err := f.post(t.Context(), engineapi.PathCompletions, completion("late", "batch"), prompt(1))
	if err != nil {
		t.Fatal(err)
	}
	var refusal engineapi.Refusal
	if err := json.NewDecoder(refused.Body).Decode(&refusal); err != nil || refusal.Reason != engineapi.ReasonDraining {
		t.Errorf("refusal %v, error %v", refusal, err)
	}
	_ = refused.Body.Close()
	cancel()
	_ = first.Body.Close()
	if status := <-waiting; status != http.StatusOK {
		t.Errorf("status %d for the queued request", status)
	}
	if runs := f.Referee().Report().Runs; runs["late"] != 0 || runs["waits"] != 1 {
		t.Errorf("runs %v", runs)
	}
}

func TestMalformedRoleOrder(t *testing.T) {
	f := start(t, engine.Options{})
	f.expect(http.StatusBadRequest, role("resting", 1))
	f.expect(http.StatusBadRequest, role("", 1))
	f.expect(http.StatusBadRequest, engineapi.Order{Kind: engineapi.KindUnload})
}
