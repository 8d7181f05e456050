package router

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/fleet"
)

// promptWith returns a prompt with shared parts and a last part of its own.
func promptWith(model string, shared ...string) *fleet.Prompt {
	p := prompt(model)
	for _, id := range shared {
		p.Parts = append(p.Parts, fleet.PromptPart{ID: id, Tokens: 100})
	}
	p.Parts = append(p.Parts, fleet.PromptPart{ID: "own", Tokens: 50})
	return p
}

// callParts delivers a request unlike any other with shared parts and returns its key.
func (w *fixture) callParts(routeName string, shared ...string) Key {
	w.t.Helper()
	return w.callWithFingerprint(core.Fingerprint(1_000_000+w.nextID), routeName, promptWith("m1", shared...))
}

// beginAnswer reports the first event of a request.
func (w *fixture) beginAnswer(key Key) {
	w.t.Helper()
	w.step(FirstEvent{Key: key, Attempt: w.lastSend(key).Attempt})
}

func (w *fixture) partEnds(id string) int {
	return w.router.ledger.Ends(partFingerprint(engineService, id))
}

// The last part of a prompt belongs to its request. It must be no suspect of its own, and a
// prompt without another part has none.
func TestLastPartIsNoSuspect(t *testing.T) {
	w := newEnginesFixture(t, 4)
	w.crashUnder(w.callParts("quick", "all", "some"))
	w.crashUnder(w.callParts("quick"))
	for id, want := range map[string]int{"all": 1, "some": 1, "own": 0} {
		if got := w.partEnds(id); got != want {
			t.Errorf("%d servers ended under %s, want %d", got, id, want)
		}
	}
}

// Guards against taking a part for harmful that an engine wrote on before it ended: a request
// whose answer began well before the end must not count, one that had just begun must.
func TestAnswerThatHadBegunIsNoEvidence(t *testing.T) {
	for name, lived := range map[string]time.Duration{"just begun": liveAfter / 2, "long begun": liveAfter} {
		w := newEnginesFixture(t, 2)
		key := w.callParts("quick", "all")
		w.beginAnswer(key)
		w.now = w.now.Add(lived)
		w.crashUnder(key)
		want := 1
		if lived >= liveAfter {
			want = 0
		}
		if got := w.partEnds("all"); got != want {
			t.Errorf("%s: %d servers ended under it, want %d", name, got, want)
		}
	}
}

// An engine ends under a part, and another one writes an answer on it and continues to run. That
// must clear the part; an answer that began before the end, or that has only just begun, must
// not.
func TestWrittenPartIsHarmless(t *testing.T) {
	w := newEnginesFixture(t, 4)
	early := w.callParts("quick", "all")
	w.beginAnswer(early)
	w.now = w.now.Add(10 * time.Millisecond)
	w.crashUnder(w.callParts("quick", "all"))
	w.run(liveAfter)
	if w.partEnds("all") != 1 {
		t.Fatal("cleared by an answer that began before the end")
	}
	late := w.callParts("quick", "all")
	w.beginAnswer(late)
	w.run(liveAfter / 2)
	if w.partEnds("all") != 1 {
		t.Error("cleared by an answer that has only just begun")
	}
	w.run(liveAfter)
	if w.partEnds("all") != 0 {
		t.Error("not cleared by an engine that continues to run")
	}
	if !slices.ContainsFunc(w.logs, func(l Log) bool { return l.Message == "parts of a prompt are harmless: a server wrote on them" }) {
		t.Error("not logged")
	}
}

// A request has more parts than are recorded. Those under which servers have ended already must
// be among the recorded ones.
func TestSuspectsAreRecordedFirst(t *testing.T) {
	w := newEnginesFixture(t, 4)
	w.crashUnder(w.callParts("quick", "bad"))
	var ids []string
	for i := range 1000 {
		ids = append(ids, fmt.Sprint("made-up-", i))
	}
	w.crashUnder(w.callParts("quick", append(ids, "bad")...))
	if w.partEnds("bad") != 2 || w.partEnds("made-up-0") != 1 || w.partEnds("made-up-999") != 0 {
		t.Errorf("ends: bad %d, first %d, last %d", w.partEnds("bad"), w.partEnds("made-up-0"), w.partEnds("made-up-999"))
	}
}
