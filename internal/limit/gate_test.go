package limit

import (
	"testing"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
)

// limitedGate returns the gate of a server that takes 2 requests a second.
func limitedGate(now core.Time) *Gate {
	g := NewGate(0.5)
	g.Update(now, named(2, now-10, now))
	return g
}

// The loader that counts was frozen for a moment. One of 100 routers has used turns
// meanwhile, one each 50 s, and has none now. Once it may ask the loader again it must do
// so, and not refuse its callers until its next turn.
func TestRouterAsksLoaderAgainAfterTimeout(t *testing.T) {
	g := limitedGate(start)
	g.RecordTimeout(start)
	if g.TakeTurn(start, 100) {
		t.Fatal("the router has a turn now; the test needs one without")
	}
	if delay := g.Delay(start, false); delay > localDuration {
		t.Errorf("blocked for %v while the loader may answer in %v", delay, localDuration)
	}
}

// The same, after the loader was down and is connected again.
func TestRouterAsksLoaderAgainAfterReconnect(t *testing.T) {
	g := limitedGate(start)
	g.TakeTurn(start, 100)
	if delay := g.Delay(start, false); delay < localDuration {
		t.Fatalf("blocked for %v; the test needs a later turn", delay)
	}
	g.LoaderReconnected(start)
	if delay := g.Delay(start, false); delay > 0 {
		t.Errorf("blocked for %v with the loader connected", delay)
	}
}

// A server announces a limit of twelve digits, and no loader counts. Guards against the
// time between two turns rounding to 0: a router divided by it and crashed.
func TestHugeLimitWithoutLoader(t *testing.T) {
	g := NewGate(0.5)
	g.Update(start, named(999_999_999_999, start-10, start))
	for i := range 3 {
		if now := start.Add(1000 * time.Duration(i+1)); !g.TakeTurn(now, 1) {
			t.Errorf("request %d was refused", i)
		}
	}
}
