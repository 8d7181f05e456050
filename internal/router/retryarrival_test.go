package router

import (
	"testing"
	"time"

	"nutmeglane.example/nutmeglane/internal/fleet"
)

// leftSilentServer returns a fixture with two servers, of which one has not answered a request that
// went on at the other one and was served there.
func leftSilentServer(t *testing.T) (w *fixture, silent, other string) {
	t.Helper()
	w = newFixture(t)
	w.servers(plainService, 2)
	key := w.call("again", nil)
	silent = w.lastSend(key).Instance
	w.run(700 * time.Millisecond)
	second := w.lastSend(key)
	if !second.Hedge || second.Instance == silent {
		t.Fatalf("sent %+v", w.sends[key])
	}
	w.step(Answered{Key: key, Attempt: second.Attempt, Answer: fleet.Answer{Status: statusOK}, Whole: true})
	return w, silent, second.Instance
}

func (w *fixture) unsettledRetries() int {
	w.t.Helper()
	for _, state := range w.router.RetryBudgets() {
		if state.Service == plainService {
			return state.Unsettled
		}
	}
	w.t.Fatal("no budget")
	return 0
}

// Guards against a retry that counts as arrived while the server that was left may still read the
// first attempt: either of the two may be the later one.
func TestRetryIsUnsettledUntilTheSilentServerAnswers(t *testing.T) {
	w, silent, other := leftSilentServer(t)
	w.run(3 * time.Second)
	if got := w.unsettledRetries(); got != 1 {
		t.Fatalf("%d unsettled retries, want 1", got)
	}
	w.step(BackendsChanged{Removed: map[string]bool{other: true}})
	key := w.call("again", nil)
	send := w.lastSend(key)
	if send.Instance != silent {
		t.Fatalf("sent to %s", send.Instance)
	}
	w.step(Answered{Key: key, Attempt: send.Attempt, Answer: fleet.Answer{Status: statusOK}, Whole: true})
	if got := w.unsettledRetries(); got != 0 {
		t.Errorf("%d unsettled retries after an answer, want none", got)
	}
	if lines := w.logged("retries may have arrived late"); len(lines) != 1 {
		t.Errorf("%d log lines, want 1", len(lines))
	}
}

// Guards against retries that stay unsettled for good when a server never answers again.
func TestRetryIsSettledAfterAWindow(t *testing.T) {
	w, _, _ := leftSilentServer(t)
	w.run(testBounds().RetryWindow - time.Second)
	if got := w.unsettledRetries(); got != 1 {
		t.Fatalf("%d unsettled retries, want 1", got)
	}
	w.run(2 * time.Second)
	if got := w.unsettledRetries(); got != 0 {
		t.Errorf("%d unsettled retries, want none", got)
	}
	if len(w.router.withUnread) != 0 {
		t.Errorf("%d servers with unread attempts", len(w.router.withUnread))
	}
}

// Guards against a retry that stays unsettled although its attempts have failed in a way that shows
// whether they arrived.
func TestFailedAttemptsSettle(t *testing.T) {
	failures := map[string]AttemptFailed{
		"nothing sent":      {Failure: NotSent, Peer: PeerRefused},
		"connection closed": {Failure: NoAnswer, Peer: PeerClosed},
		"bad answer":        {Failure: BadAnswer},
		"broken off":        {Failure: Broken},
	}
	for name, failed := range failures {
		t.Run(name, func(t *testing.T) {
			w := newFixture(t)
			w.servers(plainService, 2)
			key := w.call("again", nil)
			w.step(Answered{Key: key, Attempt: 1, Answer: fleet.Answer{Status: 500}})
			if got := w.unsettledRetries(); got != 1 {
				t.Fatalf("%d unsettled retries, want 1", got)
			}
			failed.Key, failed.Attempt, failed.NothingGiven = key, 2, true
			w.step(failed)
			if got := w.unsettledRetries(); got != 0 {
				t.Errorf("%d unsettled retries, want none", got)
			}
		})
	}
}
