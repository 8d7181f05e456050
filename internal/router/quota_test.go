package router

import (
	"testing"
	"time"

	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/fleet"
	"nutmeglane.example/nutmeglane/internal/quota"
)

// quotaWorld is a router beside a loader that keeps the bounds of an account.
type quotaWorld struct {
	*world
	keeper *quota.Keeper
}

// newQuotaWorld returns a router that has lent its share to the loader of an engine.
func newQuotaWorld(t *testing.T) *quotaWorld {
	w := &quotaWorld{world: newWorld(t), keeper: quota.NewKeeper()}
	bounds := testBounds()
	bounds.QuotaWindow, bounds.QuotaRouters = 8*time.Second, 1
	w.router.SetBounds(bounds)
	w.step(BackendsRead{Backends: map[string]fleet.Backend{"s0": w.server(engineService, 0), "s1": w.server(plainService, 1)}})
	config := accountsConfig(2, validKey)
	config.Accounts[0].Rate, config.Accounts[0].Burst = 100, 100
	w.step(ConfigRead{Config: config})
	for range 100 {
		w.holds(0, core.Holdings{Models: loadedModels("m0")})
		w.run(tickInterval)
		w.answer()
	}
	return w
}

// answer lets the loader answer what it was asked.
func (w *quotaWorld) answer() {
	w.t.Helper()
	asks := w.quotaAsks
	w.quotaAsks = nil
	for _, ask := range asks {
		w.step(LoaderAnsweredQuota{Loader: ask.Loader, Answer: *w.keeper.Ask(w.now, "10.0.0.1", ask.Ask)})
	}
}

// Guards against a request that is refused, or sent without room in its account's bound, while
// the loader is being asked.
func TestRequestWaitsForItsAccountsRoom(t *testing.T) {
	w := newQuotaWorld(t)
	key := w.callWith("again", validKey)
	if _, ended := w.finishes[key]; ended || len(w.sends[key]) > 0 {
		t.Fatalf("decided before the loader has answered: %+v", w.finishes[key])
	}
	w.answer()
	w.wantCode(key, code.OK)
}

// Guards against tokens that are taken for a caller who has left.
func TestCallerWhoLeavesWhileItWaitsForRoomIsForgotten(t *testing.T) {
	w := newQuotaWorld(t)
	key := w.callWith("again", validKey)
	w.step(CallerLeft{Key: key})
	w.answer()
	if len(w.sends[key]) > 0 || len(w.router.requests) > 0 {
		t.Errorf("%d sends, %d requests left", len(w.sends[key]), len(w.router.requests))
	}
}

// An account asks for far more than it may. What is refused was not sent anywhere, and what
// is served is within the bound.
func TestAccountOverItsBoundIsRefused(t *testing.T) {
	w := newQuotaWorld(t)
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
