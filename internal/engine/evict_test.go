package engine_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/engine"
	"nutmeglane.example/nutmeglane/internal/engine/engineapi"
	standin "nutmeglane.example/nutmeglane/internal/standin/engine"
)

// evict evicts the model "line" from the engine at a URL and returns the result.
func evict(t *testing.T, url string, limit time.Duration, fence uint64) code.Code {
	t.Helper()
	done := make(chan core.Event, 1)
	evictor := engine.NewEvictor(engine.EvictorOptions{
		Now: func() core.Time { return 0 }, Limit: limit,
	}, func(e core.Event) { done <- e })
	defer evictor.Close()
	evictor.Do(core.Evict{Tag: 7, URL: url, Model: "line", Fence: fence})
	select {
	case event := <-done:
		answer := event.(core.EvictDone)
		if answer.Tag != 7 {
			t.Fatalf("answer to %d", answer.Tag)
		}
		return answer.Code
	case <-time.After(testTimeout):
		t.Fatal("no answer")
		return 0
	}
}

// loadedEngine returns an engine that holds line@1 with an adapter, line@2, and
// another model with the same name prefix, which has an adapter called "line".
func loadedEngine(t *testing.T) (*fixture, *standin.Server, string) {
	server := newEngine()
	var url string
	f := start(t, server, func(o *engine.Options) { url = o.URL })
	for i, o := range []core.Order{
		{Key: "line@1"}, {Key: "tone@1", Base: "line@1"}, {Key: "line@2"},
		{Key: "line-long@1"}, {Key: "line@9", Base: "line-long@1"},
	} {
		o.ID, o.Kind, o.MemoryMiB, o.Fence = uint64(i+1), core.OrderLoad, 100, 4
		if got := f.order(o); got != code.OK {
			t.Fatalf("load %s: %v", o.Key, got)
		}
	}
	return f, server, url
}

func (f *fixture) keys() []string {
	f.Do(core.TakeInventory{})
	var keys []string
	for _, item := range await[core.Inventory](f).Items {
		keys = append(keys, item.Key)
	}
	return keys
}

// The agent has failed and its engine holds two versions of a model and an
// adapter. An eviction must unload all of them, adapters first, and nothing of
// other models. A late order of the failed agent must be refused because of its
// fencing number.
func TestEvictUnloadsWholeModel(t *testing.T) {
	f, _, url := loadedEngine(t)
	if got := evict(t, url, 0, 5); got != code.OK {
		t.Fatalf("evict: %v", got)
	}
	if keys := f.keys(); len(keys) != 2 || keys[0] != "line-long@1" || keys[1] != "line@9" {
		t.Errorf("left: %v", keys)
	}
	if got := f.order(core.Order{ID: 9, Kind: core.OrderLoad, Key: "line@1", MemoryMiB: 100, Fence: 4}); got != code.FencedOut {
		t.Errorf("late load: %v", got)
	}
}

// A new owner took over the slot and loaded the model while the eviction for the
// old owner was in progress. The new replica must not be unloaded.
func TestEvictKeepsNewerOwnersReplica(t *testing.T) {
	f, _, url := loadedEngine(t)
	if got := evict(t, url, 0, 4); got != code.FencedOut {
		t.Fatalf("evict: %v", got)
	}
	if keys := f.keys(); len(keys) != 5 {
		t.Errorf("left: %v", keys)
	}
}

// The last load of a failed agent is still in progress when the eviction starts.
// The eviction must not succeed until that load has ended and was undone. An
// engine that stays busy, hangs, refuses orders or is unreachable must make the
// eviction fail.
func TestEvictWaitsForBusy(t *testing.T) {
	engineOf := &slowEngine{busy: 2, loaded: true}
	server := httptest.NewServer(engineOf)
	defer server.Close()
	if got := evict(t, server.URL, 0, 5); got != code.OK {
		t.Errorf("busy twice: %v", got)
	}
	if engineOf.inventories != 4 || engineOf.unloads != 1 {
		t.Errorf("%d inventories, %d unloads", engineOf.inventories, engineOf.unloads)
	}
	stuck := httptest.NewServer(&slowEngine{busy: 1 << 30, loaded: true})
	defer stuck.Close()
	if got := evict(t, stuck.URL, time.Second, 5); got != code.EngineUnknown {
		t.Errorf("always busy: %v", got)
	}
	_, refusing, url := loadedEngine(t)
	refusing.SetFaults(standin.Faults{Refuse: true})
	if got := evict(t, url, time.Second, 5); got != code.EngineUnknown {
		t.Errorf("refusing: %v", got)
	}
	refusing.SetFaults(standin.Faults{Hang: true})
	if got := evict(t, url, time.Second, 5); got != code.EngineUnknown {
		t.Errorf("hanging: %v", got)
	}
	refusing.SetFaults(standin.Faults{})
	gone := httptest.NewServer(nil)
	gone.Close()
	if got := evict(t, gone.URL, 0, 5); got != code.EngineUnknown {
		t.Errorf("away: %v", got)
	}
}

// slowEngine reports one model as busy in its first inventories.
type slowEngine struct {
	mu                         sync.Mutex
	busy, inventories, unloads int
	loaded                     bool
}

// ServeHTTP implements http.Handler.
func (s *slowEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.URL.Path == engineapi.PathOrders {
		s.unloads++
		s.loaded = false
		_, _ = w.Write([]byte("{}"))
		return
	}
	s.inventories++
	var inventory engineapi.Inventory
	if s.loaded {
		inventory.Items = []engineapi.Item{{Key: "line@1", Fence: 4, Busy: s.inventories <= s.busy}}
	}
	_ = json.NewEncoder(w).Encode(inventory)
}
