package router

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/fleet"
	"nutmeglane.example/nutmeglane/internal/limit"
)

const otherKey = "other-key-0123456789"

// newSharesFixture returns a router with two accounts and n engines that have m1 loaded. The
// first one has a limit.
func newSharesFixture(t *testing.T, n int) *fixture {
	w := newFixture(t)
	w.servers(engineService, n)
	config := accountsConfig(2, validKey)
	config.Accounts[0].Priority = 0
	config.Accounts = append(config.Accounts, fleet.Account{Name: "small", Priority: 1, Keys: []fleet.KeyDigest{fleet.DigestKey(otherKey)}})
	w.step(ConfigRead{Config: config})
	w.reportAll(n)
	w.step(LoaderAnsweredLimit{Loader: loaderName(0), Answer: core.LimitReply{
		Server: core.ServerLife{Instance: "s0"}, Limit: core.ReportedLimit{Named: true, PerSecond: 24, SentAgo: 2, ReceivedAgo: 1},
	}})
	w.limitRequests = nil
	return w
}

// reportAll reports that m1 is loaded at n engines.
func (w *fixture) reportAll(n int) {
	w.t.Helper()
	for i := range n {
		w.reportHoldings(i, core.Holdings{Instance: fmt.Sprintf("s%d", i), Models: loadedModels("m1")})
	}
}

// generate delivers a generation of an account.
func (w *fixture) generate(routeName, key string) Key {
	w.t.Helper()
	w.nextID++
	k := Key(w.nextID)
	w.step(Arrived{Key: k, Request: fleet.Request{
		ID: fmt.Sprintf("r%d", w.nextID), Host: callersHost, Path: "/" + routeName + "/x", Prompt: prompt("m1"),
		Credential: fleet.Credential{Given: true, Key: fleet.DigestKey(key)},
	}})
	return k
}

// refusePermit refuses the last request for a permit for a cause.
func (w *fixture) refusePermit(cause core.RefusalCause, room time.Duration) []Effect {
	w.t.Helper()
	ask := w.lastPermitRequest()
	return w.router.Step(w.now, LoaderAnsweredLimit{Loader: loaderName(0), Answer: core.LimitReply{
		Server: ask.Server, Limit: ask.Limit, RequestID: ask.RequestID, Spare: ask.Spare, Room: room, Cause: cause,
	}})
}

// wantAsked checks that the last message to a loader requests a permit for a request.
func (w *fixture) wantAsked(key Key) {
	w.t.Helper()
	if ask := w.lastPermitRequest(); Key(ask.RequestID) != key {
		w.t.Errorf("a permit was requested for %d, want %d", ask.RequestID, key)
	}
}

// Guards against a loader that can't tell accounts and ranks apart.
func TestPermitRequestNamesAccountRankAndSlack(t *testing.T) {
	w := newSharesFixture(t, 1)
	w.generate("patient", otherKey)
	ask := w.lastPermitRequest()
	if ask.Account != "small" || ask.Weight != 0 || ask.Rank != 1 || ask.Slack != 2500*time.Millisecond {
		t.Errorf("asked %+v", ask)
	}
	limited := &request{account: &fleet.Account{Rate: 30, Priority: -5}, route: &w.router.config.Routes[0], arrived: w.now.Add(-time.Hour)}
	if by := w.router.shareRequest(limited); by.Weight != 30 || by.Rank != 0 || by.Slack != 0 {
		t.Errorf("a late request of an account with a rate: %+v", by)
	}
}

// Guards against an account that has its share and whose requests wait, or hold back those of
// others at the same router: it must be told at once when to retry, and why.
func TestRequestOverItsAccountsShareIsRefused(t *testing.T) {
	w := newSharesFixture(t, 1)
	key := w.generate("quick", validKey)
	effects := w.refusePermit(core.ShareUsed, 2*time.Second)
	i := slices.IndexFunc(effects, func(e Effect) bool { _, ok := e.(Finish); return ok })
	if i < 0 {
		t.Fatalf("the request was not refused: %+v", effects)
	}
	finish := effects[i].(Finish)
	if finish.Key != key || finish.Code != code.AtLimit || finish.RetryAfter < 2*time.Second || finish.RetryAfter > 2600*time.Millisecond {
		t.Errorf("finished with %+v", finish)
	}
	if !strings.Contains(finish.Reason, "account has its share") {
		t.Errorf("reason %q", finish.Reason)
	}
	for _, want := range []core.Count{
		{Name: metricLimitPermits, Labels: []string{engineService, "refused for share"}, Add: 1},
		{Name: metricShareRefusals, Labels: []string{engineService, "large"}, Add: 1},
	} {
		if !slices.ContainsFunc(effects, func(e Effect) bool {
			c, ok := e.(Count)
			return ok && c.Name == want.Name && slices.Equal(c.Labels, want.Labels) && c.Add == want.Add
		}) {
			t.Errorf("not counted: %+v", want)
		}
	}
	if !slices.ContainsFunc(effects, func(e Effect) bool { l, ok := e.(Log); return ok && l.Message == shareUsedMessage }) {
		t.Error("not logged")
	}

	asked := len(w.limitRequests)
	if f := w.finishes[w.generate("quick", validKey)]; f.Code != code.AtLimit || len(w.limitRequests) != asked {
		t.Errorf("the account's next request ended with %+v after %d messages", f, len(w.limitRequests)-asked)
	}
	w.wantAsked(w.generate("quick", otherKey))
	w.run(2 * time.Second)
	w.wantAsked(w.generate("quick", validKey))
}

