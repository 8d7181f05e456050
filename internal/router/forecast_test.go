package router

import (
	"fmt"
	"testing"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/fleet"
)

// longPrompt takes a quarter of a second to read, shortPrompt a tenth of that.
func longPrompt(model string, n int) *fleet.Prompt {
	return &fleet.Prompt{Model: model, Tokens: 9200, Parts: []fleet.PromptPart{
		{ID: "rules", Tokens: 2500}, {ID: fmt.Sprintf("form%d", n), Tokens: 3800}, {ID: fmt.Sprintf("own%d", n), Tokens: 2900},
	}}
}

func shortPrompt(model string, n int) *fleet.Prompt {
	return &fleet.Prompt{Model: model, Tokens: 800, Parts: []fleet.PromptPart{
		{ID: "greeting", Tokens: 200}, {ID: fmt.Sprintf("small%d", n), Tokens: 600},
	}}
}

// answer delivers the first event of a generation's current attempt, and its end.
func (w *fixture) answer(key Key) {
	w.t.Helper()
	attempt := w.lastSend(key).Attempt
	w.step(Answered{Key: key, Attempt: attempt, Answer: fleet.Answer{Status: 200}})
	w.step(FirstEvent{Key: key, Attempt: attempt})
	w.step(Done{Key: key, Attempt: attempt, End: AnswerEnd{Events: 10}, Pause: 20 * time.Millisecond})
}

// trainSpeed makes engines answer some prompts in a known time, so that their speed is
// known: 26 us a token.
func (w *fixture) trainSpeed(model string, hold func()) {
	w.t.Helper()
	for i := range 12 {
		hold()
		key := w.call("patient", longPrompt(model, 1000+i))
		w.now = w.now.Add(20*time.Millisecond + 9200*26*time.Microsecond)
		w.answer(key)
		w.now = w.now.Add(time.Second)
	}
	hold()
}

// Callers with long and with short prompts share two engines. Counted as requests, three
// long prompts at one engine look like three short ones at the other: further callers wait
// 0.7 s behind the long ones. The reading time must count instead.
func TestShortPromptsAvoidLongOnes(t *testing.T) {
	w := newFixture(t)
	w.servers(engineService, 2)
	w.trainSpeed("m1", func() { w.reportUnread(0) })
	busy := w.lastSend(w.call("patient", longPrompt("m1", 1))).Instance
	for i := range 5 {
		if got := w.lastSend(w.call("patient", shortPrompt("m1", i))).Instance; got == busy {
			t.Fatalf("short prompt %d went behind the long one, with %d short ones at the other engine", i, i)
		}
	}
}

// A crowded engine reads prompts one after the other. When prompts were moved because of
// the elapsed time alone, they were read once more elsewhere, and what had been read was
// lost: 516 times in a minute of low load, for a tenth of all reading. While its engine
// reports that it reads, a prompt must stay, unless another engine is much faster.
func TestCrowdedEngineKeepsItsPrompts(t *testing.T) {
	w, key := newLatePromptFixture(t, 3)
	for range 16 {
		w.reportUnread(3)
		w.run(100 * time.Millisecond)
	}
	if n := len(w.sends[key]); n != 1 {
		t.Fatalf("sent to %d engines, want it to stay", n)
	}
}

// An engine hangs: it has the request, makes no event and reports that it reads nothing.
// Another engine must serve the caller, well before it cancels.
func TestPromptIsMovedFromAnEngineThatReadsNothing(t *testing.T) {
	w, key := newLatePromptFixture(t, 0)
	for range 16 {
		w.reportUnread(0)
		w.run(100 * time.Millisecond)
	}
	if n := len(w.sends[key]); n != 2 {
		t.Fatalf("sent to %d engines, want it to move once", n)
	}
}

// newLatePromptFixture returns a router with two engines, and the key of a prompt at one of
// them beside others.
func newLatePromptFixture(t *testing.T, unread int) (*fixture, Key) {
	t.Helper()
	w := newFixture(t)
	w.servers(engineService, 2)
	w.trainSpeed("m1", func() { w.reportUnread(unread) })
	return w, w.call("patient", longPrompt("m1", 1))
}

// reportUnread makes all loaders report the number of prompts that their engines read.
func (w *fixture) reportUnread(unread int) {
	for i := range 2 {
		w.reportHoldings(i, core.Holdings{Models: loadedModels("m1"), Unread: unread, Running: unread})
	}
}

// No other engine has the model of a late prompt. Looking for one must not crash the
// process.
func TestLatePromptWithoutAnotherEngineStays(t *testing.T) {
	w := newFixture(t)
	w.servers(engineService, 1)
	hold := func() { w.reportHoldings(0, core.Holdings{Models: loadedModels("m1")}) }
	w.trainSpeed("m1", hold)
	key := w.call("patient", longPrompt("m1", 1))
	for range 15 {
		hold()
		w.run(100 * time.Millisecond)
	}
	if n := len(w.sends[key]); n != 1 {
		t.Fatalf("sent %d times", n)
	}
}

// Guards against extrapolating a single request: 68 routers share 78 engines, and one
// request of a router's own counted as if each of the others had one there too. Its engine
// seemed to have 34, more than its slots, and requests that waited for a model there were
// refused although the engine reported that nothing ran.
func TestOwnRequestIsNotExtrapolatedToAllRouters(t *testing.T) {
	w := newFixture(t)
	w.servers(engineService, 2)
	hold := func() {
		for i := range 2 {
			w.step(LoaderUp{Loader: loaderName(i)})
			w.step(LoaderReported{Loader: loaderName(i), Holdings: core.Holdings{Models: loadedModels("m1"), Routers: 68, Coordinator: "10.0.0.1"}})
		}
	}
	hold()
	w.lastSend(w.call("patient", prompt("m1")))
	hold()
	for _, b := range w.router.serversOf(engineService) {
		if got := w.router.outstanding(b); got > len(b.sent)+1 {
			t.Errorf("%d requests estimated at %s, where %d are known of", got, b.Instance, len(b.sent))
		}
		if ahead := w.router.othersAhead(b); ahead > 10*time.Millisecond {
			t.Errorf("%v of others' prompts estimated at %s", ahead, b.Instance)
		}
	}
}
