package router

import (
	"testing"
	"time"

	"nutmeglane.example/nutmeglane/internal/fleet"
)

// announce delivers what a server states in an answer, as the gateway does.
func (w *fixture) announce(instance string, answer fleet.Answer) {
	w.t.Helper()
	w.step(ServerAnnounced{Server: w.router.backends[instance].Incarnation, Answer: answer})
}

func drainingAnswer() fleet.Answer { return fleet.Answer{Status: 200, Draining: true} }

func backoffAnswer(period time.Duration) fleet.Answer {
	return fleet.Answer{Status: 503, NotRun: true, Backoff: fleet.ReportedBackoff{State: fleet.BackoffReported, Period: period}}
}

// The logs and the dump must show which server announced that it wants no requests, since
// when this router knows it, and that a malformed backoff had no effect.
func TestAnnouncementsAreLoggedAndDumped(t *testing.T) {
	w := newFixture(t)
	w.servers(plainService, 3)
	w.announce("s0", drainingAnswer())
	w.announce("s0", drainingAnswer())
	w.announce("s1", backoffAnswer(3*time.Second))
	w.announce("s2", fleet.Answer{Status: 503, Backoff: fleet.ReportedBackoff{State: fleet.BackoffMalformed, Text: "soon"}})
	w.run(time.Second)

	if lines := w.logged("backend server is draining, by its answer"); len(lines) != 1 || attrOf(t, lines[0], "instance") != "s0" {
		t.Errorf("lines on draining: %+v, want one on s0", lines)
	}
	if lines := w.logged("backend server wants a backoff"); len(lines) != 1 || attrOf(t, lines[0], "period") != "3s" {
		t.Errorf("lines on a backoff: %+v, want one of 3s", lines)
	}
	if lines := w.logged("backend server's backoff malformed; ignored"); len(lines) != 1 || attrOf(t, lines[0], "text") != "soon" {
		t.Errorf("lines on a malformed backoff: %+v, want one", lines)
	}
	state := w.router.Dump().Backends
	if state[0].DrainingFor != time.Second || state[1].BackoffLeft != 2*time.Second || state[2].BackoffLeft != 0 {
		t.Errorf("the dump has %v, %v and %v", state[0].DrainingFor, state[1].BackoffLeft, state[2].BackoffLeft)
	}
}

// Guards against requests to a server that an answer showed to be draining, while its registry
// entry says that it is ready: with the store away, and after a read that is older than the
// answer.
func TestServerDrainingByItsAnswerGetsNoRequests(t *testing.T) {
	w := newFixture(t)
	w.servers(plainService, 3)
	w.step(StoreState{Reachable: false})
	w.announce("s0", drainingAnswer())
	for i := range 60 {
		if i == 30 {
			w.step(StoreState{Reachable: true})
			w.servers(plainService, 3)
		}
		if send := w.lastSend(w.call("again", nil)); send.Instance == "s0" {
			t.Fatalf("request %d sent to a server that is draining, %v after its answer", i, w.router.Dump().Backends[0].DrainingFor)
		}
		w.run(100 * time.Millisecond)
	}
}

// Guards against requests to a server within the time for which it wants none: each is turned
// away, and its caller is told to come back while the server still wants none.
func TestServerGetsNoRequestsWithinItsBackoff(t *testing.T) {
	w := newFixture(t)
	w.servers(plainService, 3)
	const period = 3 * time.Second
	w.announce("s0", backoffAnswer(period))
	for until := w.now.Add(period); w.now < until; w.run(100 * time.Millisecond) {
		if send := w.lastSend(w.call("again", nil)); send.Instance == "s0" {
			t.Fatalf("request sent to a server that wants none for %v", w.router.Dump().Backends[0].BackoffLeft)
		}
	}
}
