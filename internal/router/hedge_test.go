package router

import (
	"testing"
	"time"

	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/fleet"
)

// silentStream returns a fixture with engines that have a model, the key of a resumable stream that
// has an event, and the number of its engine. Its server has just been reported as silent.
func silentStream(t *testing.T, engines int) (w *fixture, key Key, at string) {
	t.Helper()
	w = newFixture(t)
	w.servers(engineService, engines)
	for i := range engines {
		w.reportHoldings(i, core.Holdings{Models: loadedModels("m0")})
	}
	key = w.call("patient", prompt("m0"))
	at = w.lastSend(key).Instance
	w.step(Answered{Key: key, Attempt: 1, Answer: fleet.Answer{Status: statusOK}})
	w.step(FirstEvent{Key: key, Attempt: 1})
	w.now = w.now.Add(w.lastSend(key).StallAfter)
	w.step(Stalled{Key: key, Attempt: 1})
	return w, key, at
}

func (w *fixture) requestOf(key Key) *request {
	w.t.Helper()
	req := w.router.requests[key]
	if req == nil {
		w.t.Fatalf("request %d has ended: %+v", key, w.finishes[key])
	}
	return req
}

// Guards against an answer under way that is given up for one that is not there yet: whatever the
// other server does, the first one keeps the stream until the other has brought the next event.
func TestStreamStaysUntilTheOtherServerBringsAnEvent(t *testing.T) {
	others := map[string]Event{
		"refuses":      Answered{Key: 1, Attempt: 2, Answer: fleet.Answer{Status: statusUnavailable, NotRun: true}},
		"fails":        Answered{Key: 1, Attempt: 2, Answer: fleet.Answer{Status: 500}},
		"no answer":    AttemptFailed{Key: 1, Attempt: 2, Failure: NoAnswer},
		"breaks off":   AttemptFailed{Key: 1, Attempt: 2, Failure: Broken},
		"no port":      AttemptFailed{Key: 1, Attempt: 2, Failure: NotSent, Peer: PeerRefused},
		"no conn left": AttemptFailed{Key: 1, Attempt: 2, Failure: ConnsExhausted},
	}
	for name, event := range others {
		t.Run(name, func(t *testing.T) {
			w, key, at := silentStream(t, 2)
			if sends := w.sends[key]; len(sends) != 2 || !sends[1].Hedge || sends[1].Instance == at {
				t.Fatalf("sent %+v", sends)
			}
			w.step(event)
			w.run(2 * time.Second)
			req := w.requestOf(key)
			if w.abandons[key] == 1 || req.hedge != nil || req.backend.Instance != at {
				t.Errorf("abandoned attempt %d, is at %s", w.abandons[key], req.backend.Instance)
			}
			w.step(Done{Key: key, Attempt: 1, End: AnswerEnd{Events: 8}})
			if len(w.router.requests) != 0 || len(w.finishes) != 0 {
				t.Errorf("not served: %+v", w.finishes)
			}
			w.expectNothingSent()
		})
	}
}

// expectNothingSent checks that no server counts an attempt.
func (w *fixture) expectNothingSent() {
	w.t.Helper()
	for _, b := range w.router.backends {
		if len(b.sent) != 0 {
			w.t.Errorf("%s still counts %d attempts", b.Instance, len(b.sent))
		}
	}
}

// Guards against two servers that work on one stream for longer than the platform allows, when the
// other one is silent too.
func TestHedgeIsDroppedInTime(t *testing.T) {
	w, key, at := silentStream(t, 2)
	w.run(hedgeOverlap + tickInterval)
	if req := w.requestOf(key); w.abandons[key] != 2 || req.backend.Instance != at || req.hedge != nil {
		t.Errorf("abandoned attempt %d, is at %s", w.abandons[key], req.backend.Instance)
	}
	w.step(Answered{Key: key, Attempt: 2, Answer: fleet.Answer{Status: statusOK}})
	if w.requestOf(key).number != 1 {
		t.Error("the late answer of the dropped attempt counts")
	}
}

// Guards against a stream that stays at a server that hangs although another one has brought the next
// event, and against two attempts of which both count.
func TestStreamMovesToTheServerThatBringsTheNextEvent(t *testing.T) {
	w, key, at := silentStream(t, 2)
	w.step(Answered{Key: key, Attempt: 2, Answer: fleet.Answer{Status: statusOK}})
	if req := w.requestOf(key); w.abandons[key] != 1 || req.backend.Instance == at || req.number != 2 || req.hedge != nil {
		t.Fatalf("abandoned attempt %d, is at %s", w.abandons[key], req.backend.Instance)
	}
	w.step(Resumed{Key: key, Attempt: 1})
	w.step(Done{Key: key, Attempt: 1})
	w.step(FirstEvent{Key: key, Attempt: 2})
	w.step(Done{Key: key, Attempt: 2, End: AnswerEnd{Events: 4}})
	if len(w.router.requests) != 0 || len(w.finishes) != 0 {
		t.Errorf("not served: %+v", w.finishes)
	}
	w.expectNothingSent()
}

