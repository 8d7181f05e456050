package router

import (
	"log/slog"
	"slices"
	"testing"
	"time"

	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/fleet"
	"nutmeglane.example/nutmeglane/internal/limit"
)

// answerLimited delivers the answer of a request's server, with a report of its limit.
func (w *fixture) answerLimited(key Key, announced fleet.ReportedLimit) {
	w.t.Helper()
	send := w.lastSend(key)
	w.step(Answered{Key: key, Attempt: send.Attempt, Answer: fleet.Answer{Status: 200, Limit: announced}})
	w.step(Done{Key: key, Attempt: send.Attempt})
}

func limitedTo(perSecond float64) fleet.ReportedLimit {
	return fleet.ReportedLimit{State: fleet.LimitReported, PerSecond: perSecond}
}

// logged returns the log lines with a message.
func (w *fixture) logged(message string) []Log {
	return slices.DeleteFunc(slices.Clone(w.logs), func(l Log) bool { return l.Message != message })
}

func attrOf(t *testing.T, line Log, name string) any {
	t.Helper()
	i := slices.IndexFunc(line.Attrs, func(a slog.Attr) bool { return a.Key == name })
	if i < 0 {
		t.Fatalf("%q has no attribute %q", line.Message, name)
	}
	return line.Attrs[i].Value.Any()
}

// The logs must show which server named a limit, since when this router has known it, and
// how many requests it sent there. A malformed limit must be ignored.
func TestLimitIsLoggedAndDumped(t *testing.T) {
	w := newFixture(t)
	w.servers(plainService, 1)
	w.answerLimited(w.call("once", nil), limitedTo(3))
	w.answerLimited(w.call("once", nil), fleet.ReportedLimit{State: fleet.LimitMalformed, Text: "-1"})
	w.run(limitLogInterval)

	lines := w.logged("backend server's limit")
	if len(lines) != 1 || attrOf(t, lines[0], "change") != "named" || attrOf(t, lines[0], "per_second") != 3.0 {
		t.Errorf("lines on the limit: %+v, want one that it was named as 3", lines)
	}
	if lines := w.logged("backend server's limit malformed; ignored"); len(lines) != 1 {
		t.Errorf("lines on a malformed limit: %+v, want 1", lines)
	}
	if lines := w.logged("requests sent to a server with a limit"); len(lines) != 1 || attrOf(t, lines[0], "sent") != int64(1) {
		t.Errorf("lines on the requests sent: %+v, want one with 1", lines)
	}
	state := w.router.Dump().Backends[0]
	if state.LimitPerSecond == nil || *state.LimitPerSecond != 3 || state.LimitKnownFor < time.Second {
		t.Errorf("the dump has a limit of %v, known for %v", state.LimitPerSecond, state.LimitKnownFor)
	}
}

// newLimitedFixture returns a router with an engine that has a loader and with the given
// number of servers of a plain service, of which s0 has named a limit. The loader counts
// for it.
func newLimitedFixture(t *testing.T, plain int, perSecond float64) *fixture {
	w := newFixture(t)
	list := map[string]fleet.Backend{"engine": {
		Incarnation: fleet.Incarnation{Instance: "engine"}, Service: engineService, Zone: "a", Slots: 64, Address: "10.9.0.1:8000",
	}}
	for i := range plain {
		list["s"+string(rune('0'+i))] = w.server(plainService, i)
	}
	w.step(BackendsRead{Backends: list})
	w.step(LoaderUp{Loader: "10.9.0.1"})
	w.limitS0(perSecond)
	return w
}

// limitS0 makes the loader report that s0 has named a limit.
func (w *fixture) limitS0(perSecond float64) {
	w.t.Helper()
	w.step(LoaderAnsweredLimit{Loader: "10.9.0.1", Answer: core.LimitReply{
		Server: core.ServerLife{Instance: "s0"}, Limit: core.ReportedLimit{Named: true, PerSecond: perSecond, SentAgo: 2, ReceivedAgo: 1},
	}})
}

// lastPermitRequest returns the last request for a permit.
func (w *fixture) lastPermitRequest() core.LimitRequest {
	w.t.Helper()
	if len(w.limitRequests) == 0 || w.limitRequests[len(w.limitRequests)-1].Request.RequestID == 0 {
		w.t.Fatalf("no permit was requested: %+v", w.limitRequests)
	}
	return w.limitRequests[len(w.limitRequests)-1].Request
}

