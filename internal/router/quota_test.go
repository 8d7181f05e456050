package router

import (
	"testing"
	"time"

	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/fleet"
	"nutmeglane.example/nutmeglane/internal/quota"
)

// quotaFixture is a router with a loader that keeps the quotas of an account.
type quotaFixture struct {
	*fixture
	granter *quota.Granter
}

// newQuotaFixture returns a router that has lent its share to the loader of an engine.
func newQuotaFixture(t *testing.T) *quotaFixture {
	w := &quotaFixture{fixture: newFixture(t), granter: quota.NewGranter()}
	bounds := testBounds()
	bounds.QuotaWindow, bounds.QuotaRouters = 8*time.Second, 1
	w.router.SetBounds(bounds)
	w.step(BackendsRead{Backends: map[string]fleet.Backend{"s0": w.server(engineService, 0), "s1": w.server(plainService, 1)}})
	config := accountsConfig(2, validKey)
	config.Accounts[0].Rate, config.Accounts[0].Burst = 100, 100
	w.step(ConfigRead{Config: config})
	for range 100 {
		w.reportHoldings(0, core.Holdings{Models: loadedModels("m0")})
		w.run(tickInterval)
		w.answer()
	}
	return w
}

// answer delivers the loader's answers to its questions.
func (w *quotaFixture) answer() {
	w.t.Helper()
	asks := w.quotaRequests
	w.quotaRequests = nil
	for _, ask := range asks {
		w.step(LoaderAnsweredQuota{Loader: ask.Loader, Answer: *w.granter.HandleRequest(w.now, "10.0.0.1", ask.Request)})
	}
}

// Guards against a request that is refused, or sent without quota of its account, while the
// loader is being asked.
func TestRequestWaitsForItsAccountsQuota(t *testing.T) {
	w := newQuotaFixture(t)
	key := w.callWith("again", validKey)
	if _, ended := w.finishes[key]; ended || len(w.sends[key]) > 0 {
		t.Fatalf("decided before the loader has answered: %+v", w.finishes[key])
	}
	w.answer()
	w.wantCode(key, code.OK)
}

// Guards against tokens that are charged for a caller who has cancelled.
func TestCallerWhoLeavesWhileWaitingForQuotaIsDropped(t *testing.T) {
	w := newQuotaFixture(t)
	key := w.callWith("again", validKey)
	w.step(CallerLeft{Key: key})
	w.answer()
	if len(w.sends[key]) > 0 || len(w.router.requests) > 0 {
		t.Errorf("%d sends, %d requests left", len(w.sends[key]), len(w.router.requests))
	}
}

// An account requests far more than its quota. Refused requests must not be sent anywhere,
// and what is served must be within the quota.
func TestAccountOverItsQuotaIsRefused(t *testing.T) {
	w := newQuotaFixture(t)
	refused, served := 0, 0
	for range 2000 {
		key := w.callWith("again", validKey)
		w.answer()
		finish, ended := w.finishes[key]
		switch {
		case ended && (finish.Code != code.OverQuota || finish.RetryAfter <= 0 || len(w.sends[key]) > 0):
			t.Fatalf("ended with %+v and %d sends", finish, len(w.sends[key]))
		case ended:
			refused++
		case len(w.sends[key]) > 0:
			served++
		}
	}
	if most := 9 * 100; refused == 0 || served == 0 || served > most {
		t.Errorf("%d refused, %d served at once; the bound is %d", refused, served, most)
	}
}