// Guards against a server's limit that is missed because it was named in the refusal of a hedge.
func TestLimitInTheRefusalOfAHedgeCounts(t *testing.T) {
	w, key, _ := silentStream(t, 2)
	other := w.requestOf(key).hedge.backend
	w.step(Answered{Key: key, Attempt: 2, Answer: fleet.Answer{
		Status: statusUnavailable, NotRun: true, Limit: fleet.ReportedLimit{State: fleet.LimitReported, PerSecond: 2},
	}})
	if !other.limited() {
		t.Error("its limit is not known")
	}
}

// Guards against a second run that goes on after the first server has continued.
func TestHedgeIsDroppedWhenTheServerContinues(t *testing.T) {
	w, key, at := silentStream(t, 2)
	w.step(Resumed{Key: key, Attempt: 1})
	if req := w.requestOf(key); w.abandons[key] != 2 || req.hedge != nil || req.backend.Instance != at {
		t.Errorf("abandoned attempt %d", w.abandons[key])
	}
	w.run(time.Second)
	if len(w.sends[key]) != 2 {
		t.Error("sent again although its server continues")
	}
}

// Guards against a stream that is cut, or sent a third time, when the first server breaks off while
// the second one works on it.
func TestHedgeTakesOverWhenTheServerBreaksOff(t *testing.T) {
	w, key, at := silentStream(t, 2)
	w.step(AttemptFailed{Key: key, Attempt: 1, Failure: Broken})
	w.run(2 * hedgeOverlap)
	if req := w.requestOf(key); len(w.sends[key]) != 2 || req.number != 2 || req.backend.Instance == at {
		t.Fatalf("sent %d times, is at attempt %d", len(w.sends[key]), req.number)
	}
	w.step(Answered{Key: key, Attempt: 2, Answer: fleet.Answer{Status: statusOK}})
	w.step(Done{Key: key, Attempt: 2})
	if len(w.router.requests) != 0 || len(w.finishes) != 0 {
		t.Errorf("not served: %+v", w.finishes)
	}
}

// Guards against a server that works on for a caller that has left, or after the router has given up.
func TestBothAttemptsEndWithTheRequest(t *testing.T) {
	ends := map[string]func(w *fixture, key Key){
		"caller leaves": func(w *fixture, key Key) { w.step(CallerLeft{Key: key}) },
		"process stops": func(w *fixture, _ Key) {
			w.step(Stopping{Until: w.now.Add(tickInterval)})
			w.run(2 * tickInterval)
		},
	}
	for name, end := range ends {
		t.Run(name, func(t *testing.T) {
			w, key, _ := silentStream(t, 2)
			end(w, key)
			if len(w.router.requests) != 0 {
				t.Error("the request goes on")
			}
			w.expectNothingSent()
			if f, ok := w.finishes[key]; ok && f.Code != code.AnswerCut {
				t.Errorf("ended with %v", f.Code)
			}
		})
	}
}

// Guards against a stream that is joined from two releases of the servers' software.
func TestHedgeOfAnotherReleaseIsNotUsed(t *testing.T) {
	w := newFixture(t)
	w.bornReleases(v1, v1)
	key := w.call("patient", prompt("m1"))
	at := w.lastSend(key).Instance
	w.step(Answered{Key: key, Attempt: 1, Answer: fleet.Answer{Status: statusOK}})
	w.step(FirstEvent{Key: key, Attempt: 1})
	w.step(Stalled{Key: key, Attempt: 1})
	restarted := w.requestOf(key).hedge.backend.Backend
	restarted.Born, restarted.Release = restarted.Born+1, v2
	w.step(BackendsChanged{Written: map[string]fleet.Backend{restarted.Instance: restarted}})
	w.step(Answered{Key: key, Attempt: 2, Answer: fleet.Answer{Status: statusOK}})
	if req := w.requestOf(key); req.backend.Instance != at || req.hedge != nil {
		t.Errorf("is at %s", req.backend.Instance)
	}
}

// Guards against a crowded engine that gets a stream for which it can't make an event in time: its
// work would be lost. The stream is sent there once it has room.
func TestSilentStreamWaitsForRoomElsewhere(t *testing.T) {
	w := newFixture(t)
	w.servers(engineService, 2)
	for i := range 2 {
		w.reportHoldings(i, core.Holdings{Models: loadedModels("m0")})
	}
	key := w.call("patient", prompt("m0"))
	w.step(Answered{Key: key, Attempt: 1, Answer: fleet.Answer{Status: statusOK}})
	w.step(FirstEvent{Key: key, Attempt: 1})
	at := w.requestOf(key).backend
	for _, b := range w.router.backends {
		if b != at {
			b.queue.Send(w.now, 1000, time.Second, time.Second)
		}
	}
	w.step(Stalled{Key: key, Attempt: 1})
	if len(w.sends[key]) != 1 {
		t.Fatal("sent to a crowded engine")
	}
	w.run(3 * time.Second)
	if len(w.sends[key]) != 2 {
		t.Errorf("sent %d times once there is room", len(w.sends[key]))
	}
}

