package router

import (
	"testing"
	"time"

	"nutmeglane.example/nutmeglane/internal/fleet"
)

// Guards against a server that crashes under what it gets while it is cold (FAILBACK): its registry
// entry says so. Requests to it must need permits until it is warm, whatever its answers say.
func TestColdServerIsLimited(t *testing.T) {
	w := newFixture(t)
	config := testConfig()
	config.Version = 2
	config.Services[plainService].ColdPerSecond = 20
	w.step(ConfigRead{Config: config})
	b := w.server(plainService, 0)
	b.SlowFor = 3 * time.Second
	w.register(b)
	server := w.router.backends[b.Instance]
	if perSecond, limited := server.limit.gate.Limit(); !limited || perSecond != 20*coldShare {
		t.Fatalf("limited %t to %g a second", limited, perSecond)
	}
	sent := 0
	for range 40 {
		key := w.call("once", nil)
		if len(w.sends[key]) == 0 {
			continue
		}
		sent++
		w.step(Answered{Key: key, Attempt: 1, Answer: fleet.Answer{Status: 200}})
		w.step(Done{Key: key, Attempt: 1})
	}
	if most := int(20*coldShare) + 1; sent > most {
		t.Errorf("%d of 40 sent at once, want %d at most", sent, most)
	}
	if !server.limited() {
		t.Error("an answer ended the limit")
	}
}

// A service without such a limit, and a server that is warm, must not be limited.
func TestWarmServerIsNotLimited(t *testing.T) {
	for _, c := range []struct {
		perSecond float64
		slowFor   time.Duration
	}{{0, time.Second}, {20, 0}} {
		w := newFixture(t)
		config := testConfig()
		config.Version = 2
		config.Services[plainService].ColdPerSecond = c.perSecond
		w.step(ConfigRead{Config: config})
		b := w.server(plainService, 0)
		b.SlowFor = c.slowFor
		w.register(b)
		if w.router.backends[b.Instance].limited() {
			t.Errorf("limited with %g a second, cold for %v", c.perSecond, c.slowFor)
		}
	}
}
