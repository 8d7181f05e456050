package router

import (
	"testing"
	"time"

	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/fleet"
)

// newPlainStreams returns a fixture with a route of streams of a plain service that can be resumed, and
// servers of a release. No loader exists.
func newPlainStreams(t *testing.T) *fixture {
	t.Helper()
	w := newFixture(t)
	config := nextConfig(2)
	config.Routes = append(config.Routes, route("plain", fleet.Stream, plainService, 600*time.Millisecond, 10*time.Second, 2, true))
	w.step(ConfigRead{Config: config})
	w.step(StoreState{Reachable: true})
	w.servers(plainService, 2)
	w.step(RegistryConfirmed{AsOf: w.now})
	return w
}

// Guards against a router that was cut off from the registry or stood still, and continues the stream of
// a release that it has not seen at the only one that it knows.
func TestStreamIsTakenUpOnceTheRegistryWasRead(t *testing.T) {
	second := func(w *fixture) fleet.Backend {
		b := w.server(plainService, 2)
		b.Release = v2
		return b
	}
	tests := []struct {
		name string
		// happens takes place once the request has arrived, at a time after that.
		happens func(w *fixture, arrived RegistryConfirmed)
		want    code.Code
	}{
		{"read since", func(w *fixture, arrived RegistryConfirmed) { w.step(arrived) }, code.OK},
		{"a read that began before, then one since", func(w *fixture, arrived RegistryConfirmed) {
			w.step(RegistryConfirmed{AsOf: arrived.AsOf - 1})
			if len(w.sends)+len(w.finishes) != 0 {
				w.t.Errorf("decided on an older registry: %+v, %+v", w.sends, w.finishes)
			}
			w.run(confirmPause)
			if w.storeReads != 2 {
				w.t.Errorf("%d reads requested, want another one", w.storeReads)
			}
			w.step(arrived)
		}, code.OK},
		{"another release has joined", func(w *fixture, arrived RegistryConfirmed) {
			w.step(BackendsChanged{Written: map[string]fleet.Backend{"s2": second(w)}})
			w.step(arrived)
		}, code.UnknownOrigin},
		{"the store does not answer", func(w *fixture, _ RegistryConfirmed) {
			w.step(StoreState{Reachable: false})
			w.run(tickInterval)
		}, code.UnknownOrigin},
		{"the store is back and may lack entries", func(w *fixture, arrived RegistryConfirmed) {
			w.router.storeDownSince = w.now
			w.step(StoreState{Reachable: true})
			w.step(arrived)
		}, code.UnknownOrigin},
		{"no read ends", func(w *fixture, _ RegistryConfirmed) { w.run(registryReadLimit) }, code.UnknownOrigin},
	}
	for _, stream := range []string{"elsewhere", ""} {
		for _, test := range tests {
			t.Run(test.name+" "+stream, func(t *testing.T) {
				w := newPlainStreams(t)
				w.now = w.now.Add(tickInterval)
				key := w.takeUp("plain", stream)
				if len(w.sends[key]) != 0 || w.storeReads != 1 {
					t.Fatalf("sent %d times, %d reads of the store", len(w.sends[key]), w.storeReads)
				}
				arrived := RegistryConfirmed{AsOf: w.now}
				w.now = w.now.Add(time.Millisecond)
				test.happens(w, arrived)
				if got := w.refusal(key); got != test.want || (got == code.OK) != (len(w.sends[key]) == 1) {
					t.Errorf("ended with %v, sent %d times", got, len(w.sends[key]))
				}
			})
		}
	}
}

// Guards against callers who wait for a read of a store that is known not to answer.
func TestStreamIsRefusedAtOnceWhileTheStoreIsAway(t *testing.T) {
	w := newPlainStreams(t)
	w.now = w.now.Add(tickInterval)
	w.step(StoreState{Reachable: false})
	key := w.takeUp("plain", "elsewhere")
	if end := w.finishes[key]; end.Code != code.UnknownOrigin || !end.Code.NotRun() || end.RetryAfter <= 0 {
		t.Errorf("ended with %+v", end)
	}
}