// Guards against a refusal although the account gets its next permit in time, and against a
// request that waits and is forgotten.
func TestRequestWaitsForItsAccountsShare(t *testing.T) {
	w := newSharesFixture(t, 1)
	key := w.generate("quick", validKey)
	w.refusePermit(core.ShareUsed, 200*time.Millisecond)
	w.limitRequests = nil
	w.run(150 * time.Millisecond)
	if f, ended := w.finishes[key]; ended || len(w.limitRequests) > 0 {
		t.Fatalf("after 150 ms: %+v, asked %+v", f, w.limitRequests)
	}
	w.run(100 * time.Millisecond)
	w.wantAsked(key)
	ask := w.lastPermitRequest()
	w.step(LoaderAnsweredLimit{Loader: loaderName(0), Answer: core.LimitReply{Server: ask.Server, Limit: ask.Limit, RequestID: ask.RequestID, Granted: true}})
	if send := w.lastSend(key); send.Instance != "s0" {
		t.Errorf("sent to %s", send.Instance)
	}
}

// Guards against a refusal although another engine has the model.
func TestRequestOverItsAccountsShareGoesElsewhere(t *testing.T) {
	w := newSharesFixture(t, 2)
	w.router.backends["s1"].failureRate = 0.9 // so that s0 is chosen first
	for range 3 {
		key := w.generate("quick", validKey)
		if len(w.limitRequests) > 0 {
			for _, e := range w.refusePermit(core.ShareUsed, 2*time.Second) {
				if send, ok := e.(Send); ok && send.Key == key {
					w.sends[key] = append(w.sends[key], send)
				}
			}
			w.limitRequests = nil
		}
		if send := w.lastSend(key); send.Instance != "s1" {
			t.Errorf("sent to %s", send.Instance)
		}
	}
}

// Guards against a less urgent request that holds back urgent ones, or that is not tried again
// once it would miss its objective.
func TestLessUrgentRequestWaits(t *testing.T) {
	w := newSharesFixture(t, 1)
	key := w.generate("patient", otherKey)
	w.refusePermit(core.UrgentFirst, 5*time.Second)
	urgent := w.generate("quick", validKey)
	w.wantAsked(urgent)
	w.answerUrgent()
	w.limitRequests = nil
	w.run(1900 * time.Millisecond)
	if f, ended := w.finishes[key]; ended || len(w.limitRequests) > 0 {
		t.Fatalf("after 1.9 s: %+v, asked %+v", f, w.limitRequests)
	}
	w.run(200 * time.Millisecond) // its objective is 2.5 s
	w.wantAsked(key)
	if ask := w.lastPermitRequest(); ask.Slack >= 500*time.Millisecond {
		t.Errorf("asked with a slack of %v", ask.Slack)
	}
	w.refusePermit(core.UrgentFirst, 300*time.Millisecond)
	w.limitRequests = nil
	w.run(200 * time.Millisecond)
	if len(w.limitRequests) > 0 {
		t.Error("an overdue request that was refused did not wait")
	}
	w.run(200 * time.Millisecond)
	w.wantAsked(key)
}

// answerUrgent grants the last request for a permit and ends its request.
func (w *fixture) answerUrgent() {
	w.t.Helper()
	ask := w.lastPermitRequest()
	w.step(LoaderAnsweredLimit{Loader: loaderName(0), Answer: core.LimitReply{Server: ask.Server, Limit: ask.Limit, RequestID: ask.RequestID, Granted: true}})
	key := Key(ask.RequestID)
	send := w.lastSend(key)
	w.step(Answered{Key: key, Attempt: send.Attempt, Answer: fleet.Answer{Status: 200, Limit: limitedTo(24)}})
	w.step(Done{Key: key, Attempt: send.Attempt})
}

// Guards against a cause of a later build, or a router of this build that gets none: both must
// hold back all requests until there is room, as before.
func TestRefusalWithoutAKnownCauseHoldsBackAll(t *testing.T) {
	for _, cause := range []core.RefusalCause{core.NoCapacity, 77} {
		w := newSharesFixture(t, 1)
		w.generate("quick", validKey)
		w.refusePermit(cause, 2*time.Second)
		if got := w.router.backends["s0"].limit.gate.Delay(w.now, false); got != 2*time.Second {
			t.Errorf("cause %d: requests are held back for %v", cause, got)
		}
	}
}

// Guards against shares that outlast the loader that keeps them: while it is frozen the router
// must decide on its own, and once it returns, the account must not be refused unasked.
func TestHoldsEndWithTheLoader(t *testing.T) {
	w := newSharesFixture(t, 1)
	w.generate("quick", validKey)
	w.refusePermit(core.ShareUsed, 4*time.Second)
	w.generate("quick", otherKey) // is not answered
	w.run(limit.PermitTimeout + 2*tickInterval)
	sent := 0
	for range 50 {
		if len(w.sends[w.generate("quick", validKey)]) > 0 {
			sent++
		}
		w.run(tickInterval)
	}
	if sent == 0 {
		t.Error("the account's requests were refused without a loader")
	}
	w.step(LoaderDown{Loader: loaderName(0)})
	w.step(LoaderUp{Loader: loaderName(0)})
	w.reportAll(1)
	w.wantAsked(w.generate("quick", validKey))
}
