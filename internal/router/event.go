package router

import (
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/fleet"
)

// Event is an input of the reducer.
type Event interface{ event() }

// Key names a request within one router process.
type Key uint64

// Tick tells that a time asked for by Wake has come.
type Tick struct{}

// ConfigRead is a configuration read from the platform's store.
type ConfigRead struct{ Config *fleet.Config }

// ConfigAnnounced tells that another router has a configuration of a version.
type ConfigAnnounced struct{ Version int64 }

// ConfigConfirmed tells that the configuration in force was the newest in the platform's
// store at a time: a read that began then has found no other.
type ConfigConfirmed struct{ AsOf core.Time }

// BackendsRead is the whole registry of backend servers.
type BackendsRead struct{ Backends map[string]fleet.Backend }

// StoreRestored tells that the platform's store came back from a copy of some seconds ago.
type StoreRestored struct{ To core.StorePosition }

// BackendsRestored is the whole registry as that copy has it: it lacks what servers wrote
// last, and has what they have taken back since.
type BackendsRestored struct{ Backends map[string]fleet.Backend }

// BackendsChanged is a change of the registry.
type BackendsChanged struct {
	Written map[string]fleet.Backend
	Removed map[string]bool
}

// StoreState tells whether the platform's store answers this router.
type StoreState struct{ Reachable bool }

// Stopping tells that the process ends at a time, by which each request must
// have its answer.
type Stopping struct{ Until core.Time }

// LoaderUp and LoaderDown report the connection to a loader, by its address.
type (
	LoaderUp   struct{ Loader core.HostID }
	LoaderDown struct{ Loader core.HostID }
)

// LoaderReported is a message from a loader.
type LoaderReported struct {
	Loader   core.HostID
	Holdings core.Holdings
}

// LoaderCountsReported is a loader's word on its engine's counts alone.
type LoaderCountsReported struct {
	Loader core.HostID
	Counts core.Counts
}

// DigestReceived is the coordinator's word on the loads of all engines.
type DigestReceived struct{ Digest core.LoadDigest }

// LoaderSpecRequested is a loader's question for its engine's configuration.
type LoaderSpecRequested struct{ Loader core.HostID }

// LoaderAnsweredQuota is a loader's answer to a question for tokens of client accounts.
type LoaderAnsweredQuota struct {
	Loader core.HostID
	Answer core.QuotaTold
}

// LoaderAnsweredLimit is the word of the loader that counts what is sent to a server with a
// limit.
type LoaderAnsweredLimit struct {
	Loader core.HostID
	Answer core.LimitTold
}

// Arrived is a new request. Its body has been read.
type Arrived struct {
	Key     Key
	Request fleet.Request
}

// Failure tells how an attempt failed.
type Failure uint8

// The failures, by what they prove.
const (
	// NotSent: no byte reached the backend server. The request did not run.
	NotSent Failure = iota
	// NoAnswer: the connection ended without an answer. It may have run.
	NoAnswer
	// BadAnswer: what came is no answer of the server to this request.
	BadAnswer
	// Broken: the answer broke off.
	Broken
	// ConnsExhausted: this router's share of the connections to the server is in use.
	// Nothing was sent, and the server has done nothing wrong.
	ConnsExhausted
)

// String names the failure for logs.
func (f Failure) String() string {
	return [...]string{"not sent", "no answer", "bad answer", "broken off", "connections used"}[f]
}

// CPUWaitMeasured tells how long work of the process waited for the processor lately, at
// the ninth decile.
type CPUWaitMeasured struct{ Wait time.Duration }

// Peer is what the end of a connection shows of the server's process.
type Peer uint8

const (
	// PeerUnknown: nothing. The path may be cut, or the server be silent.
	PeerUnknown Peer = iota
	// PeerClosed: its host closed the connection, as when the process ends.
	PeerClosed
	// PeerRefused: its host refused a connection. Nobody listens there.
	PeerRefused
)

// AttemptFailed ends an attempt.
type AttemptFailed struct {
	Key     Key
	Attempt int
	Failure Failure
	// Peer is PeerUnknown unless the failure was of the connection.
	Peer Peer
	// Cause is for logs.
	Cause string
}

// Stalled tells that no event of a stream has come for Send.StallAfter. The
// attempt goes on.
type Stalled struct {
	Key     Key
	Attempt int
}

// Answered is the head of an answer. Forward, Send or Finish follows.
type Answered struct {
	Key     Key
	Attempt int
	Answer  fleet.Answer
}

// FirstEvent tells that the first event of a stream was passed on.
type FirstEvent struct {
	Key     Key
	Attempt int
}

// Done ends a request whose answer was passed on whole.
type Done struct {
	Key     Key
	Attempt int
	// Events is the number of events of a stream, and Pause their mean pause.
	Events int
	Pause  time.Duration
}

// CallerLeft ends a request whose caller left.
type CallerLeft struct{ Key Key }

// NewsReceived is what another router read of the registry.
type NewsReceived struct{ News core.RegistryNews }

// PoisonReported is what another router, a loader or the platform's store tells of servers
// that ended under requests.
type PoisonReported struct{ News core.PoisonNews }

// LiftPoison is an operator's word that a request is to be sent to servers again.
type LiftPoison struct{ Fingerprint core.Fingerprint }

func (ConfigAnnounced) event()      {}
func (DigestReceived) event()       {}
func (ConfigConfirmed) event()      {}
func (PoisonReported) event()       {}
func (LiftPoison) event()           {}
func (NewsReceived) event()         {}
func (StoreRestored) event()        {}
func (BackendsRestored) event()     {}
func (Tick) event()                 {}
func (ConfigRead) event()           {}
func (BackendsRead) event()         {}
func (BackendsChanged) event()      {}
func (StoreState) event()           {}
func (Stopping) event()             {}
func (LoaderUp) event()             {}
func (LoaderDown) event()           {}
func (LoaderReported) event()       {}
func (LoaderCountsReported) event() {}
func (LoaderSpecRequested) event()  {}
func (LoaderAnsweredQuota) event()  {}
func (LoaderAnsweredLimit) event()  {}
func (Arrived) event()              {}
func (AttemptFailed) event()        {}
func (Stalled) event()              {}
func (Answered) event()             {}
func (FirstEvent) event()           {}
func (Done) event()                 {}
func (CallerLeft) event()           {}
func (CPUWaitMeasured) event()      {}
