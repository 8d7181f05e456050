package router

import (
	"log/slog"
	"time"

	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/fleet"
)

// Effect is an output of the reducer.
type Effect interface{ effect() }

// Send sends a request to a backend server. A stream continues after the last event that
// was forwarded. AttemptFailed, Answered or CallerLeft follows.
type Send struct {
	Key     Key
	Attempt int
	// Incarnation and Address identify the server.
	fleet.Incarnation
	Address string
	// MaxConns is this router's share of the server's connections.
	MaxConns int
	// Until is when the attempt ends at the latest.
	Until core.Time
	// Priority is 0 to 9, 0 highest.
	Priority int
	// StallAfter, if not 0, is the pause after which Stalled is reported.
	StallAfter time.Duration
	// Account is the client account that is passed to the server, "" if none.
	Account string
	// HideCredentials removes the caller's credentials from the request.
	HideCredentials bool
	// Hedge is set for an attempt that is made beside the current one, which continues. Rest is set
	// for a hedge that continues a stream of which the caller has a part.
	Hedge, Rest bool
	// CopyTo is the address of the engine to which the request's KV memory is copied while it
	// runs, "" for none.
	CopyTo string
	// CopyFrom, if not "", is the copy from which the server continues the run of the attempt
	// before, as "IP:port/request id". Its answer is forwarded only if it is a stream whose events
	// have the ids that follow the last forwarded one.
	CopyFrom string
}

// Forward passes the answer of the attempt on to the caller. It ends the request if the answer was
// reported as whole.
type Forward struct {
	Key     Key
	Attempt int
}

// Complete ends the answer of the attempt, which the caller then has as complete. Only after it may
// the mark of the end be given to the caller: an attempt that the router has left must not end the
// answer of the one that follows.
type Complete struct {
	Key     Key
	Attempt int
}

// Finish ends a request with an answer of the router itself. If part of another answer was
// already forwarded, that answer is cut off visibly instead.
type Finish struct {
	Key  Key
	Code code.Code
	// RetryAfter is the time after which a refused caller should retry.
	RetryAfter time.Duration
	// Reason is for the caller and the log.
	Reason string
}

// Abandon closes the connection of an attempt, so that the server stops processing it.
type Abandon struct {
	Key     Key
	Attempt int
}

// Reconnect closes the idle connections to an address, which belong to a server incarnation
// that has ended.
type Reconnect struct{ Address string }

// Dial opens a connection to a loader, Hangup closes it.
type (
	Dial struct {
		Loader  core.HostID
		Address string
	}
	Hangup struct{ Loader core.HostID }
)

// SendDemand sends a Demand to a loader.
type SendDemand struct {
	Loader core.HostID
	Demand core.Demand
}

// Wake schedules a Tick. It replaces the one scheduled before.
type Wake struct{ At core.Time }

// Subject classifies log lines by what they are about.
type Subject uint8

// The subjects. When lines are produced faster than they are written, those about single
// requests are dropped first.
const (
	// StateChange lines report a change of the router's state.
	StateChange Subject = iota
	// SingleRequest lines report a decision on a request.
	SingleRequest
)

// Log is a line for operators.
type Log struct {
	About   Subject
	Message string
	Attrs   []slog.Attr
	// Of, if not 0, is the request that the line is about, whose progress is added: what its caller
	// was given, and when its server last sent a byte.
	Of Key
}

// Count adds to a counter, Observe to a histogram.
type (
	Count   struct{ core.Count }
	Observe struct{ core.Observe }
)

// RelayPoison makes loaders relay news of poison requests to all other routers.
type RelayPoison struct {
	Via  []core.HostID
	News core.PoisonNews
}

// RelayDraining makes loaders relay news of a draining server to all other routers.
type RelayDraining struct {
	Via  []core.HostID
	News core.ServerDraining
}

// RelayDigest makes a loader relay a digest to a part of the other routers.
type RelayDigest struct {
	Loader core.HostID
	Digest core.LoadDigest
}

// RequestConfig requests from loaders a configuration above a version. ConfigRead follows
// if any router has one.
type RequestConfig struct {
	Loaders []core.HostID
	Wanted  core.ConfigWanted
}

// SendQuotaRequest requests tokens of client accounts from a loader. LoaderAnsweredQuota
// follows.
type SendQuotaRequest struct {
	Loader  core.HostID
	Request core.QuotaRequest
}

// SendLimitRequest reports a server's limit to the loader that counts the requests to it, and
// may request a permit from that loader. LoaderAnsweredLimit follows if a permit was
// requested.
type SendLimitRequest struct {
	Loader  core.HostID
	Request core.LimitRequest
}

// TellOrigins tells a loader which releases began streams.
type TellOrigins struct {
	Loader core.HostID
	News   core.OriginNews
}

// AskOrigin asks a loader which release began a stream. LoaderAnsweredOrigin follows.
type AskOrigin struct {
	Loader core.HostID
	Query  core.OriginQuery
}

// PublishReleases writes a note to the platform's store that a service has several releases.
// It lasts as long as the note says.
type PublishReleases struct{ Note core.ReleaseNote }

// Publish writes news of poison requests to the platform's store under a name, replacing
// what is stored there.
type Publish struct {
	Name string
	News core.PoisonNews
}

// ReadStore requests a read of the platform's store soon. ConfigConfirmed and RegistryConfirmed
// follow, or StoreState.
type ReadStore struct{}

func (ReadStore) effect()        {}
func (TellOrigins) effect()      {}
func (AskOrigin) effect()        {}
func (PublishReleases) effect()  {}
func (RequestConfig) effect()    {}
func (SendQuotaRequest) effect() {}
func (SendLimitRequest) effect() {}
func (RelayPoison) effect()      {}
func (RelayDigest) effect()      {}
func (RelayDraining) effect()    {}
func (Publish) effect()          {}
func (Send) effect()             {}
func (Forward) effect()          {}
func (Complete) effect()         {}
func (Finish) effect()           {}
func (Abandon) effect()          {}
func (Reconnect) effect()        {}
func (Dial) effect()             {}
func (Hangup) effect()           {}
func (SendDemand) effect()       {}
func (Wake) effect()             {}
func (Log) effect()              {}
func (Count) effect()            {}
func (Observe) effect()          {}
