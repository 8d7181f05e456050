package agent

import (
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
)

// IdlePolicy decides how long an idle checkpoint stays loaded. Keys have the
// form "<model or adapter>@<version>". An implementation must be deterministic.
type IdlePolicy interface {
	// Arrival records a request for key.
	Arrival(now core.Time, key string)
	// KeepUntil returns the time at which key, idle since now, is to be
	// unloaded; core.Never keeps it loaded. When memory is short, the
	// checkpoint with the earliest time is evicted first.
	KeepUntil(now core.Time, key string) core.Time
}

// FixedTTL keeps every checkpoint for the same time after its last request.
type FixedTTL struct {
	ttl  time.Duration
	last map[string]core.Time
}

// NewFixedTTL returns a policy with the given time to live.
func NewFixedTTL(ttl time.Duration) *FixedTTL {
	return &FixedTTL{ttl: ttl, last: map[string]core.Time{}}
}

// Arrival implements IdlePolicy.
func (f *FixedTTL) Arrival(now core.Time, key string) { f.last[key] = now }

// KeepUntil implements IdlePolicy. A key without a request so far, such as one
// adopted after a restart, is kept for one TTL from the first call on.
func (f *FixedTTL) KeepUntil(now core.Time, key string) core.Time {
	last, ok := f.last[key]
	if !ok {
		last = now
		f.last[key] = now
	}
	return last.Add(f.ttl)
}
