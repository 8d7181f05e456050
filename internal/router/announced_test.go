package router

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
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

	if lines := w.logged("backend server is draining"); len(lines) != 1 || attrOf(t, lines[0], "instance") != "s0" || attrOf(t, lines[0], "source") != byAnswer {
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

// engineWith registers engines of which each holds the given models, and connects their
// loaders.
func (w *fixture) engineWith(models ...[]string) {
	w.t.Helper()
	w.servers(engineService, len(models))
	for i, names := range models {
		w.reportEngine(i, core.Holdings{Models: loadedModels(names...)})
	}
}

// reportEngine delivers the holdings of the engine with a number, with copies of all models on
// its disk.
func (w *fixture) reportEngine(i int, holdings core.Holdings) {
	w.t.Helper()
	holdings.Instance, holdings.FreeMB = fmt.Sprintf("s%d", i), 80_000
	holdings.OnDisk = []string{"m0", "m1", "m2"}
	w.reportHoldings(i, holdings)
}

// Guards against a draining server that gets requests again: an entry that says ready, in a
// read or in the news of another router, is older than the statement, and so is an entry that
// comes back after it was removed.
func TestDrainingIsNotRevoked(t *testing.T) {
	ready := func(w *fixture) map[string]fleet.Backend {
		return map[string]fleet.Backend{"s0": w.server(plainService, 0), "s1": w.server(plainService, 1)}
	}
	sources := map[string]func(w *fixture){
		"an answer": func(w *fixture) { w.announce("s0", drainingAnswer()) },
		"the registry": func(w *fixture) {
			leaving := ready(w)["s0"]
			leaving.Draining = true
			w.step(BackendsChanged{Written: map[string]fleet.Backend{"s0": leaving}})
		},
		"another router": func(w *fixture) {
			w.step(DrainingReported{News: core.ServerDraining{Server: core.ServerLife{Instance: "s0"}}})
		},
	}
	revokes := map[string]func(w *fixture){
		"a read": func(w *fixture) { w.step(BackendsRead{Backends: ready(w)}) },
		"news": func(w *fixture) {
			w.step(NewsReceived{News: core.RegistryNews{Written: []core.ListedBackend{ready(w)["s0"].Listed()}}})
		},
		"a restored copy": func(w *fixture) {
			w.step(StoreRestored{})
			w.step(BackendsRestored{Backends: ready(w)})
		},
		"an entry that comes back": func(w *fixture) {
			w.step(BackendsChanged{Removed: map[string]bool{"s0": true}})
			w.run(time.Second)
			w.step(BackendsRead{Backends: ready(w)})
		},
	}
	for source, announce := range sources {
		for how, revoke := range revokes {
			t.Run(source+", "+how, func(t *testing.T) {
				w := newFixture(t)
				w.servers(plainService, 2)
				announce(w)
				revoke(w)
				for range 20 {
					if send := w.lastSend(w.call("once", nil)); send.Instance != "s1" {
						t.Fatalf("sent to %s, which is draining", send.Instance)
					}
				}
			})
		}
	}
}

// Guards against a server that never gets a request because an earlier process at its address
// or under its instance was draining.
func TestDrainingEndsWithTheIncarnation(t *testing.T) {
	born := func(w *fixture, at int64) fleet.Backend {
		b := w.server(plainService, 0)
		b.Born = at
		return b
	}
	tests := map[string]func(w *fixture){
		"restarted under its instance": func(w *fixture) {
			w.announce("s0", drainingAnswer())
			w.step(BackendsChanged{Written: map[string]fleet.Backend{"s0": born(w, 2)}})
		},
		"an answer of the earlier incarnation arrives late": func(w *fixture) {
			earlier := w.router.backends["s0"].Incarnation
			w.step(BackendsChanged{Written: map[string]fleet.Backend{"s0": born(w, 2)}})
			w.step(ServerAnnounced{Server: earlier, Answer: drainingAnswer()})
		},
		"another instance answers at the address": func(w *fixture) {
			w.announce("s0", fleet.Answer{Status: 421, NotRun: true, Absent: true, Draining: true})
		},
		"forgotten and started again": func(w *fixture) {
			w.announce("s0", drainingAnswer())
			w.step(BackendsChanged{Removed: map[string]bool{"s0": true}})
			w.run(time.Second)
			w.step(BackendsChanged{Written: map[string]fleet.Backend{"s0": born(w, 2)}})
		},
		"news of the earlier incarnation": func(w *fixture) {
			w.step(BackendsChanged{Written: map[string]fleet.Backend{"s0": born(w, 2)}})
			w.step(DrainingReported{News: core.ServerDraining{Server: core.ServerLife{Instance: "s0", Born: 1}}})
		},
	}
	for name, happens := range tests {
		t.Run(name, func(t *testing.T) {
			w := newFixture(t)
			w.step(BackendsRead{Backends: map[string]fleet.Backend{"s0": born(w, 1)}})
			happens(w)
			if send := w.lastSend(w.call("once", nil)); send.Instance != "s0" {
				t.Errorf("sent to %s", send.Instance)
			}
		})
	}
}

// Guards against requests to an engine whose loader said that it is draining, once the loader
// has ended with its host: the registry may list the engine as ready for many seconds.
func TestDrainingOfAnEngineOutlastsItsLoader(t *testing.T) {
	w := newFixture(t)
	w.engineWith([]string{"m0"}, []string{"m0"})
	w.reportEngine(0, core.Holdings{Models: loadedModels("m0"), Draining: true, Leaving: true})
	w.step(LoaderDown{Loader: loaderName(0)})
	for range 20 {
		if send := w.lastSend(w.call("patient", prompt("m0"))); send.Instance != "s1" {
			t.Fatalf("sent to %s, which is draining", send.Instance)
		}
		w.reportEngine(1, core.Holdings{Models: loadedModels("m0")})
		w.run(500 * time.Millisecond)
	}
}

// Guards against requests that were bound to a server before it announced draining: one that
// waits for a permit, a retry, a stream that is resumed, one that waits for the server to load
// its model.
func TestBoundRequestsAvoidADrainingServer(t *testing.T) {
	t.Run("a permit", func(t *testing.T) {
		w := newLimitedFixture(t, 2, 3)
		key := w.call("once", nil)
		for len(w.sends[key]) > 0 { // until a request needs a permit of s0
			key = w.call("once", nil)
		}
		w.announce("s0", drainingAnswer())
		w.step(LoaderAnsweredLimit{Loader: "10.9.0.1", Answer: core.LimitReply{
			Server: core.ServerLife{Instance: "s0"}, RequestID: uint64(key), Granted: true,
		}})
		if send := w.lastSend(key); send.Instance != "s1" {
			t.Errorf("sent to %s", send.Instance)
		}
	})
	t.Run("a retry", func(t *testing.T) {
		w := newFixture(t)
		w.servers(plainService, 3)
		key := w.call("again", nil)
		first := w.lastSend(key)
		others := slices.DeleteFunc([]string{"s0", "s1", "s2"}, func(name string) bool { return name == first.Instance })
		w.announce(others[0], drainingAnswer())
		w.step(AttemptFailed{Key: key, Attempt: first.Attempt, Failure: Broken})
		if send := w.lastSend(key); send.Instance != others[1] {
			t.Errorf("sent to %s, want %s", send.Instance, others[1])
		}
	})
	t.Run("a resumed stream", func(t *testing.T) {
		w := newFixture(t)
		w.engineWith([]string{"m0"}, []string{"m0"}, []string{"m0"})
		key := w.call("patient", prompt("m0"))
		first := w.lastSend(key)
		others := slices.DeleteFunc([]string{"s0", "s1", "s2"}, func(name string) bool { return name == first.Instance })
		w.step(Answered{Key: key, Attempt: first.Attempt, Answer: fleet.Answer{Status: 200}})
		w.announce(others[0], drainingAnswer())
		w.step(AttemptFailed{Key: key, Attempt: first.Attempt, Failure: Broken})
		if send := w.lastSend(key); send.Instance != others[1] {
			t.Errorf("sent to %s, want %s", send.Instance, others[1])
		}
	})
	t.Run("a wait for its model", func(t *testing.T) {
		w := newFixture(t)
		w.engineWith(nil, nil)
		key := w.call("patient", prompt("m0"))
		home := w.router.requests[key].waiting.home.Instance
		w.announce(home, drainingAnswer())
		if now := w.router.requests[key].waiting.home.Instance; now == home {
			t.Errorf("still waits for %s", home)
		}
	})
}

// Guards against taking the end of a draining server for a crash: its requests would count as
// evidence of poison, and the server as ended by itself.
func TestEndOfADrainingServerIsPlanned(t *testing.T) {
	w := newFixture(t)
	w.servers(plainService, 2)
	key := w.callWithFingerprint(7, "once", nil)
	server := w.lastSend(key).Instance
	w.announce(server, drainingAnswer())
	w.step(AttemptFailed{Key: key, Attempt: 1, Failure: Broken, Peer: PeerClosed})
	w.step(BackendsChanged{Removed: map[string]bool{server: true}})
	if lines := w.logged("backend server ended by itself"); len(lines) > 0 || len(w.relayed)+len(w.published) > 0 {
		t.Errorf("lines %+v, news %+v, notes %+v", lines, w.relayed, w.published)
	}
}

// When the only server of a service is draining, or the only engine that has a model, callers
// must not wait in vain: they are refused at once as not run, or the model is loaded elsewhere.
func TestLastServerIsDraining(t *testing.T) {
	t.Run("of a plain service", func(t *testing.T) {
		w := newFixture(t)
		w.servers(plainService, 1)
		w.announce("s0", drainingAnswer())
		if end, ended := w.finishes[w.call("once", nil)]; !ended || !end.Code.NotRun() || end.RetryAfter <= 0 {
			t.Errorf("ended %t: %+v", ended, end)
		}
	})
	t.Run("with a model", func(t *testing.T) {
		w := newFixture(t)
		w.engineWith([]string{"m0"}, nil)
		w.announce("s0", drainingAnswer())
		key := w.call("patient", prompt("m0"))
		if req := w.router.requests[key]; req == nil || req.waiting == nil || req.waiting.home.Instance != "s1" {
			t.Fatalf("the request doesn't wait for the other engine: %+v, end %+v", req, w.finishes[key])
		}
		if wants := w.demands[loaderName(1)].Wants; len(wants) != 1 || wants[0].Model != "m0" {
			t.Errorf("the other engine is asked for %+v", wants)
		}
	})
}

// The other routers must be told of a draining server that only answers show, once, and not of
// one that its own loader reports on.
func TestDrainingIsRelayed(t *testing.T) {
	w := newFixture(t)
	w.step(BackendsRead{Backends: map[string]fleet.Backend{"s0": w.server(engineService, 0), "s1": w.server(plainService, 1)}})
	w.reportEngine(0, core.Holdings{})
	w.announce("s0", drainingAnswer())
	w.announce("s1", drainingAnswer())
	w.announce("s1", drainingAnswer())
	if len(w.drainingRelayed) != 1 || w.drainingRelayed[0].News.Server.Instance != "s1" || len(w.drainingRelayed[0].Via) == 0 {
		t.Errorf("relayed: %+v", w.drainingRelayed)
	}
}

// Guards against a request that is written to a server which announced draining while a
// connection to it was opened. It must go elsewhere, and nothing counts against the server.
func TestWithdrawnAttemptGoesElsewhere(t *testing.T) {
	w := newFixture(t)
	w.servers(plainService, 2)
	key := w.call("once", nil)
	first := w.lastSend(key)
	if !w.router.MayStillSend(first.Incarnation) {
		t.Error("a server without announcements may not be sent to")
	}
	w.announce(first.Instance, drainingAnswer())
	if w.router.MayStillSend(first.Incarnation) {
		t.Error("a draining server may be sent to")
	}
	w.step(AttemptFailed{Key: key, Attempt: first.Attempt, Failure: Withdrawn})
	if send := w.lastSend(key); send.Instance == first.Instance || w.router.backends[first.Instance].failures > 0 {
		t.Errorf("sent to %s; failures of %s: %d", send.Instance, first.Instance, w.router.backends[first.Instance].failures)
	}
}

// Guards against refusing requests that wait for an engine when one read of the registry shows
// that it is draining and that its successor is there.
func TestSuccessorInTheSameReadTakesWaitingRequests(t *testing.T) {
	w := newFixture(t)
	w.engineWith(nil)
	key := w.call("patient", prompt("m0"))
	leaving, successor := w.server(engineService, 0), w.server(engineService, 1)
	leaving.Draining, leaving.Registered, successor.Registered = true, 1, 2
	w.step(BackendsChanged{Written: map[string]fleet.Backend{"s0": leaving, "s1": successor}})
	if end, ended := w.finishes[key]; ended {
		t.Errorf("refused: %+v", end)
	}
}