// answerPermitRequest answers the last request for a permit.
func (w *fixture) answerPermitRequest(granted bool, room time.Duration) {
	w.t.Helper()
	ask := w.lastPermitRequest()
	w.step(LoaderAnsweredLimit{Loader: "10.9.0.1", Answer: core.LimitReply{
		Server: ask.Server, Limit: ask.Limit, RequestID: ask.RequestID, Spare: ask.Spare, Granted: granted, Room: room,
	}})
}

// A server takes 2 requests a second from all routers together. Each request to it needs
// the loader's permit, and must be sent once that is granted.
func TestRequestToALimitedServerNeedsAPermit(t *testing.T) {
	w := newLimitedFixture(t, 1, 2)
	key := w.call("once", nil)
	if len(w.sends[key]) > 0 {
		t.Fatal("sent without a permit")
	}
	w.answerPermitRequest(true, 0)
	if send := w.lastSend(key); send.Instance != "s0" {
		t.Errorf("sent to %s", send.Instance)
	}
}

// A permit is refused. Another server must take the request; if there is none, its caller
// must be informed at once when there will be room, and further requests until then must be
// refused without asking the loader.
func TestRequestWithoutAPermitGoesElsewhereOrIsRefused(t *testing.T) {
	w := newLimitedFixture(t, 2, 2)
	w.router.backends["s1"].failureRate = 0.9 // so that s0 is chosen first
	key := w.call("once", nil)
	w.answerPermitRequest(false, time.Second)
	if send := w.lastSend(key); send.Instance != "s1" {
		t.Errorf("sent to %s, want s1", send.Instance)
	}

	w = newLimitedFixture(t, 1, 2)
	key = w.call("once", nil)
	w.answerPermitRequest(false, time.Second)
	for i, key := range []Key{key, w.call("once", nil), w.call("once", nil)} {
		f := w.finishes[key]
		// Each request is refused until one permit, half a second, later than the one
		// before it, plus a random part of up to 0.3.
		least := time.Second + time.Duration(i)*500*time.Millisecond
		if f.Code != code.AtLimit || f.RetryAfter < least || f.RetryAfter > least*13/10 {
			t.Errorf("request %d ended with %v, Retry-After %v; want %v", i, f.Code, f.RetryAfter, least)
		}
	}
	if n := len(w.limitRequests); n != 2 { // the report on connecting, and one permit request
		t.Errorf("%d messages to the loader, want 2", n)
	}
	w.run(time.Second)
	w.call("once", nil)
	if n := len(w.limitRequests); n != 3 {
		t.Errorf("%d messages to the loader once there should be room, want 3", n)
	}
}

// Servers that name no limit need no permit, and every request must be sent at once.
func TestServersWithoutALimitNeedNoPermit(t *testing.T) {
	w := newLimitedFixture(t, 3, 0)
	w.limitRequests = nil
	w.router.backends["s0"].ejectedUntil = w.now.Add(time.Hour)
	for range 20 {
		w.lastSend(w.call("once", nil))
	}
	if len(w.limitRequests) > 0 {
		t.Errorf("asked %+v", w.limitRequests)
	}
}

// A stream breaks off and is to be resumed at an engine with a limit, and a request has
// waited for its model there: both need a permit like a first attempt.
func TestResumedAndWaitingRequestsNeedAPermit(t *testing.T) {
	w := newFixture(t)
	w.servers(engineService, 2)
	w.reportHoldings(0, core.Holdings{Instance: "s0", FreeMB: 80_000, OnDisk: []string{"m1"}})
	w.reportHoldings(1, core.Holdings{Instance: "s1", Models: loadedModels("m1")})
	resumed := w.call("patient", prompt("m1"))
	send := w.lastSend(resumed)
	w.step(Answered{Key: resumed, Attempt: send.Attempt, Answer: fleet.Answer{Status: 200}})
	w.step(FirstEvent{Key: resumed, Attempt: send.Attempt})
	w.reportHoldings(1, core.Holdings{Instance: "s1", FreeMB: 80_000})
	waiting := w.call("patient", prompt("m1"))
	w.step(LoaderAnsweredLimit{Loader: loaderName(0), Answer: core.LimitReply{
		Server: core.ServerLife{Instance: "s0"}, Limit: core.ReportedLimit{Named: true, PerSecond: 2, SentAgo: 2, ReceivedAgo: 1},
	}})
	w.reportHoldings(0, core.Holdings{Instance: "s0", Models: loadedModels("m1"), OnDisk: []string{"m1"}})
	w.step(AttemptFailed{Key: resumed, Attempt: send.Attempt, Failure: Broken})
	asked := map[Key]bool{}
	for _, a := range w.limitRequests {
		asked[Key(a.Request.RequestID)] = true
	}
	for name, key := range map[string]Key{"resumed": resumed, "waiting": waiting} {
		if !asked[key] {
			t.Errorf("the %s request was sent %+v without a permit", name, w.sends[key])
		}
	}
}

