package router

import (
	"fmt"
	"testing"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/fleet"
)

// callWithFingerprint delivers a request with a fingerprint and returns its key.
func (w *fixture) callWithFingerprint(work core.Fingerprint, routeName string, prompt *fleet.Prompt) Key {
	w.t.Helper()
	w.nextID++
	key := Key(w.nextID)
	w.step(Arrived{Key: key, Request: fleet.Request{
		ID: fmt.Sprintf("r%d", w.nextID), Fingerprint: work, Host: callersHost, Path: "/" + routeName + "/x", Prompt: prompt,
	}})
	return key
}

// closeConnection reports that the server of a request closed its connection.
func (w *fixture) closeConnection(key Key) {
	w.t.Helper()
	w.step(AttemptFailed{Key: key, Attempt: w.lastSend(key).Attempt, Failure: NoAnswer, Peer: PeerClosed, Cause: "EOF"})
}

// A server closes the connection of a request. That alone may concern one connection only;
// together with any sign that the server's process is gone it counts as an end on the
// request.
func TestSignsOfAServersEnd(t *testing.T) {
	successor := func(w *fixture) fleet.Backend {
		b := w.born(0, 0)
		b.Instance = "s9"
		return b
	}
	for name, sign := range map[string]struct {
		do   func(w *fixture)
		ends int
	}{
		"no sign":                   {func(w *fixture) { w.run(time.Second) }, 0},
		"its port refuses":          {func(w *fixture) { w.refuseConnection() }, 1},
		"its loader finds it gone":  {func(w *fixture) { w.reportHoldings(0, core.Holdings{Instance: "s0", Ended: true}) }, 1},
		"another loader's engine":   {func(w *fixture) { w.reportHoldings(1, core.Holdings{Instance: "s1", Ended: true}) }, 0},
		"another instance is there": {func(w *fixture) { w.register(successor(w)) }, 1},
		"the registry drops it":     {func(w *fixture) { w.step(BackendsChanged{Removed: map[string]bool{"s0": true}}) }, 1},
		"much later":                {func(w *fixture) { w.run(lostWindow); w.refuseConnection() }, 0},
		"it was to leave": {func(w *fixture) {
			b := w.born(0, 0)
			b.Draining = true
			w.register(b)
			w.step(BackendsChanged{Removed: map[string]bool{"s0": true}})
		}, 0},
		// The successor at the address refuses a request for the earlier server. When that
		// counted as a sign of life, it cleared a request that then ended four more
		// servers.
		"its successor answers": {func(w *fixture) {
			w.refuseConnection()
			w.run(tickInterval)
			key := w.callWithFingerprint(3, "patient", prompt("m1"))
			w.step(Answered{Key: key, Attempt: w.lastSend(key).Attempt, Answer: fleet.Answer{Status: 421, NotRun: true, Absent: true}})
		}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			w := newFixture(t)
			w.servers(engineService, 0)
			w.register(w.born(0, 0, "m1"), w.born(1, 0))
			w.run(loaderGrace)
			w.closeConnection(w.callWithFingerprint(1, "quick", prompt("m1")))
			sign.do(w)
			if ends := w.router.ledger.Ends(1); ends != sign.ends {
				t.Errorf("%d servers ended under it, want %d", ends, sign.ends)
			}
		})
	}
}

// refuseConnection reports for a further request that s0 refuses connections.
func (w *fixture) refuseConnection() {
	w.t.Helper()
	key := w.callWithFingerprint(2, "quick", prompt("m1"))
	w.step(AttemptFailed{Key: key, Attempt: w.lastSend(key).Attempt, Failure: NotSent, Peer: PeerRefused, Cause: "refused"})
}

// An engine restarts under its instance name, and one of its streams breaks off only after
// its new incarnation is known. The stream ran in the earlier incarnation: that is the one
// that ended, not the new one.
func TestEndOfEarlierIncarnation(t *testing.T) {
	w := newRestartFixture(t)
	key := w.callWithFingerprint(1, "quick", prompt("m1"))
	w.step(Answered{Key: key, Attempt: w.lastSend(key).Attempt, Answer: fleet.Answer{Status: 200}})
	w.register(w.born(0, secondBorn))
	w.closeConnection(key)
	if w.router.ledger.Ends(1) != 1 || w.router.backends["s0"].endedAt != 0 {
		t.Errorf("%d ends, new incarnation ended at %v", w.router.ledger.Ends(1), w.router.backends["s0"].endedAt)
	}
}

// A request that waited for its first event when its engine restarted ran there.
func TestUnansweredAtARestart(t *testing.T) {
	w := newRestartFixture(t)
	w.callWithFingerprint(1, "quick", prompt("m1"))
	w.reportIncarnation(0, firstBorn, "m1")
	w.register(w.born(0, secondBorn))
	if n := w.router.ledger.Ends(1); n != 1 {
		t.Errorf("%d servers ended under it, want 1", n)
	}
}

// A refused connection counts as a server's end, but the server continues to run. A
// connection that is closed there much later is no end on its request.
func TestRunningServerHasNotEnded(t *testing.T) {
	w := newFixture(t)
	w.servers(engineService, 0)
	w.register(w.born(0, 0, "m1"))
	w.run(loaderGrace)
	w.refuseConnection()
	w.run(lostWindow)
	w.closeConnection(w.callWithFingerprint(1, "patient", prompt("m1")))
	if n := w.router.ledger.Ends(1); n != 0 {
		t.Errorf("%d servers ended under it, want none", n)
	}
}
