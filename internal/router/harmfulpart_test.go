package router

import (
	"fmt"
	"testing"
	"time"

	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
)

// partFleet is a number of routers whose loaders relay news between all of them.
type partFleet []*fixture

func newPartFleet(t *testing.T, size, engines int) partFleet {
	fleet := make(partFleet, size)
	for i := range fleet {
		fleet[i] = newEnginesFixture(t, engines)
		fleet[i].nextID = 100 * i // no two requests are alike
	}
	return fleet
}

// crash sends a request with shared parts to a router and makes its engine end as it begins to
// answer. All loaders and routers receive what follows.
func (fleet partFleet) crash(at int, shared ...string) {
	w := fleet[at]
	w.t.Helper()
	key := w.callParts("quick", shared...)
	engine := w.lastSend(key).Instance
	w.closeConnection(key)
	for _, other := range fleet {
		other.loaderFindsGone(engine)
	}
	fleet.relay()
}

// relay delivers the news that routers have sent to all others.
func (fleet partFleet) relay() {
	for _, w := range fleet {
		for _, sent := range w.relayed {
			relay(fleet, w, sent.News)
		}
		w.relayed = nil
	}
}

// run advances the time of all routers in ticks. With each, a sound request with a part is
// answered at every router.
func (fleet partFleet) run(d time.Duration, sound string) {
	const step = 100 * time.Millisecond
	for range d / step {
		for _, w := range fleet {
			key := w.callParts("quick", sound)
			if len(w.sends[key]) > 0 {
				w.beginAnswer(key)
			}
			w.run(step)
		}
		fleet.relay()
	}
}

func (w *fixture) wantBlocked(key Key) {
	w.t.Helper()
	if finish, ok := w.finishes[key]; !ok || finish.Code != code.PoisonPart || len(w.sends[key]) > 0 {
		w.t.Errorf("ended with %v, sent to %v; want %v and no server", finish.Code, w.sends[key], code.PoisonPart)
	}
}

// Guards against a part of prompts that crashes one engine after another (BUDGET): five engines
// end within a second, each under another request that holds the part, each at another router of
// 12, 68 or 470. A second later all routers must refuse further ones at once, and send sound
// requests that share the first part.
func TestHarmfulPartIsKnownAtAllRouters(t *testing.T) {
	for _, size := range []int{12, 68, 470} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			fleet := newPartFleet(t, size, 8)
			fleet.run(100*time.Millisecond, "all")
			for i := range 5 {
				fleet.crash(i*size/5, "all", "bad")
				fleet.run(200*time.Millisecond, "all")
			}
			fleet.run(time.Second, "all")
			for _, w := range fleet {
				w.wantBlocked(w.callParts("quick", "all", "bad"))
				w.wantBlocked(w.callWithFingerprint(core.Fingerprint(w.nextID), "patient", promptWith("m2", "bad", "other")))
				w.lastSend(w.callParts("quick", "all"))
				w.lastSend(w.callParts("quick", "all", "other"))
			}
		})
	}
}