// A request failed at one server and is to be retried at one with a limit: that needs a
// permit like a first attempt.
func TestRetryAtALimitedServerNeedsAPermit(t *testing.T) {
	w := newLimitedFixture(t, 2, 2)
	w.router.backends["s0"].failureRate = 0.9 // so that s1 is chosen first
	key := w.call("again", nil)
	send := w.lastSend(key)
	w.limitRequests = nil
	w.step(AttemptFailed{Key: key, Attempt: send.Attempt, Failure: NoAnswer})
	if len(w.sends[key]) != 1 {
		t.Fatal("retried without a permit")
	}
	w.answerPermitRequest(true, 0)
	if send := w.lastSend(key); send.Instance != "s0" || send.Attempt != 2 {
		t.Errorf("attempt %d at %s", send.Attempt, send.Instance)
	}
}

// The loader that counts is frozen: its connection is open and it does not answer. Callers
// must wait for it only briefly, and the router must use its share of the limit.
func TestFrozenLoaderDoesNotDelayRequests(t *testing.T) {
	w := newLimitedFixture(t, 1, 50)
	key := w.call("once", nil)
	w.run(limit.PermitTimeout + 2*tickInterval)
	if f, ended := w.finishes[key]; len(w.sends[key]) == 0 && !ended {
		t.Fatal("the request still waits for the loader")
	} else if ended && f.Code != code.AtLimit {
		t.Errorf("ended with %v", f.Code)
	}
	sent := 0
	for range 20 {
		w.run(tickInterval)
		if len(w.sends[w.call("once", nil)]) > 0 {
			sent++
		}
	}
	if sent < 10 {
		t.Errorf("%d of 20 requests a second were sent to a server that takes 50", sent)
	}
}

// The only engine that has a model takes no requests for some time. Requests that wait for
// the model must go to the engine that has it soonest: another one that loads it, or this
// one.
func TestModelOfALimitedEngineIsLoadedElsewhere(t *testing.T) {
	for _, test := range []struct {
		room time.Duration
		want string
	}{{4 * time.Second, "s1"}, {100 * time.Millisecond, "s0"}} {
		w := newFixture(t)
		w.servers(engineService, 2)
		w.reportHoldings(0, core.Holdings{Instance: "s0", Models: loadedModels("m1")})
		w.reportHoldings(1, core.Holdings{Instance: "s1", FreeMB: 80_000, OnDisk: []string{"m1"}})
		w.step(LoaderAnsweredLimit{Loader: loaderName(0), Answer: core.LimitReply{
			Server: core.ServerLife{Instance: "s0"}, Limit: core.ReportedLimit{Named: true, PerSecond: 2, SentAgo: 2, ReceivedAgo: 1},
		}})
		key := w.call("patient", prompt("m1"))
		ask := w.lastPermitRequest()
		if ask.Spare {
			t.Error("asked as if another engine could serve it")
		}
		w.step(LoaderAnsweredLimit{Loader: loaderName(0), Answer: core.LimitReply{Server: ask.Server, Limit: ask.Limit, RequestID: ask.RequestID, Room: test.room}})
		state := w.router.Dump().Waits
		if len(state) != 1 || state[0].Home != test.want {
			t.Fatalf("room in %v: waits %+v, want one at %s; ended: %+v", test.room, state, test.want, w.finishes[key])
		}
	}
}

