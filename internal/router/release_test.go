package router

import (
	"slices"
	"testing"

	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/fleet"
)

// releases registers one engine for each release, all with model m0 loaded unless listed in
// without.
func (w *fixture) releases(without []int, releases ...fleet.Release) {
	w.t.Helper()
	list := map[string]fleet.Backend{}
	for i, release := range releases {
		b := w.server(engineService, i)
		b.Release = release
		list[b.Instance] = b
	}
	w.step(BackendsRead{Backends: list})
	for i := range releases {
		models := loadedModels("m0")
		if slices.Contains(without, i) {
			models = nil
		}
		w.reportEngine(i, core.Holdings{Models: models})
	}
}

// begin sends a stream, lets its server answer, and returns its key and first attempt.
func (w *fixture) begin(route string) (Key, Send) {
	w.t.Helper()
	key := w.call(route, prompt("m0"))
	send := w.lastSend(key)
	w.step(Answered{Key: key, Attempt: send.Attempt, Answer: fleet.Answer{Status: 200}})
	return key, send
}

func (w *fixture) breakOff(key Key, send Send) {
	w.t.Helper()
	w.step(AttemptFailed{Key: key, Attempt: send.Attempt, Failure: Broken})
}

// releaseOf returns the release of a server.
func (w *fixture) releaseOf(instance string) fleet.Release {
	return w.router.backends[instance].Release
}

// Guards against an answer whose events come from two releases: after its first event, a stream
// continues at a server of the release that began it.
func TestStreamContinuesAtItsRelease(t *testing.T) {
	for range 20 {
		w := newFixture(t)
		w.releases(nil, v1, v2, v1, v2, v2)
		key, first := w.begin("patient")
		w.step(FirstEvent{Key: key, Attempt: first.Attempt})
		w.breakOff(key, first)
		second := w.lastSend(key)
		if second.Attempt != 2 || w.releaseOf(second.Instance) != w.releaseOf(first.Instance) {
			t.Fatalf("began at %v, attempt %d at %v", w.releaseOf(first.Instance), second.Attempt, w.releaseOf(second.Instance))
		}
	}
}

// Guards against callers who lose an answer that any server may still begin.
func TestStreamIsNotBoundBeforeItsFirstEvent(t *testing.T) {
	w := newFixture(t)
	w.releases(nil, v1, v2)
	key, first := w.begin("patient")
	w.breakOff(key, first)
	if second := w.lastSend(key); second.Attempt != 2 || second.Instance == first.Instance {
		t.Errorf("not sent to the other server: %+v", second)
	}
}

// Without a server of its release, or if its release is not known, a stream is broken off at once,
// so that its caller need not wait for nothing.
func TestStreamWithoutAServerOfItsReleaseIsBrokenOff(t *testing.T) {
	unknown := fleet.Release{}
	tests := map[string][]fleet.Release{
		"no other server of it": {v1, v2},
		"unknown":               {unknown, unknown},
		"three releases":        {v1, v2, {Name: "v3", Known: true}},
	}
	for name, releases := range tests {
		t.Run(name, func(t *testing.T) {
			w := newFixture(t)
			w.releases(nil, releases...)
			key, first := w.begin("patient")
			w.step(FirstEvent{Key: key, Attempt: first.Attempt})
			w.breakOff(key, first)
			if end := w.finishes[key]; len(w.sends[key]) != 1 || end.Code != code.AnswerCut {
				t.Errorf("sent %d times, ended with %+v", len(w.sends[key]), end)
			}
		})
	}
}

// Guards against a stream that is lost although a server of its release can load its model: its
// load must not be asked of a server of another release.
func TestStreamWaitsForItsModelAtItsRelease(t *testing.T) {
	w := newFixture(t)
	w.releases([]int{2}, v1, v2, v1)
	key, first := w.begin("patient")
	for first.Instance != "s0" {
		key, first = w.begin("patient")
	}
	w.step(FirstEvent{Key: key, Attempt: first.Attempt})
	w.breakOff(key, first)
	req := w.router.requests[key]
	if req == nil || req.waiting == nil || req.waiting.home.Instance != "s2" {
		t.Fatalf("does not wait for s2: %+v, %+v", req, w.finishes[key])
	}
	w.reportEngine(1, core.Holdings{Models: loadedModels("m0")})
	w.reportEngine(2, core.Holdings{Models: loadedModels("m0")})
	if second := w.lastSend(key); second.Instance != "s2" {
		t.Errorf("sent to %s", second.Instance)
	}
}

// Guards against a stream that is moved to another release because its server has become silent.
func TestStalledStreamStaysAtItsRelease(t *testing.T) {
	w := newFixture(t)
	w.releases(nil, v1, v2)
	key, first := w.begin("patient")
	w.step(FirstEvent{Key: key, Attempt: first.Attempt})
	w.step(Stalled{Key: key, Attempt: first.Attempt})
	if len(w.sends[key]) != 1 || w.abandons[key] != 0 {
		t.Errorf("moved: %+v", w.sends[key])
	}
}

// The release of a server belongs to its incarnation: it must outlast news of routers that do not
// tell it, and end with a restart.
func TestReleaseBelongsToAnIncarnation(t *testing.T) {
	w := newFixture(t)
	b := w.server(engineService, 0)
	b.Born = 10
	w.step(BackendsRead{Backends: map[string]fleet.Backend{"s0": b}})
	entry := b.Listed()
	entry.Release = nil
	w.step(NewsReceived{News: core.RegistryNews{Written: []core.ListedBackend{entry}}})
	if got := w.releaseOf("s0"); got != v1 {
		t.Errorf("after news without release: %v", got)
	}
	w.reportEngine(0, core.Holdings{Born: 20})
	if got := w.releaseOf("s0"); got.Known {
		t.Errorf("after a restart: %v", got)
	}
	b.Born, b.Release = 20, v2
	w.step(NewsReceived{News: core.RegistryNews{Written: []core.ListedBackend{b.Listed()}}})
	if got := w.releaseOf("s0"); got != v2 {
		t.Errorf("after the entry of the new incarnation: %v", got)
	}
}

// A change of a server's release alone must reach the other routers.
func TestChangedReleaseIsNews(t *testing.T) {
	w := newFixture(t)
	b := w.server(engineService, 0)
	w.step(BackendsRead{Backends: map[string]fleet.Backend{"s0": b}})
	b.Release = v2
	if news := w.router.ChangedEntries(map[string]fleet.Backend{"s0": b}); len(news) != 1 || *news[0].Release != "v2" {
		t.Errorf("news %+v", news)
	}
}

// Guards against a stream that is sent to another release by a permit that was requested before
// its server restarted with it.
func TestPermitDoesNotOutlastTheRelease(t *testing.T) {
	w := newFixture(t)
	w.releases(nil, v1, v1)
	key, first := w.begin("patient")
	w.step(FirstEvent{Key: key, Attempt: first.Attempt})
	req := w.router.requests[key]
	other := w.router.backends["s0"]
	if first.Instance == "s0" {
		other = w.router.backends["s1"]
	}
	if !w.router.serves(other, req) {
		t.Fatal("a server of the same release does not serve it")
	}
	other.Release = v2
	if w.router.serves(other, req) {
		t.Error("a server of another release serves it")
	}
}
