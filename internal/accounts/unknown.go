package accounts

import (
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/fleet"
)

// maxUnknownKeys is the largest number of remembered keys, at about 50 bytes each. It
// bounds the memory that callers use up who send a new key with each request.
const maxUnknownKeys = 4096

// UnknownKeys is a negative cache of keys that were looked up and not found.
//
// It serves callers that continue to use a removed key, hundreds of times per second.
// Without it, the router would look up in the store each time whether the key has been
// added, a call that has a cost and delays the request until it returns.
//
// The zero value is not usable; see NewUnknownKeys.
type UnknownKeys struct {
	lifetime time.Duration
	until    map[fleet.KeyDigest]core.Time
}

// NewUnknownKeys returns an empty cache with the given lifetime of entries: a key that
// becomes valid after it was refused is refused for no longer than that.
func NewUnknownKeys(lifetime time.Duration) *UnknownKeys {
	return &UnknownKeys{lifetime: lifetime, until: map[fleet.KeyDigest]core.Time{}}
}

// Add records that a key is unknown at this time.
func (r *UnknownKeys) Add(now core.Time, key fleet.KeyDigest) {
	if len(r.until) >= maxUnknownKeys {
		clear(r.until)
	}
	r.until[key] = max(r.until[key], now.Add(r.lifetime))
}

// AddRemoved records that a key was removed: it stays unknown until Clear.
//
// When each such key was looked up in the store once per second, 28 routers made 2,000
// lookups within 34 s.
func (r *UnknownKeys) AddRemoved(key fleet.KeyDigest) { r.until[key] = core.Never }

// Has reports whether a key was recently found to be unknown, or was removed.
func (r *UnknownKeys) Has(now core.Time, key fleet.KeyDigest) bool {
	until, ok := r.until[key]
	if ok && now >= until {
		delete(r.until, key)
		return false
	}
	return ok
}

// Clear removes all keys, since a newer configuration may contain them.
func (r *UnknownKeys) Clear() { clear(r.until) }
