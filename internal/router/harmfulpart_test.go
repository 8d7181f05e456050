package router

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/poison"
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

// runAllButFirst is run with sound requests at all routers but the first one, which gets none.
func (fleet partFleet) runAllButFirst(d time.Duration, sound string) {
	const step = 100 * time.Millisecond
	for range d / step {
		for _, w := range fleet[1:] {
			if key := w.callParts("quick", sound); len(w.sends[key]) > 0 {
				w.beginAnswer(key)
			}
		}
		for _, w := range fleet {
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

// makePartPoison reports to a router that three servers ended under requests that hold a part, and
// lets its own engines answer others.
func (w *fixture) makePartPoison(id string) {
	w.t.Helper()
	w.step(PoisonReported{News: core.PoisonNews{Ends: partPoisonEnds(id)}})
	w.answerOther()
}

// answerOther lets an engine answer a request without parts and continue to run.
func (w *fixture) answerOther() {
	w.t.Helper()
	key := w.callParts("quick")
	w.beginAnswer(key)
	w.run(liveAfter + tickInterval)
}

// refresh makes the loaders of the engines that have not ended report again.
func (w *fixture) refresh() {
	w.t.Helper()
	for i := range len(w.router.loaders) {
		if b := w.router.backends[fmt.Sprintf("s%d", i)]; b != nil && b.endedAt == 0 {
			routers := w.router.routers()
			w.reportHoldings(i, core.Holdings{Instance: b.Instance, Models: loadedModels("m1"), OnDisk: []string{"m2"}, FreeMB: 40_000})
			w.router.loaders[loaderName(i)].holdings.Routers = routers
		}
	}
}

func partPoisonEnds(id string) []core.ServerEnd {
	ends := poisonEnds()
	for i := range ends {
		ends[i].Ago = time.Duration(3-i) * time.Second
		ends[i].Requests[0].Fingerprint = core.Fingerprint(500 + i)
		ends[i].Parts = []core.LostPart{{Part: partFingerprint(engineService, id), Holders: []uint16{0}}}
	}
	return ends
}

// The conclusion on a part is reached while requests that hold it wait here for their model, and
// are at an engine that has not begun. All must end at once, the engine must be spared, and a
// stream that has begun must continue. They are no demand from then on.
func TestPendingRequestsWithHarmfulPartAreEnded(t *testing.T) {
	w := newEnginesFixture(t, 2)
	for i := range 2 {
		w.reportHoldings(i, core.Holdings{Instance: fmt.Sprintf("s%d", i), Models: loadedModels("m1"), OnDisk: []string{"m2"}, FreeMB: 40_000})
	}
	begun := w.callParts("quick", "all", "bad")
	w.beginAnswer(begun)
	w.run(time.Second)
	w.refresh()
	// A server has written on the part here, so that five ends are needed.
	ends := append(partPoisonEnds("bad"), partPoisonEnds("bad")[:2]...)
	for i := range ends {
		ends[i].Life.Instance, ends[i].Requests[0].Fingerprint = fmt.Sprint("gone", i), core.Fingerprint(500+i)
		ends[i].Ago = time.Duration(5-i) * 60 * time.Millisecond
	}
	w.step(PoisonReported{News: core.PoisonNews{Ends: ends}})
	waiting := w.callWithFingerprint(901, "quick", promptWith("m2", "all", "bad"))
	unread := w.callParts("quick", "all", "bad")
	w.answerOther()
	w.run(time.Second)
	w.wantBlocked(waiting)
	if w.finishes[unread].Code != code.PoisonPart || w.abandons[unread] != 1 {
		t.Errorf("unread: ended with %v, attempt %d abandoned", w.finishes[unread].Code, w.abandons[unread])
	}
	if finish, ok := w.finishes[begun]; ok {
		t.Errorf("begun: ended with %v", finish.Code)
	}
	rates := len(w.router.service(engineService).rates)
	w.wantBlocked(w.callWithFingerprint(902, "quick", promptWith("m7", "bad")))
	if len(w.router.waits) != 0 || len(w.router.service(engineService).rates) != rates {
		t.Errorf("counted as demand: %d waits", len(w.router.waits))
	}
}

// A resumable request holds a harmful part, and its engine ends, which is known a moment after the
// connection closed. The second attempt, sent meanwhile, must be abandoned, and no third be sent.
func TestOwnRetryWithHarmfulPartIsAbandoned(t *testing.T) {
	w := newEnginesFixture(t, 4)
	w.step(PoisonReported{News: core.PoisonNews{Ends: partPoisonEnds("bad")[:2]}})
	w.answerOther()
	key := w.callParts("patient", "bad")
	w.crashUnder(key)
	if len(w.sends[key]) != 2 || w.abandons[key] != 2 || w.finishes[key].Code != code.PoisonPart {
		t.Errorf("sent %d times, attempt %d abandoned, ended with %v", len(w.sends[key]), w.abandons[key], w.finishes[key].Code)
	}
}

// A part is blocked, and an answer that was under way goes on. The router must allow the part
// again, say so to the others, and replace the evidence in the store.
func TestBlockedPartThatIsWrittenOnIsAllowed(t *testing.T) {
	w := newEnginesFixture(t, 4)
	begun := w.callParts("quick", "fine")
	w.makePartPoison("fine")
	w.published, w.relayed = nil, nil
	w.wantBlocked(w.callParts("quick", "fine"))
	if w.finishes[begun].Code != code.PoisonPart {
		t.Fatal("the attempt that had not begun was not ended")
	}
	other := newEnginesFixture(t, 4)
	other.step(PoisonReported{News: core.PoisonNews{Ends: partPoisonEnds("fine")[:2]}})
	other.answerOther()
	late := other.callParts("quick", "fine")
	other.beginAnswer(late)
	other.step(PoisonReported{News: core.PoisonNews{Ends: partPoisonEnds("fine")[2:]}})
	other.wantBlocked(other.callParts("quick", "fine"))
	other.run(liveAfter + tickInterval)
	relay([]*fixture{w}, other, other.relayed[len(other.relayed)-1].News)
	for _, router := range []*fixture{w, other} {
		router.lastSend(router.callParts("quick", "fine"))
	}
	if n := len(other.published); n == 0 || len(other.published[n-1].News.Harmless) != 1 {
		t.Errorf("published %+v", other.published)
	}
}

// Guards against a sound part that one router sees to be harmless and the others block: it is lost
// at three engines, with an answer at the same router after each of the first two.
func TestHarmlessPartIsToldToOthers(t *testing.T) {
	for _, size := range []int{12, 470} {
		fleet := newPartFleet(t, size, 8)
		for _, w := range fleet {
			w.router.loaders[loaderName(7)].holdings.Routers = size
		}
		tells := 0
		for i := range 3 {
			fleet.crash(1+i, "rare")
			key := fleet[0].callParts("quick", "rare")
			if len(fleet[0].sends[key]) > 0 {
				fleet[0].beginAnswer(key)
			}
			for range 20 {
				for _, w := range fleet {
					w.run(tickInterval)
				}
				tells += len(fleet[0].relayed)
				fleet.relay()
			}
			for _, w := range fleet {
				w.refresh()
			}
		}
		for _, w := range fleet {
			w.answerOther()
			w.lastSend(w.callParts("quick", "rare"))
		}
		if tells != 1 {
			t.Errorf("%d routers: told %d times, want once for two ends", size, tells)
		}
	}
}

// Guards against a storm of messages: a part that most requests hold is lost at engines, and every
// router sees within moments that it is harmless. Only a few routers must report it.
func TestPartOfMostRequestsIsToldByFew(t *testing.T) {
	const size = 470
	fleet := newPartFleet(t, size, 8)
	for i := range 2 {
		fleet.crash(i, "all")
	}
	for _, w := range fleet {
		w.reportHoldings(7, core.Holdings{Instance: "s7", Models: loadedModels("m1"), FreeMB: 40_000})
		w.router.loaders[loaderName(7)].holdings.Routers = size
		key := w.callParts("quick", "all")
		w.beginAnswer(key)
	}
	tells := 0
	for range 20 {
		for _, w := range fleet {
			w.run(tickInterval)
			tells += len(w.relayed)
		}
		fleet.relay()
	}
	if tells == 0 || tells > 40 {
		t.Errorf("told by %d of %d routers", tells, size)
	}
	for _, w := range fleet {
		if n := w.partEnds("all"); n != 0 {
			t.Fatalf("%d ends count at a router", n)
		}
	}
}

// An operator lifts the block of a part. Requests that hold it must be sent again, here and, as
// told, at other routers, and the store's evidence must be replaced.
func TestBlockedPartIsLifted(t *testing.T) {
	w := newEnginesFixture(t, 4)
	w.makePartPoison("bad")
	w.wantBlocked(w.callParts("quick", "bad"))
	w.relayed, w.published = nil, nil
	part := partFingerprint(engineService, "bad")
	w.step(LiftPoison{Fingerprint: part})
	w.lastSend(w.callParts("quick", "bad"))
	if len(w.relayed) != 1 || len(w.relayed[0].News.Cleared) != 1 || len(w.published) != 1 || w.published[0].Name != part.String() {
		t.Errorf("relayed %+v, published %+v", w.relayed, w.published)
	}
}

// The evidence for a part that this router saw itself must be in the store, and make it known to a
// router that starts.
func TestEvidenceOfPartOutlastsProcesses(t *testing.T) {
	w := newEnginesFixture(t, 6)
	for range 3 {
		w.crashUnder(w.callParts("quick", "all", "bad"))
		w.answerOther()
		w.run(time.Second)
	}
	if len(w.published) != 1 || len(w.published[0].News.Ends) != 3 {
		t.Fatalf("published %+v", w.published)
	}
	fresh := newEnginesFixture(t, 4)
	fresh.step(PoisonReported{News: w.published[0].News})
	fresh.answerOther()
	fresh.wantBlocked(fresh.callParts("quick", "bad"))
	fresh.lastSend(fresh.callParts("quick", "all"))
}

// Guards against blocking a part that all requests hold when ends are known late: connections
// break while the store is away, engines answer others meanwhile, and the registry shows seconds
// later that three engines had ended.
func TestEndsKnownLateBlockNoPart(t *testing.T) {
	w := newEnginesFixture(t, 6)
	var ended []string
	for range 3 {
		key := w.callParts("quick", "all")
		ended = append(ended, w.lastSend(key).Instance)
		w.closeConnection(key)
		w.now = w.now.Add(300 * time.Millisecond)
		w.refresh()
	}
	served := w.callParts("quick", "all")
	w.beginAnswer(served)
	w.run(liveAfter + tickInterval)
	removed := map[string]bool{}
	for _, instance := range ended {
		removed[instance] = true
	}
	w.step(BackendsChanged{Removed: removed})
	w.answerOther()
	w.run(time.Second)
	if w.router.ledger.Poison(partFingerprint(engineService, "all")) {
		t.Error("the part is blocked")
	}
}

// Guards against a router that gets requests with a poison part and no others of the service: it never
// sees an answer that would show that the part is it, although all other routers have found it.
func TestRouterWithoutSoundRequestsBlocksAHarmfulPart(t *testing.T) {
	for _, size := range []int{3, 68, 470} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			fleet := newPartFleet(t, size, 8)
			for range 5 {
				fleet.crash(0, "all", "bad")
				fleet.runAllButFirst(200*time.Millisecond, "all")
			}
			fleet.runAllButFirst(1500*time.Millisecond, "all")
			fleet[0].wantBlocked(fleet[0].callParts("quick", "all", "bad"))
		})
	}
}

// Guards against a poison part that is never suspected because more parts than are recorded come before
// it: the others have been served.
func TestHarmfulPartBehindManyOthersIsBlocked(t *testing.T) {
	fleet := newPartFleet(t, 3, 8)
	var others []string
	for i := range 2 * poison.MaxParts {
		others = append(others, fmt.Sprint("part", i))
	}
	for _, w := range fleet {
		w.beginAnswer(w.callParts("quick", others...))
	}
	fleet.run(time.Second, "all")
	for i := range 5 {
		fleet.crash(i%3, append(slices.Clone(others), "bad")...)
		fleet.run(200*time.Millisecond, "all")
	}
	fleet.run(time.Second, "all")
	for _, w := range fleet {
		w.wantBlocked(w.callParts("quick", append(slices.Clone(others), "bad")...))
		w.lastSend(w.callParts("quick", others...))
	}
}
