package router

import (
	"testing"
	"time"

	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/fleet"
)

const (
	validKey = "valid-key-0123456789"
	newKey   = "new-key-01234567890"
)

// accountsConfig returns the test configuration at a version, with one account.
func accountsConfig(version int64, keys ...string) *fleet.Config {
	config := testConfig()
	config.Version = version
	account := fleet.Account{Name: "large", Priority: 3, Rate: 0}
	for _, key := range keys {
		account.Keys = append(account.Keys, fleet.DigestKey(key))
	}
	config.Accounts = []fleet.Account{account}
	return config
}

func newAccountsFixture(t *testing.T) *fixture {
	w := newFixture(t)
	w.servers(plainService, 2)
	w.step(ConfigRead{Config: accountsConfig(2, validKey)})
	return w
}

// callWith delivers a request with a key, or without one if it is "".
func (w *fixture) callWith(routeName, key string) Key {
	w.t.Helper()
	w.nextID++
	k := Key(w.nextID)
	request := fleet.Request{ID: "a", Host: callersHost, Path: "/" + routeName + "/x"}
	if key != "" {
		request.Credential = fleet.Credential{Given: true, Key: fleet.DigestKey(key)}
	}
	w.step(Arrived{Key: k, Request: request})
	return k
}

// confirm ends a read of the store that begins now, some ms later.
func (w *fixture) confirm() {
	w.t.Helper()
	began := w.now
	w.now = w.now.Add(8 * time.Millisecond)
	w.step(ConfigConfirmed{AsOf: began})
}

func (w *fixture) wantCode(key Key, want code.Code) {
	w.t.Helper()
	finish, ok := w.finishes[key]
	switch {
	case want == code.OK && (ok || len(w.sends[key]) == 0):
		w.t.Errorf("request %d was not sent; finish %+v", key, finish)
	case want != code.OK && (!ok || finish.Code != want || len(w.sends[key]) > 0):
		w.t.Errorf("request %d ended with %+v and %d sends, want %v", key, finish, len(w.sends[key]), want)
	}
}

func TestKnownCallerIsServedUnderItsAccount(t *testing.T) {
	w := newAccountsFixture(t)
	key := w.callWith("once", validKey)
	send := w.lastSend(key)
	if send.Account != "large" || !send.HideCredentials {
		t.Errorf("sent as %q, credentials hidden: %t", send.Account, send.HideCredentials)
	}
	if want := enginePriority(3); send.Priority != want {
		t.Errorf("priority %d, want the account's, %d", send.Priority, want)
	}
}

func TestWithoutAccountsNoKeyIsNeeded(t *testing.T) {
	w := newFixture(t)
	w.servers(plainService, 2)
	send := w.lastSend(w.callWith("once", "any"))
	if send.Account != "" || send.HideCredentials {
		t.Errorf("sent as %q, credentials hidden: %t", send.Account, send.HideCredentials)
	}
}

func TestPublicRouteNeedsNoKey(t *testing.T) {
	w := newAccountsFixture(t)
	config := accountsConfig(3, validKey)
	for i := range config.Routes {
		config.Routes[i].Public = config.Routes[i].Name == "again"
	}
	w.step(ConfigRead{Config: config})
	for _, key := range []string{"", "wrong", validKey} {
		if send := w.lastSend(w.callWith("again", key)); !send.HideCredentials || (send.Account != "") != (key == validKey) {
			t.Errorf("with key %q sent as %+v", key, send)
		}
	}
}

// An operator adds a key and its holder calls at once, at a router that reads the store
// once a second. A refusal would be final: the caller does not retry. The request must be
// held until the router has read the store, and then be served.
func TestNewKeyIsServedOnceItIsRead(t *testing.T) {
	w := newAccountsFixture(t)
	key := w.callWith("once", newKey)
	if len(w.sends[key]) > 0 || w.storeReads != 1 {
		t.Fatalf("%d sends, %d reads of the store, want 0 and 1", len(w.sends[key]), w.storeReads)
	}
	w.now = w.now.Add(8 * time.Millisecond)
	w.step(ConfigRead{Config: accountsConfig(3, validKey, newKey)})
	w.wantCode(key, code.OK)
}

