package accounts

import (
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/fleet"
)

// maxRefused bounds the keys that are remembered, at some 50 bytes each. Callers who try
// a new key with each request would take memory without it.
const maxRefused = 4096

// Refused remembers keys that were found to be unknown, for a while.
//
// It answers this pattern: callers whose key was taken away go on calling, hundreds of
// times a second. Each time the router would look into the store again whether the key is
// new there, a call that costs and, until its answer, holds the request up.
//
// The zero value is not usable; see NewRefused.
type UnknownKeys struct {
	lasts time.Duration
	until map[fleet.KeyDigest]core.Time
}

// NewRefused returns an empty memory. What it remembers lasts so long: a key that becomes
// valid after it was refused is refused for no longer than that.
func NewUnknownKeys(lasts time.Duration) *UnknownKeys {
	return &UnknownKeys{lasts: lasts, until: map[fleet.KeyDigest]core.Time{}}
}

// Add notes that a key is unknown as of now.
func (r *UnknownKeys) Add(now core.Time, key fleet.KeyDigest) {
	if len(r.until) >= maxRefused {
		clear(r.until)
	}
	r.until[key] = max(r.until[key], now.Add(r.lasts))
}

// Drop notes that a key was taken away: it stays unknown until Clear.
//
// With a look into the store each second for each such key, 28 routers asked 2,000 times
// within 34 s.
func (r *UnknownKeys) AddRemoved(key fleet.KeyDigest) { r.until[key] = core.Never }

// Has tells whether a key was found to be unknown a short while ago, or taken away.
func (r *UnknownKeys) Has(now core.Time, key fleet.KeyDigest) bool {
	until, ok := r.until[key]
	if ok && now >= until {
		delete(r.until, key)
		return false
	}
	return ok
}

// Clear forgets all keys: a newer configuration may have them.
func (r *UnknownKeys) Clear() { clear(r.until) }
