// Package entry is the sub-reducer of an entry host: it accepts callers' requests,
// chooses the agent that runs each, streams the answer back and decides what may be
// retried when a connection, process or host fails.
//
// It gives three guarantees. A refusal with a "not run" code is proved: nothing was sent,
// or the agent that got the request reported that it did not and will not run it. A
// request that is not idempotent is started a second time only after such a proof. A
// caller gets each token or chunk once and in order.
package entry

import (
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/defaults"
)

// Config is the part's configuration. Zero durations and limits mean the defaults.
type Config struct {
	Host        core.HostID
	Incarnation core.Incarnation
	Zone        core.Zone
	// Seed seeds the generator that breaks ties between agents with similar load.
	Seed uint64
	// Timings are the protocol's durations.
	Timings core.Timings
	Limits  Limits
}

// Limits bound the requests that the entry holds and its waits.
type Limits struct {
	// QueueRequests is the maximum number of requests whose response head has not been
	// sent. Default 4096.
	QueueRequests int
	// QueueBytes is the maximum sum of the request bodies held. Default 16 MiB.
	QueueBytes int64
	// ResumeWindow is how long a broken stream waits for a new connection to
	// the same process. Default 5 s.
	ResumeWindow time.Duration
	// ConnectWait is how long a request that was not sent yet waits for a
	// connection to its agent. Default 2 s.
	ConnectWait time.Duration
	// StreamWindow is the number of data frames that an agent may send ahead of the
	// caller. Default 32.
	StreamWindow uint32
	// MaxAttempts bounds the Starts of one request. Default 3.
	MaxAttempts int
	// ColdStart is the assumed duration of a cold start until one is measured.
	// Default 20 s.
	ColdStart time.Duration
	// ServiceSubset is the number of agents of one plain service that this
	// entry connects to. Default 16.
	ServiceSubset int
}

func (l Limits) withDefaults() Limits {
	defaults.Set(&l.QueueRequests, 4096)
	defaults.Set(&l.QueueBytes, 16<<20)
	defaults.Set(&l.ResumeWindow, 5*time.Second)
	defaults.Set(&l.ConnectWait, 2*time.Second)
	defaults.Set(&l.StreamWindow, 32)
	defaults.Set(&l.MaxAttempts, 3)
	defaults.Set(&l.ColdStart, 20*time.Second)
	defaults.Set(&l.ServiceSubset, 16)
	return l
}
