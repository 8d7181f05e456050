package enginebudget

import (
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
)

// Targets are the objectives of the streams that an engine serves.
type Targets struct {
	// FirstEvent is the shortest objective for the first event, Pause the shortest one for
	// the pause between two events. 0 means that there is none.
	FirstEvent, Pause time.Duration
}

// Sample describes an engine at one time, and what happened since the previous sample.
type Sample struct {
	At core.Time
	// Running and Waiting are the requests at the engine, Unread those of both that have
	// produced no event yet.
	Running, Waiting, Unread int
	// Begun is the number of requests that produced their first event since the previous
	// sample, Events that of the events of all running requests.
	Begun, Events int
	// KVUsed and KVTotal are tokens in the engine's KV memory.
	KVUsed, KVTotal int
	// Asked is the number of permits that routers asked for since the previous sample,
	// granted or not.
	Asked int
}

// streams returns the number of requests that have produced an event and are running.
func (s Sample) streams() int { return max(0, s.Running+s.Waiting-s.Unread) }

// Cause is why an engine is crowded.
type Cause uint8

// The causes of overload.
const (
	// CauseNone: the engine is not crowded.
	CauseNone Cause = iota
	// CausePrompts: reading the unread prompts takes too long.
	CausePrompts
	// CausePauses: the pauses between events are too long.
	CausePauses
	// CauseMemory: running requests fill the KV memory.
	CauseMemory
)

// String returns the cause's name for logs and metrics.
func (c Cause) String() string { return [...]string{"none", "prompts", "pauses", "memory"}[c] }
