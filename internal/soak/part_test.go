package soak

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"
)

const (
	// harmfulPart is the part of prompts on which an engine crashes as it begins to write.
	harmfulPart = "bad"
	// partEnds is the number of crashes from which on users count, partTries the number of
	// requests with the part in the first phase of a test.
	partEnds  = 5
	partTries = 40
	// partSeed selects the networks of the deployments, distinct from other tests.
	partSeed = 60
)

// Guards against a part of prompts that crashes one engine after another. Requests that hold it
// are all different, come to all routers in rotation and share their first part and their account
// with sound ones. If routers knew whole requests only, each one would crash an engine. Once five
// engines have crashed, at most three may reach engines later than reactionTime after that, also
// after a restart of one router and then of all routers and loaders; no sound request may be
// refused as harmful, and the sound ones must be served half as often as before, or more.
func TestHarmfulPartReachesFewServers(t *testing.T) {
	w := newWorld(t, partSeed)
	defer w.close()
	p := newPartCaller(w)
	stop := w.startCallers(3)
	defer stop()
	w.awaitServed(t)
	before := w.servedShare(p, func() { time.Sleep(partTries * poisonPause / 2) })
	p.sendAttempts(partTries)
	after := w.servedShare(p, func() { p.sendAttempts(partTries / 2) })
	w.startAgain(w.routers[:1])
	p.sendAttempts(poisonTries)
	w.startAgain(w.processes())
	w.awaitServed(t)
	p.sendAttempts(poisonTries)
	w.awaitServed(t)
	stop()
	t.Logf("served: %.2f before, %.2f while the part comes", before, after)
	if after < before/2 {
		w.checker.reportViolation("sound requests: %.2f served while a harmful part comes, %.2f before", after, before)
	}
	w.reportPart(t, partSeed)
}

// Guards against the same failure while the store does not answer: routers inform each other by
// way of loaders alone.
func TestHarmfulPartWhileTheStoreIsAway(t *testing.T) {
	w := newWorld(t, partSeed+1)
	defer w.close()
	p := newPartCaller(w)
	stop := w.startCallers(3)
	defer stop()
	w.awaitServed(t)
	w.store.setMode(storeHangs)
	p.sendAttempts(partTries / 2)
	w.store.setMode(storeWorks)
	w.awaitServed(t)
	p.sendAttempts(partTries)
	stop()
	w.reportPart(t, partSeed+1)
}

// Guards against refusing sound requests because of parts that they share with others. Requests
// with a harmful part come continuously during the faults of a seed. The number of crashed engines
// is logged but not bounded here, because routers that are isolated or have just started may not
// know the part.
func TestHarmfulPartAmongFaults(t *testing.T) {
	for i := range *seedCount {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runSeed(t, seed, callPart) })
	}
}

// partRegressions are the regressions of TestHarmfulPartAmongFaults.
var partRegressions = map[uint64]string{
	900:  "a sound part that waited at each of three engines that ended was blocked in place of the harmful one, with as many ends",
	919:  "as seed 900, at a router that had just started",
	926:  "as seed 900, with four ends",
	927:  "as seed 900, beside the harmful part",
	1022: "a sound part was lost at three engines in a row, and the ends of the harmful one were known later, by a router that was paused",
}

// Guards against the failures listed in partRegressions.
func TestPartRegressions(t *testing.T) {
	for _, seed := range sortedKeys(partRegressions) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Log(partRegressions[seed])
			runSeed(t, seed, callPart)
		})
	}
}

// callPart continuously sends requests with a part that crashes each engine.
func callPart(ctx context.Context, w *world, _ uint64) { newPartCaller(w).run(ctx) }

// newPartCaller returns a caller of requests that hold the harmful part and are all different.
func newPartCaller(w *world) *poisonCaller {
	p := newPoisonCaller(w)
	p.change = func(request *http.Request) {
		request.Header.Set("Nutmeglane-Prompt-Prefix", fmt.Sprintf("aa:20,%s:10,%d:10", harmfulPart, p.sent))
	}
	p.body = func() string { return fmt.Sprint("unlike any other: ", p.sent) }
	return p
}

// holdsHarmfulPart reports whether an engine crashes as it begins to answer a request.
func holdsHarmfulPart(h http.Header) bool {
	return strings.Contains(h.Get("Nutmeglane-Prompt-Prefix"), ","+harmfulPart+":")
}

// beginAndCrash begins the answer of a run and crashes the server before its first event.
func (b *backend) beginAndCrash(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	_ = http.NewResponseController(w).Flush() // fails only if the caller has disconnected
	b.crashAndReturn()
	<-r.Context().Done()
}

// servedShare returns the share of the sound requests sent during f that were served.
func (w *world) servedShare(p *poisonCaller, f func()) float64 {
	sent, served := w.checker.requests()-p.sent, w.servedCount()
	f()
	return float64(w.servedCount()-served) / float64(max(1, w.checker.requests()-p.sent-sent))
}

func (w *world) servedCount() int {
	all := 0
	for _, n := range w.checker.counts() {
		all += n
	}
	return all
}

// reportPart checks a world whose callers have stopped.
func (w *world) reportPart(t *testing.T, seed uint64) {
	t.Helper()
	w.quiesce()
	ends, late := w.checker.poisonEnds(), w.checker.lateRuns(partEnds)
	t.Logf("%d servers crashed; requests with the part reached servers %d times later than %v after crash %d", ends, late, reactionTime, partEnds)
	if late > lateRetries {
		w.checker.reportViolation("requests with the part reached servers %d times later than %v after crash %d, %d servers crashed in all", late, reactionTime, partEnds, ends)
	}
	w.report(t, seed, &faults{world: w})
}
