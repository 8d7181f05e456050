package router

import (
	"testing"
	"time"

	"nutmeglane.example/nutmeglane/internal/fleet"
)

// bornReleases registers engines of a release in their first incarnation, with m1 loaded.
func (w *fixture) bornReleases(releases ...fleet.Release) {
	w.t.Helper()
	w.servers(engineService, 0)
	for i, release := range releases {
		b := w.born(i, firstBorn, "m1")
		b.Release = release
		w.register(b)
		w.reportIncarnation(i, firstBorn, "m1")
	}
	w.run(loaderGrace)
}

// restart makes the router learn that an engine has restarted with another release.
func (w *fixture) restart(i int, release fleet.Release) {
	w.t.Helper()
	b := w.born(i, secondBorn, "m1")
	b.Release = release
	w.register(b)
}

// instanceNumber returns the number of an engine named s0, s1 and so on.
func instanceNumber(instance string) int { return int(instance[1] - '0') }

// Guards against events of two releases in one answer: a stream is bound to the release that its
// server had before a restart, although its first event may come from the one after it.
func TestStreamSentAroundARestartIsNotBoundToTheEarlierRelease(t *testing.T) {
	w := newFixture(t)
	w.bornReleases(v1, v1)
	w.run(100 * time.Millisecond) // the engine restarts unnoticed
	key := w.call("patient", prompt("m1"))
	first := w.lastSend(key)
	w.restart(instanceNumber(first.Instance), v2)
	w.step(Answered{Key: key, Attempt: first.Attempt, Answer: fleet.Answer{Status: 200}})
	w.step(FirstEvent{Key: key, Attempt: first.Attempt})
	if w.abandons[key] != 0 {
		return // its event is not forwarded
	}
	w.breakOff(key, first)
	if second := w.lastSend(key); second.Attempt != first.Attempt {
		t.Errorf("begun at %s, which runs %v since its restart, and resumed at one of %v", first.Instance,
			w.releaseOf(first.Instance), w.releaseOf(second.Instance))
	}
}

// Guards against events of two releases in one answer: the server that resumes a stream has
// restarted with another release, which the router knows when the first event comes.
func TestResumedStreamIsNotForwardedFromAnotherRelease(t *testing.T) {
	w := newFixture(t)
	w.bornReleases(v1, v1)
	key := w.call("patient", prompt("m1"))
	first := w.lastSend(key)
	w.step(Answered{Key: key, Attempt: first.Attempt, Answer: fleet.Answer{Status: 200}})
	w.step(FirstEvent{Key: key, Attempt: first.Attempt})
	w.run(100 * time.Millisecond) // the other engine restarts unnoticed
	w.breakOff(key, first)
	second := w.lastSend(key)
	if second.Attempt == first.Attempt {
		t.Fatal("not resumed")
	}
	w.restart(instanceNumber(second.Instance), v2)
	w.step(Answered{Key: key, Attempt: second.Attempt, Answer: fleet.Answer{Status: 200}})
	w.step(FirstEvent{Key: key, Attempt: second.Attempt})
	if w.abandons[key] != second.Attempt {
		t.Errorf("events of %v follow those of %v", w.releaseOf(second.Instance), w.router.requests[key].release)
	}
}

// Guards against a stream that is broken off although its server only is silent: it is moved, and
// then the other server may not get it.
func TestSilentStreamIsNotMovedWithoutARetry(t *testing.T) {
	cases := map[string]func(w *fixture){
		"the retry budget is used up": func(w *fixture) {
			bounds := testBounds()
			bounds.RetryRatio, bounds.RetrySlack = 0, 0
			w.router.SetBounds(bounds)
		},
		"the process stops too soon": func(w *fixture) { w.step(Stopping{Until: w.now.Add(time.Second)}) },
	}
	for name, prepare := range cases {
		t.Run(name, func(t *testing.T) {
			w := newFixture(t)
			w.releases(nil, v1, v1)
			key, first := w.begin("patient")
			w.step(FirstEvent{Key: key, Attempt: first.Attempt})
			prepare(w)
			w.step(Stalled{Key: key, Attempt: first.Attempt})
			if end, ended := w.finishes[key]; ended || w.abandons[key] != 0 {
				t.Errorf("abandoned attempt %d, ended %t: %v, %s", w.abandons[key], ended, end.Code, end.Reason)
			}
		})
	}
}

// Guards against a stream that is broken off although a server of its release can load its model:
// the other streams in its queue may go to the home, but it was there before.
func TestBoundStreamWaitsForAServerThatItHasNotTried(t *testing.T) {
	w := newFixture(t)
	w.bornReleases(v1, v1)
	var keys [2]Key
	var sends [2]Send
	for tries := 0; keys[0] == 0 || keys[1] == 0; tries++ {
		if tries > 100 {
			t.Fatal("all streams begin at one engine")
		}
		key := w.call("patient", prompt("m1"))
		send := w.lastSend(key)
		i := instanceNumber(send.Instance)
		keys[i], sends[i] = key, send
		w.step(Answered{Key: key, Attempt: send.Attempt, Answer: fleet.Answer{Status: 200}})
		w.step(FirstEvent{Key: key, Attempt: send.Attempt})
	}
	for i := range 2 {
		b := w.born(i, secondBorn)
		w.register(b)
		w.reportIncarnation(i, secondBorn)
	}
	for i := range 2 {
		w.breakOff(keys[i], sends[i])
	}
	for i := range 2 {
		w.reportIncarnation(i, secondBorn, "m1")
	}
	for i := range 2 {
		if last := w.lastSend(keys[i]); last.Instance == sends[i].Instance {
			t.Errorf("stream of s%d is not resumed at the other engine: %v, %s", i, w.finishes[keys[i]].Code, w.finishes[keys[i]].Reason)
		}
	}
}
