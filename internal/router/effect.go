package router

import (
	"log/slog"
	"time"

	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
)

// Effect is an output of the reducer.
type Effect interface{ effect() }

// Send sends a request to a backend server, from the event on that was passed
// on last. AttemptFailed, Answered or CallerLeft follows.
type Send struct {
	Key     Key
	Attempt int
	// Instance and Address of the server.
	Instance string
	Address  string
	// MaxConns is this router's share of the server's connections.
	MaxConns int
	// Until is when the attempt ends at the latest.
	Until core.Time
	// Priority is 0 to 9, 0 first.
	Priority int
	// StallAfter, if not 0, is the pause after which Stalled is told.
	StallAfter time.Duration
	// Account is the client account that the server is told, "" if none.
	Account string
	// HideCredentials keeps the caller's credentials from the server.
	HideCredentials bool
}

// Forward passes the answer of the attempt on.
type Forward struct {
	Key     Key
	Attempt int
}

// Finish ends a request with an answer of our own. If a part of another answer
// was passed on, that is cut visibly instead.
type Finish struct {
	Key  Key
	Code code.Code
	// RetryAfter is when a refused caller should come back.
	RetryAfter time.Duration
	// Reason is for the caller and the log.
	Reason string
}

// Abandon closes the connection of an attempt, so that the server stops.
type Abandon struct {
	Key     Key
	Attempt int
}

// Reconnect closes the idle connections to a server, which lead to a life of it
// that is over.
type Reconnect struct{ Address string }

// Dial asks for a connection to a loader; Hangup ends it.
type (
	Dial struct {
		Loader  core.HostID
		Address string
	}
	Hangup struct{ Loader core.HostID }
)

// SendDemand sends a message to a loader.
type SendDemand struct {
	Loader core.HostID
	Demand core.Demand
}

// Wake asks for a Tick in place of the one asked for before.
type Wake struct{ At core.Time }

// Subject tells what a log line is about.
type Subject uint8

// The subjects. When lines come faster than they are written, those about
// single requests are dropped first.
const (
	// StateChange lines tell of a change of what the router believes.
	StateChange Subject = iota
	// SingleRequest lines tell of a decision on a request.
	SingleRequest
)

// Log is a line for operators.
type Log struct {
	About   Subject
	Message string
	Attrs   []slog.Attr
}

// Count adds to a counter, Observe to a histogram.
type (
	Count   struct{ core.Count }
	Observe struct{ core.Observe }
)

// RelayPoison has loaders pass news of poison requests on to all other routers.
type RelayPoison struct {
	Via  []core.HostID
	News core.PoisonNews
}

// RelayDigest has a loader pass a digest on to a part of the other routers.
type RelayDigest struct {
	Loader core.HostID
	Digest core.LoadDigest
}

// AskConfig asks loaders for a configuration above a version. ConfigRead follows, if any
// router has one.
type AskConfig struct {
	Loaders []core.HostID
	Wanted  core.ConfigWanted
}

// AskQuota asks a loader for tokens of client accounts. LoaderAnsweredQuota follows.
type AskQuota struct {
	Loader core.HostID
	Ask    core.QuotaAsk
}

// AskLimit tells the loader that counts what is known of a server's limit, and asks it for a
// permit. LoaderAnsweredLimit follows if it was asked.
type AskLimit struct {
	Loader core.HostID
	Ask    core.LimitAsk
}

// Publish keeps news of poison requests in the platform's store under a name, in place
// of what was there.
type Publish struct {
	Name string
	News core.PoisonNews
}

// ReadStore asks for a read of the platform's store soon. ConfigConfirmed follows, or
// StoreState.
type ReadStore struct{}

func (ReadStore) effect()   {}
func (AskConfig) effect()   {}
func (AskQuota) effect()    {}
func (AskLimit) effect()    {}
func (RelayPoison) effect() {}
func (RelayDigest) effect() {}
func (Publish) effect()     {}
func (Send) effect()        {}
func (Forward) effect()     {}
func (Finish) effect()      {}
func (Abandon) effect()     {}
func (Reconnect) effect()   {}
func (Dial) effect()        {}
func (Hangup) effect()      {}
func (SendDemand) effect()  {}
func (Wake) effect()        {}
func (Log) effect()         {}
func (Count) effect()       {}
func (Observe) effect()     {}