// A server restarts under its instance name. Its new incarnation has named no limit, and an
// answer of the earlier one must not restore the limit.
func TestLimitEndsWithTheIncarnationThatNamedIt(t *testing.T) {
	w := newFixture(t)
	entry := w.server(plainService, 0)
	entry.Born = 1000
	w.step(BackendsRead{Backends: map[string]fleet.Backend{"s0": entry}})
	w.answerLimited(w.call("once", nil), limitedTo(3))
	old := w.call("once", nil)
	if !w.router.backends["s0"].limited() {
		t.Fatal("the limit was not applied")
	}
	entry.Born = 2000
	w.step(BackendsChanged{Written: map[string]fleet.Backend{"s0": entry}})
	if w.router.backends["s0"].limited() {
		t.Error("the limit outlived the incarnation that named it")
	}
	if sends := w.sends[old]; len(sends) > 0 {
		w.step(Answered{Key: old, Attempt: sends[0].Attempt, Answer: fleet.Answer{Status: 200, Limit: limitedTo(3)}})
	}
	if w.router.backends["s0"].limited() {
		t.Error("an answer of the earlier incarnation restored its limit")
	}
}

// A server's address has been taken over by another service. The limit in that server's
// answer, which says that it is not the server that was meant, must not apply to the
// earlier server.
func TestLimitOfAnotherServerIsIgnored(t *testing.T) {
	w := newFixture(t)
	w.servers(plainService, 2)
	key := w.call("once", nil)
	send := w.lastSend(key)
	w.step(Answered{Key: key, Attempt: send.Attempt, Answer: fleet.Answer{Status: 421, NotRun: true, Absent: true, Limit: limitedTo(1)}})
	for _, b := range w.router.backends {
		if b.limited() {
			t.Errorf("%s has a limit", b.Instance)
		}
	}
}

// The loader that counts was disconnected, and this router's next own share of the limit is
// seconds away. Once the loader is connected again it must be asked for permits, and
// callers must not be refused until the own share is due.
func TestReconnectedLoaderIsAsked(t *testing.T) {
	w := newLimitedFixture(t, 1, 0.1)
	w.step(LoaderDown{Loader: "10.9.0.1"})
	if f := w.finishes[w.call("once", nil)]; f.Code != code.AtLimit || f.RetryAfter < time.Second {
		t.Fatalf("ended with %v, Retry-After %v; the test needs an own share that is due much later", f.Code, f.RetryAfter)
	}
	w.step(LoaderUp{Loader: "10.9.0.1"})
	key := w.call("once", nil)
	if ask := w.lastPermitRequest(); Key(ask.RequestID) != key {
		t.Errorf("asked for request %d, want %d", ask.RequestID, key)
	}
}

// A server no longer names a limit, but another server is as good and gets all requests:
// without an answer the end of the limit is not noticed, and the server counts as limited
// permanently. One request in ten seconds must go there nevertheless.
func TestUnconfirmedLimitIsProbed(t *testing.T) {
	w := newLimitedFixture(t, 2, 2)
	w.router.backends["s0"].latency, w.router.backends["s1"].latency = 20*time.Millisecond, 10*time.Millisecond
	asked := 0
	for range 15 {
		w.limitRequests = nil
		w.step(LoaderReported{Loader: "10.9.0.1", Holdings: core.Holdings{Instance: "engine", Routers: 1, Coordinator: "10.0.0.1"}})
		key := w.call("once", nil)
		if len(w.sends[key]) == 0 {
			asked++
			if !w.lastPermitRequest().Spare {
				t.Error("asked as if no other server could serve it")
			}
			w.answerPermitRequest(true, 0)
		}
		send := w.lastSend(key)
		w.step(Answered{Key: key, Attempt: send.Attempt, Answer: fleet.Answer{Status: 200}})
		w.step(Done{Key: key, Attempt: send.Attempt})
		w.run(time.Second)
	}
	if asked != 1 {
		t.Errorf("%d of 15 requests in 15 s went to the server, want 1", asked)
	}
	if w.router.backends["s0"].limited() {
		t.Error("the end of the limit was not noticed")
	}
}

// Guards against a limit that is forgotten with a registry entry that is gone for a moment: until
// the next answer the server would get as many requests as the others.
func TestLimitOutlastsItsEntry(t *testing.T) {
	w := newLimitedFixture(t, 2, 3)
	limited := w.server(plainService, 0)
	w.step(BackendsChanged{Removed: map[string]bool{"s0": true}})
	w.run(time.Second)
	w.step(BackendsChanged{Written: map[string]fleet.Backend{"s0": limited}})
	if state := w.router.Dump().Backends[1]; state.Instance != "s0" || state.LimitPerSecond == nil || *state.LimitPerSecond != 3 {
		t.Errorf("%s has the limit %v, want 3", state.Instance, state.LimitPerSecond)
	}
}
