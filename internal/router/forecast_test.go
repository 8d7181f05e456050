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

// answer makes the first event of a generation's current attempt come, and its
// end with it.
func (w *world) answer(key Key) {
	w.t.Helper()
	attempt := w.lastSend(key).Attempt
	w.step(Answered{Key: key, Attempt: attempt, Answer: fleet.Answer{Status: 200}})
	w.step(FirstEvent{Key: key, Attempt: attempt})
	w.step(Done{Key: key, Attempt: attempt, Events: 10, Pause: 20 * time.Millisecond})
}

// teach lets engines answer some prompts of known time, so that their speed is
// known: 26 us a token.
func (w *world) teach(model string, hold func()) {
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

// Callers with long and with short prompts share two engines. Counted as
// requests, three long prompts at one engine look like three short ones at the
// other: further callers wait 0.7 s behind the long ones. Work is counted instead.
func TestShortPromptsAvoidLongOnes(t *testing.T) {
	w := newWorld(t)
	w.servers(engineService, 2)
	w.teach("m1", func() { w.tellUnread(0) })
	busy := w.lastSend(w.call("patient", longPrompt("m1", 1))).Instance
	for i := range 5 {
		if got := w.lastSend(w.call("patient", shortPrompt("m1", i))).Instance; got == busy {
			t.Fatalf("short prompt %d went behind the long one, with %d short ones at the other engine", i, i)
		}
	}
}

// A crowded engine reads prompts one after the other. Taken from it because of
// time alone, a prompt was read once more elsewhere, and what had been read of it
// was lost: 516 times in a quiet minute, for a tenth of all reading. While its
// engine says that it reads, a prompt stays, as long as no other is much faster.
func TestCrowdedEngineKeepsItsPrompts(t *testing.T) {
	w, key := worldWithLatePrompt(t, 3)
	for range 16 {
		w.tellUnread(3)
		w.run(100 * time.Millisecond)
	}
	if n := len(w.sends[key]); n != 1 {
		t.Fatalf("sent to %d engines, wanted it to stay", n)
	}
}

// An engine hangs: it has the request, makes no event and says that it reads
// nothing. The caller must be served by another one, well before it leaves.
func TestPromptLeavesAnEngineThatReadsNothing(t *testing.T) {
	w, key := worldWithLatePrompt(t, 0)
	for range 16 {
		w.tellUnread(0)
		w.run(100 * time.Millisecond)
	}
	if n := len(w.sends[key]); n != 2 {
		t.Fatalf("sent to %d engines, wanted it to move once", n)
	}
}

// worldWithLatePrompt has two engines, and a prompt at one of them beside others.
func worldWithLatePrompt(t *testing.T, unread int) (*world, Key) {
	t.Helper()
	w := newWorld(t)
	w.servers(engineService, 2)
	w.teach("m1", func() { w.tellUnread(unread) })
	return w, w.call("patient", longPrompt("m1", 1))
}

// tellUnread lets all loaders say how many prompts their engines read.
func (w *world) tellUnread(unread int) {
	for i := range 2 {
		w.holds(i, core.Holdings{Models: loadedModels("m1"), Unread: unread, Running: unread})
	}
}

// No other engine has the model of a late prompt. Looking for one must not end
// the process.
func TestLatePromptWithoutAnotherEngineStays(t *testing.T) {
	w := newWorld(t)
	w.servers(engineService, 1)
	hold := func() { w.holds(0, core.Holdings{Models: loadedModels("m1")}) }
	w.teach("m1", hold)
	key := w.call("patient", longPrompt("m1", 1))
	for range 15 {
		hold()
		w.run(100 * time.Millisecond)
	}
	if n := len(w.sends[key]); n != 1 {
		t.Fatalf("sent %d times", n)
	}
}

// 68 routers share 78 engines. One request of a router's own was taken for a sign
// that each of the others had one there too: its engine seemed to have 34, more than
// its slots, and those who waited for a model there were refused although the
// engine's own word was that nothing ran.
func TestOwnRequestIsNoSignOfThirtyOthers(t *testing.T) {
	w := newWorld(t)
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
