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

// accountsConfig is the test configuration at a version, with one account.
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

func newAccountsWorld(t *testing.T) *world {
	w := newWorld(t)
	w.servers(plainService, 2)
	w.step(ConfigRead{Config: accountsConfig(2, validKey)})
	return w
}

// callWith lets a request with a key arrive; "" shows none.
func (w *world) callWith(routeName, key string) Key {
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

// confirm lets a look into the store that begins now end some ms later.
func (w *world) confirm() {
	w.t.Helper()
	began := w.now
	w.now = w.now.Add(8 * time.Millisecond)
	w.step(ConfigConfirmed{AsOf: began})
}

func (w *world) wantCode(key Key, want code.Code) {
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
	w := newAccountsWorld(t)
	key := w.callWith("once", validKey)
	send := w.lastSend(key)
	if send.Account != "large" || !send.HideCredentials {
		t.Errorf("sent as %q, credentials hidden: %t", send.Account, send.HideCredentials)
	}
	if want := enginePriority(3); send.Priority != want {
		t.Errorf("priority %d, want the account's, %d", send.Priority, want)
	}
}

func TestWithoutAccountsNobodyIsAsked(t *testing.T) {
	w := newWorld(t)
	w.servers(plainService, 2)
	send := w.lastSend(w.callWith("once", "any"))
	if send.Account != "" || send.HideCredentials {
		t.Errorf("sent as %q, credentials hidden: %t", send.Account, send.HideCredentials)
	}
}

func TestPublicRouteNeedsNoKey(t *testing.T) {
	w := newAccountsWorld(t)
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
// once a second. A refusal would be final: the caller does not come back. The request
// must be held until the router has looked, and then be served.
func TestNewKeyIsServedOnceItIsRead(t *testing.T) {
	w := newAccountsWorld(t)
	key := w.callWith("once", newKey)
	if len(w.sends[key]) > 0 || w.looks != 1 {
		t.Fatalf("%d sends, %d looks into the store, want 0 and 1", len(w.sends[key]), w.looks)
	}
	w.now = w.now.Add(8 * time.Millisecond)
	w.step(ConfigRead{Config: accountsConfig(3, validKey, newKey)})
	w.wantCode(key, code.OK)
}

// A key that nobody holds is refused as soon as a look that began after the request has
// shown that it is not new; a look that began before it shows nothing.
func TestUnknownKeyIsRefusedAfterALook(t *testing.T) {
	w := newAccountsWorld(t)
	w.confirm()
	for _, shown := range []string{"wrong", ""} {
		key := w.callWith("once", shown)
		w.step(ConfigConfirmed{AsOf: w.now.Add(-time.Millisecond)})
		if _, ended := w.finishes[key]; ended {
			t.Errorf("a look of before the request ended it: %+v", w.finishes[key])
		}
		w.confirm()
		w.wantCode(key, code.UnknownKey)
		looks := w.looks
		w.wantCode(w.callWith("once", shown), code.UnknownKey)
		if w.looks != looks {
			t.Error("a key that was found unknown a moment ago cost another look")
		}
		w.run(confirmPause)
	}
}

// The store is away, or turns this router alone away, and a caller shows an unknown key.
// Whether it is new can't be told: a final refusal may be false, so that the caller must
// be told to come back; and at once, as no look will succeed.
func TestUnknownKeyWithoutAStore(t *testing.T) {
	w := newAccountsWorld(t)
	w.step(StoreState{Reachable: false})
	key := w.callWith("once", newKey)
	w.wantCode(key, code.KeyUnsure)
	if w.finishes[key].RetryAfter <= 0 {
		t.Error("the caller is not told when to come back")
	}
}

// The store turns this router alone away; it hears of others' reads. A caller with an
// unknown key must be told at once to come back, as no look of this router succeeds: each
// would cost the store a call, five times a second.
func TestNoLooksWhereTheStoreTurnsAway(t *testing.T) {
	w := newAccountsWorld(t)
	w.step(StoreState{Reachable: false})
	w.step(NewsReceived{})
	w.wantCode(w.callWith("once", newKey), code.KeyUnsure)
	if w.looks > 0 {
		t.Errorf("%d looks", w.looks)
	}
}

// The store does not answer for long while requests are held. They must not be held for
// longer than an answer takes.
func TestHeldRequestEnds(t *testing.T) {
	w := newAccountsWorld(t)
	key := w.callWith("once", newKey)
	w.run(holdLimit + tickInterval)
	w.wantCode(key, code.KeyUnsure)
}

// A caller leaves while its request is held. Nothing of it may be sent later.
func TestCallerLeavesWhileHeld(t *testing.T) {
	w := newAccountsWorld(t)
	key := w.callWith("once", newKey)
	w.step(CallerLeft{Key: key})
	w.step(ConfigRead{Config: accountsConfig(3, validKey, newKey)})
	if _, ended := w.finishes[key]; ended || len(w.sends[key]) > 0 {
		t.Errorf("a request whose caller left went on: %+v", w.finishes[key])
	}
}

// Thousands of callers with wrong keys come in a second. Looks into the store must stay
// few, and what is held bounded.
func TestLooksForUnknownKeysAreBounded(t *testing.T) {
	w := newAccountsWorld(t)
	for i := range 2000 {
		w.callWith("once", string(rune('a'+i%26))+newKey+string(rune('a'+i/26%26)))
		w.now = w.now.Add(500 * time.Microsecond)
	}
	if most := int(time.Second/confirmPause) + 1; w.looks > most {
		t.Errorf("%d looks in a second, want %d at most", w.looks, most)
	}
	if held := len(w.router.callers.held); held > maxHeld {
		t.Errorf("%d requests are held", held)
	}
}

// A key is taken away. From the moment at which the router has the newer configuration it
// must be refused, without a look for each call, and an older configuration that comes
// late must not bring it back.
func TestRemovedKeyIsRefusedForGood(t *testing.T) {
	w := newAccountsWorld(t)
	w.step(ConfigRead{Config: accountsConfig(3, newKey)})
	w.step(ConfigRead{Config: accountsConfig(2, validKey)})
	w.wantCode(w.callWith("once", validKey), code.UnknownKey)
	w.wantCode(w.callWith("once", newKey), code.OK)
	if w.looks > 0 {
		t.Errorf("%d looks for a key that was taken away", w.looks)
	}
	w.run(2 * refusedLasts)
	w.wantCode(w.callWith("once", validKey), code.UnknownKey)
}

// A held request's time counts from its arrival, not from when it went on.
func TestHeldTimeCounts(t *testing.T) {
	w := newAccountsWorld(t)
	key := w.callWith("once", newKey)
	at := w.now
	w.now = w.now.Add(300 * time.Millisecond)
	w.step(ConfigRead{Config: accountsConfig(3, validKey, newKey)})
	if until, want := w.lastSend(key).Until, at.Add(800*time.Millisecond); until != want {
		t.Errorf("the server has until %v, want %v", until, want)
	}
}