// overdueRequest returns a fixture with plain servers and the key of a request that has just been sent
// to a second one as its server has not answered.
func overdueRequest(t *testing.T) (w *fixture, key Key, at string) {
	t.Helper()
	w = newFixture(t)
	w.servers(plainService, 3)
	key = w.call("again", nil)
	at = w.lastSend(key).Instance
	for len(w.sends[key]) < 2 {
		w.run(tickInterval)
	}
	return w, key, at
}

// Guards against a request that ends without an answer because its server was slow for a moment and
// the next one refused it or failed.
func TestOverdueRequestStaysIfTheOtherServerDoesNotTakeIt(t *testing.T) {
	others := map[string]Event{
		"refuses":   Answered{Key: 1, Attempt: 2, Answer: fleet.Answer{Status: statusUnavailable, NotRun: true}},
		"fails":     Answered{Key: 1, Attempt: 2, Answer: fleet.Answer{Status: 500}},
		"no answer": AttemptFailed{Key: 1, Attempt: 2, Failure: NoAnswer},
	}
	for name, event := range others {
		t.Run(name, func(t *testing.T) {
			w, key, at := overdueRequest(t)
			w.step(event)
			w.run(tickInterval)
			if req := w.requestOf(key); req.backend == nil || req.backend.Instance != at || w.abandons[key] == 1 {
				t.Fatal("has left its server")
			}
			w.step(Answered{Key: key, Attempt: 1, Answer: fleet.Answer{Status: statusOK}, Whole: true})
			if len(w.router.requests) != 0 || len(w.finishes) != 0 {
				t.Errorf("not served: %+v", w.finishes)
			}
			w.expectNothingSent()
		})
	}
}

// Guards against two answers to one request, and against a request that ends although one of its two
// servers may still answer it.
func TestFirstUsableAnswerOfTwoServersCounts(t *testing.T) {
	answer := func(attempt, status int) Answered {
		return Answered{Key: 1, Attempt: attempt, Answer: fleet.Answer{Status: status}, Whole: true}
	}
	cases := map[string]struct {
		events    []Event
		abandoned int
	}{
		"the first one answers":             {[]Event{answer(1, statusOK), answer(2, statusOK)}, 2},
		"the other one answers":             {[]Event{answer(2, statusOK), answer(1, statusOK)}, 1},
		"the first one fails":               {[]Event{answer(1, 500), answer(2, statusOK)}, 0},
		"the first one loses its answer":    {[]Event{AttemptFailed{Key: 1, Attempt: 1, Failure: NoAnswer}, answer(2, statusOK)}, 0},
		"the first one refuses":             {[]Event{Answered{Key: 1, Attempt: 1, Answer: fleet.Answer{Status: statusUnavailable, NotRun: true}}, answer(2, statusOK)}, 0},
		"the other one says it isn't there": {[]Event{answer(2, 404), answer(1, statusOK)}, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			w, key, _ := overdueRequest(t)
			for _, event := range c.events {
				w.step(event)
			}
			if len(w.router.requests) != 0 || len(w.finishes) != 0 || w.abandons[key] != c.abandoned {
				t.Errorf("abandoned attempt %d, finish %+v, %d requests", w.abandons[key], w.finishes, len(w.router.requests))
			}
			w.expectNothingSent()
		})
	}
}

// Guards against new requests that are sent to a server whose streams are silent, because none of them
// has left it yet.
func TestSilentServerIsEjected(t *testing.T) {
	w, _, at := silentStream(t, 2)
	b := w.router.backends[at]
	if b.failures != 1 {
		t.Errorf("%d failures are recorded for a silent stream, want 1", b.failures)
	}
}

// Guards against a caller that is told that its request has not run although the second server may
// have run it: the second one fails, hangs or is left, and then the first one refuses.
func TestRefusalAfterALostHedgePromisesNothing(t *testing.T) {
	others := map[string]Event{
		"fails":     Answered{Key: 1, Attempt: 2, Answer: fleet.Answer{Status: 500}},
		"no answer": AttemptFailed{Key: 1, Attempt: 2, Failure: NoAnswer},
		"bad":       AttemptFailed{Key: 1, Attempt: 2, Failure: BadAnswer},
	}
	for name, event := range others {
		t.Run(name, func(t *testing.T) {
			w, key, _ := overdueRequest(t)
			w.step(event)
			w.step(Answered{Key: key, Attempt: 1, Answer: fleet.Answer{Status: statusUnavailable, NotRun: true}})
			if finish, ended := w.finishes[key]; !ended || finish.Code.NotRun() {
				t.Errorf("ended %t with %v", ended, finish)
			}
		})
	}
}
