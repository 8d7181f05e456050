package router

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/fleet"
)

// Guards against herding: ten requests a second reach each of five routers for a model with
// four copies, and the loaders' reports are a quarter of a second old. Without
// extrapolation all routers send to the same copy until the next report. Each must spread
// its requests despite the old report.
func TestRequestsSpreadDespiteOldReport(t *testing.T) {
	w := newFixture(t)
	w.servers(engineService, 4)
	for i := range 4 {
		running := 10
		if i == 2 {
			running = 7 // least loaded, according to the old report
		}
		w.step(LoaderUp{Loader: loaderName(i)})
		w.step(LoaderReported{Loader: loaderName(i), Holdings: core.Holdings{
			Models: loadedModels("m1"), Running: running, Routers: 5, Coordinator: "10.0.0.9",
		}})
	}
	w.router.services[engineService].speed.share = 0.04
	got := map[string]int{}
	for range 12 {
		got[w.lastSend(w.call("quick", prompt("m1"))).Instance]++
	}
	for i := range 4 {
		if n := got[fmt.Sprintf("s%d", i)]; n < 1 || n > 6 {
			t.Fatalf("requests by server: %v, want them spread", got)
		}
	}
}

// A server hangs: it accepts requests and answers none, while its registry entry is good.
// After the first few have waited too long, the others must get the requests.
func TestHangingServerIsAvoided(t *testing.T) {
	w := newFixture(t)
	w.servers(plainService, 3)
	toHung := 0
	for i := range 60 {
		key := w.call("once", nil)
		send := w.lastSend(key)
		if send.Instance == "s1" {
			if i >= 30 {
				toHung++
			}
		} else {
			w.now = w.now.Add(30 * time.Millisecond)
			w.step(Answered{Key: key, Attempt: send.Attempt, Answer: fleet.Answer{Status: 200}})
			w.step(Done{Key: key, Attempt: send.Attempt})
		}
		w.run(50 * time.Millisecond)
	}
	if toHung > 3 {
		t.Fatalf("%d of the last 30 requests went to the server that hangs", toHung)
	}
}

// A grey server fails its requests quickly, and therefore always looks idle. It must not
// attract the requests that the others would serve.
func TestGreyServerDoesNotAttract(t *testing.T) {
	w := newFixture(t)
	w.servers(plainService, 3)
	toGrey := 0
	for i := range 90 {
		key := w.call("once", nil)
		send := w.lastSend(key)
		status := 200
		if send.Instance == "s1" {
			status = 500
			if i >= 30 {
				toGrey++
			}
		}
		w.run(50 * time.Millisecond)
		w.step(Answered{Key: key, Attempt: send.Attempt, Answer: fleet.Answer{Status: status}})
		w.step(Done{Key: key, Attempt: send.Attempt})
	}
	if toGrey > 6 {
		t.Fatalf("%d of the last 60 requests went to the grey server", toGrey)
	}
}

// Long prompts share their first 6,000 tokens. Reading them again at each engine costs a
// third of a second each time; the prompts must go where they are cached.
func TestLongSharedPromptsGather(t *testing.T) {
	w := newFixture(t)
	w.servers(engineService, 4)
	for i := range 4 {
		w.reportHoldings(i, core.Holdings{Models: loadedModels("m1")})
	}
	got := map[string]bool{}
	for i := range 8 {
		p := &fleet.Prompt{Model: "m1", Tokens: 9000, Parts: []fleet.PromptPart{
			{ID: "a", Tokens: 2500}, {ID: "b", Tokens: 3500}, {ID: fmt.Sprintf("own%d", i), Tokens: 3000},
		}}
		key := w.call("quick", p)
		send := w.lastSend(key)
		got[send.Instance] = true
		w.step(Answered{Key: key, Attempt: 1, Answer: fleet.Answer{Status: 200}})
		w.step(Done{Key: key, Attempt: 1})
	}
	if len(got) != 1 {
		t.Fatalf("sent to %d engines, want one", len(got))
	}
}

// Guards against an estimate that is never corrected: one answer took 1.5 s because the server's
// process stood still, and it got no request afterwards for as long as the others had room.
func TestSlowAnswerIsForgotten(t *testing.T) {
	w := newFixture(t)
	w.servers(plainService, 3)
	for _, took := range []time.Duration{10, 10, 10, 700} {
		key := w.call("once", nil)
		w.now = w.now.Add(took * time.Millisecond)
		w.serve(key)
		w.run(100 * time.Millisecond)
	}
	slowest := slices.MaxFunc(slices.Collect(maps.Values(w.router.backends)), func(a, b *backend) int { return cmp.Compare(a.latency, b.latency) })
	first := slowest.Instance
	again := 0
	for i := range 600 {
		key := w.call("once", nil)
		if w.lastSend(key).Instance == first {
			again++
		}
		w.now = w.now.Add(time.Duration(8+i%5) * time.Millisecond)
		w.serve(key)
		w.run(100 * time.Millisecond)
	}
	if again == 0 {
		t.Fatalf("%s got no request within a minute after one slow answer", first)
	}
}
