package limit

import (
	"testing"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
)

// limitedGate is a gate of a server that takes 2 requests a second, and decides alone.
func limitedGate(now core.Time) *Gate {
	g := NewGate(0.5)
	g.Update(now, named(2, now-10, now))
	return g
}

// The loader that counts was frozen for a moment. One of 100 routers has gone by turns
// meanwhile, each 50 s, and found none. Once it may ask the loader again it must, and not
// refuse its callers until its next turn.
func TestRouterAsksAgainOnceTheLoaderMayAnswer(t *testing.T) {
	g := limitedGate(start)
	g.RecordTimeout(start)
	if g.TakeTurn(start, 100) {
		t.Fatal("it has a turn now; the test needs one that has none")
	}
	if room := g.Delay(start, false); room > silentFor {
		t.Errorf("no room for %v while the loader may answer in %v", room, silentFor)
	}
}

// The same, and the loader was gone and is connected again.
func TestRouterAsksAgainOnceTheLoaderIsBack(t *testing.T) {
	g := limitedGate(start)
	g.TakeTurn(start, 100)
	if room := g.Delay(start, false); room < silentFor {
		t.Fatalf("room in %v; the test needs a turn that is far", room)
	}
	g.LoaderReconnected(start)
	if room := g.Delay(start, false); room > 0 {
		t.Errorf("no room for %v with the loader connected", room)
	}
}

// A server names a limit of twelve digits, and no loader counts. The time between two turns
// rounds to nothing, by which a router divided and ended.
func TestHugeLimitAlone(t *testing.T) {
	g := NewGate(0.5)
	g.Update(start, named(999_999_999_999, start-10, start))
	for i := range 3 {
		if now := start.Add(1000 * time.Duration(i+1)); !g.TakeTurn(now, 1) {
			t.Errorf("request %d was refused", i)
		}
	}
}
