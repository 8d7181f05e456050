package accounts

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/fleet"
)

func credential(key string) fleet.Credential {
	return fleet.Credential{Given: true, Key: fleet.DigestKey(key)}
}

func account(name string, keys ...string) fleet.Account {
	a := fleet.Account{Name: name}
	for _, key := range keys {
		a.Keys = append(a.Keys, fleet.DigestKey(key))
	}
	return a
}

func TestFind(t *testing.T) {
	d := NewDirectory([]fleet.Account{account("a", "k1", "k2"), account("b", "k3", "k1")})
	for key, want := range map[string]string{"k1": "a", "k2": "a", "k3": "b"} {
		if got := d.Find(credential(key)); got == nil || got.Name != want {
			t.Errorf("key %s belongs to %v, want %s", key, got, want)
		}
	}
	if d.Find(credential("k4")) != nil || d.Find(fleet.Credential{}) != nil {
		t.Error("an unknown or missing key names an account")
	}
}

func TestRemovedKeys(t *testing.T) {
	before := NewDirectory([]fleet.Account{account("a", "k1", "k2")})
	after := NewDirectory([]fleet.Account{account("b", "k2")})
	if got, want := before.RemovedKeys(after), []fleet.KeyDigest{fleet.DigestKey("k1")}; !slices.Equal(got, want) {
		t.Errorf("dropped %v, want %v", got, want)
	}
}

// A caller continues to use a removed key for hours. The key must not be looked up with
// each request, and a key that becomes valid must not be refused for longer than the given
// time.
func TestUnknownKeysExpire(t *testing.T) {
	r, now := NewUnknownKeys(time.Second), core.Time(time.Hour)
	key := fleet.DigestKey("k1")
	r.Add(now, key)
	if !r.Has(now.Add(999*time.Millisecond), key) || r.Has(now.Add(time.Second), key) {
		t.Error("an unknown key is not remembered for exactly one second")
	}
	r.Add(now, key)
	r.Clear()
	if r.Has(now, key) {
		t.Error("Clear did not remove the key")
	}
}

// A caller uses a new key with each request. Memory must stay bounded.
func TestUnknownKeysAreBounded(t *testing.T) {
	r := NewUnknownKeys(time.Hour)
	for i := range 10 * maxUnknownKeys {
		r.Add(core.Time(i), fleet.DigestKey(fmt.Sprint(i)))
	}
	if len(r.until) > maxUnknownKeys {
		t.Errorf("%d keys are remembered", len(r.until))
	}
}

func BenchmarkFind(b *testing.B) {
	var list []fleet.Account
	for i := range 1000 {
		list = append(list, account(fmt.Sprint("a", i), fmt.Sprint("k", i), fmt.Sprint("l", i)))
	}
	d := NewDirectory(list)
	for b.Loop() {
		if d.Find(credential("k500")) == nil {
			b.Fatal("not found")
		}
	}
}

// The holder of a removed key continues to use it for hours. The key must be refused
// without a lookup until there is a newer configuration.
func TestRemovedKeysDoNotExpire(t *testing.T) {
	r, key := NewUnknownKeys(time.Second), fleet.DigestKey("k1")
	r.AddRemoved(key)
	if !r.Has(core.Time(1000*time.Hour), key) {
		t.Error("a removed key is looked up again")
	}
	r.Clear()
	if r.Has(0, key) {
		t.Error("Clear did not remove the key")
	}
}