// An unknown key must be refused as soon as a read that began after the request has shown
// that it is not new; a read that began before the request proves nothing.
func TestUnknownKeyIsRefusedAfterARead(t *testing.T) {
	w := newAccountsFixture(t)
	w.confirm()
	for _, shown := range []string{"wrong", ""} {
		key := w.callWith("once", shown)
		w.step(ConfigConfirmed{AsOf: w.now.Add(-time.Millisecond)})
		if _, ended := w.finishes[key]; ended {
			t.Errorf("a read that began before the request ended it: %+v", w.finishes[key])
		}
		w.confirm()
		w.wantCode(key, code.UnknownKey)
		reads := w.storeReads
		w.wantCode(w.callWith("once", shown), code.UnknownKey)
		if w.storeReads != reads {
			t.Error("a key that was found unknown a moment ago cost another read")
		}
		w.run(confirmPause)
	}
}

// The store is unavailable, for all routers or for this one alone, and a caller uses an
// unknown key. Whether the key is new is unknown: a final refusal may be wrong, so that the
// answer must be to retry later; and at once, as no read will succeed.
func TestUnknownKeyWithoutAStore(t *testing.T) {
	w := newAccountsFixture(t)
	w.step(StoreState{Reachable: false})
	key := w.callWith("once", newKey)
	w.wantCode(key, code.KeyUnsure)
	if w.finishes[key].RetryAfter <= 0 {
		t.Error("refused without Retry-After")
	}
}

// The store refuses this router only, which receives news of the others' reads. A caller
// with an unknown key must be answered at once that it should retry later, as no read of
// this router succeeds: each would cost the store a call, five times a second.
func TestNoReadsWhereTheStoreRefuses(t *testing.T) {
	w := newAccountsFixture(t)
	w.step(StoreState{Reachable: false})
	w.step(NewsReceived{})
	w.wantCode(w.callWith("once", newKey), code.KeyUnsure)
	if w.storeReads > 0 {
		t.Errorf("%d reads", w.storeReads)
	}
}

// The store does not answer for a long time while requests are held. They must not be held
// for longer than an answer takes.
func TestHeldRequestEnds(t *testing.T) {
	w := newAccountsFixture(t)
	key := w.callWith("once", newKey)
	w.run(holdLimit + tickInterval)
	w.wantCode(key, code.KeyUnsure)
}

// A caller cancels while its request is held. The request must not be sent later.
func TestCallerLeavesWhileHeld(t *testing.T) {
	w := newAccountsFixture(t)
	key := w.callWith("once", newKey)
	w.step(CallerLeft{Key: key})
	w.step(ConfigRead{Config: accountsConfig(3, validKey, newKey)})
	if _, ended := w.finishes[key]; ended || len(w.sends[key]) > 0 {
		t.Errorf("a request whose caller had cancelled proceeded: %+v", w.finishes[key])
	}
}

// Thousands of callers with wrong keys arrive within a second. Reads of the store must stay
// few, and the number of held requests bounded.
func TestReadsForUnknownKeysAreBounded(t *testing.T) {
	w := newAccountsFixture(t)
	for i := range 2000 {
		w.callWith("once", string(rune('a'+i%26))+newKey+string(rune('a'+i/26%26)))
		w.now = w.now.Add(500 * time.Microsecond)
	}
	if most := int(time.Second/confirmPause) + 1; w.storeReads > most {
		t.Errorf("%d reads in a second, want at most %d", w.storeReads, most)
	}
	if held := len(w.router.callers.held); held > maxHeld {
		t.Errorf("%d requests are held", held)
	}
}

// A key is removed. As soon as the router has the newer configuration the key must be
// refused, without a read for each call, and an older configuration that arrives late must
// not restore it.
func TestRemovedKeyIsRefusedForGood(t *testing.T) {
	w := newAccountsFixture(t)
	w.step(ConfigRead{Config: accountsConfig(3, newKey)})
	w.step(ConfigRead{Config: accountsConfig(2, validKey)})
	w.wantCode(w.callWith("once", validKey), code.UnknownKey)
	w.wantCode(w.callWith("once", newKey), code.OK)
	if w.storeReads > 0 {
		t.Errorf("%d reads for a key that was removed", w.storeReads)
	}
	w.run(2 * refusedTTL)
	w.wantCode(w.callWith("once", validKey), code.UnknownKey)
}

// A held request's deadline counts from its arrival, not from when it was admitted.
func TestHeldTimeCounts(t *testing.T) {
	w := newAccountsFixture(t)
	key := w.callWith("once", newKey)
	at := w.now
	w.now = w.now.Add(300 * time.Millisecond)
	w.step(ConfigRead{Config: accountsConfig(3, validKey, newKey)})
	if until, want := w.lastSend(key).Until, at.Add(800*time.Millisecond); until != want {
		t.Errorf("the attempt ends at %v, want %v", until, want)
	}
}
