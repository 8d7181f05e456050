package router

import (
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/fleet"
	"nutmeglane.example/nutmeglane/internal/framing"
)

// Event is an input of the reducer.
type Event interface{ event() }

// Key identifies a request within one router process.
type Key uint64

// Tick reports that the time scheduled by Wake has come.
type Tick struct{}

// ConfigRead delivers a configuration read from the platform's store or relayed by another
// router.
type ConfigRead struct{ Config *fleet.Config }

// ConfigAnnounced reports that another router has a configuration of a version.
type ConfigAnnounced struct{ Version int64 }

// ConfigConfirmed reports that the configuration in force was the newest in the platform's
// store at a time: a read that began then found no other.
type ConfigConfirmed struct{ AsOf core.Time }

// RegistryConfirmed reports that the registry of backend servers is known as it was in the platform's
// store at a time, or later: what a read that began then has found was delivered.
type RegistryConfirmed struct{ AsOf core.Time }

// BackendsRead delivers the whole registry of backend servers.
type BackendsRead struct{ Backends map[string]fleet.Backend }

// StoreRestored reports that the platform's store was restored from a copy that is some
// seconds old.
type StoreRestored struct{ To core.StorePosition }

// BackendsRestored delivers the whole registry as in the restored copy: it lacks the
// servers' last writes and contains entries that servers have withdrawn since.
type BackendsRestored struct{ Backends map[string]fleet.Backend }

// BackendsChanged delivers a change of the registry.
type BackendsChanged struct {
	Written map[string]fleet.Backend
	Removed map[string]bool
	// Passed are servers that joined and left between two reads, or had another release between them.
	Passed []fleet.Backend
}

// EvacuationsRead delivers all zones that are evacuated, EvacuationsRestored those in a store
// that was restored from an older copy, and EvacuationsChanged those that were evacuated or, with
// false, taken back.
type (
	EvacuationsRead     struct{ Zones []core.Zone }
	EvacuationsRestored struct{ Zones []core.Zone }
	EvacuationsChanged  struct{ Zones map[core.Zone]bool }
)

// StoreState reports whether the platform's store answers this router.
type StoreState struct{ Reachable bool }

// Stopping reports that the process ends at a time, by which each request must have its
// answer.
type Stopping struct {
	Until core.Time
	// Late is how long ago the signal to stop may have come, if the process did not run.
	Late time.Duration
}

// LoaderUp and LoaderDown report that the connection to a loader, identified by its
// address, was established or lost.
type (
	LoaderUp   struct{ Loader core.HostID }
	LoaderDown struct{ Loader core.HostID }
)

// LoaderReported delivers the holdings that a loader reports.
type LoaderReported struct {
	Loader   core.HostID
	Holdings core.Holdings
}

// LoaderCountsReported delivers a loader's report of its engine's counts alone.
type LoaderCountsReported struct {
	Loader core.HostID
	Counts core.Counts
}

// DigestReceived delivers the coordinator's digest of the loads of all engines.
type DigestReceived struct{ Digest core.LoadDigest }

// LoaderSpecRequested reports that a loader asks for its engine's configuration.
type LoaderSpecRequested struct{ Loader core.HostID }

// LoaderAnsweredQuota delivers a loader's answer to SendQuotaRequest.
type LoaderAnsweredQuota struct {
	Loader core.HostID
	Answer core.QuotaReply
}

// LoaderAnsweredLimit delivers a message from the loader that counts the requests to a
// server with a limit.
type LoaderAnsweredLimit struct {
	Loader core.HostID
	Answer core.LimitReply
}

// LoaderAnsweredOrigin delivers a loader's answer to AskOrigin.
type LoaderAnsweredOrigin struct {
	Loader core.HostID
	Answer core.OriginReply
}

// ReleasesNoted delivers the notes on services with several releases that were in the
// platform's store when this router read it.
type ReleasesNoted struct{ Notes []core.ReleaseNote }

// Arrived reports a new request whose body has been read.
type Arrived struct {
	Key     Key
	Request fleet.Request
}

// Failure is the way in which an attempt failed.
type Failure uint8

// The failures, by what they prove about the request.
const (
	// NotSent means that no byte reached the backend server. The request did not run.
	NotSent Failure = iota
	// NoAnswer means that the connection ended without an answer. The request may have run.
	NoAnswer
	// BadAnswer means that the bytes received are not a valid answer to this request.
	BadAnswer
	// Broken means that the answer broke off.
	Broken
	// ConnsExhausted means that this router's share of the connections to the server is in
	// use. Nothing was sent, and the server is not at fault.
	ConnsExhausted
	// Withdrawn means that the server was excluded while a connection to it was opened.
	// Nothing was sent, and the server is not at fault.
	Withdrawn
)

// String returns the name of the failure for logs.
func (f Failure) String() string {
	return [...]string{"not sent", "no answer", "bad answer", "broken off", "connections used", "withdrawn"}[f]
}

// sent reports whether the request, or a part of it, was sent to the server.
func (f Failure) sent() bool { return f != NotSent && f != ConnsExhausted && f != Withdrawn }

// ofServer reports whether the server is at fault, as far as known.
func (f Failure) ofServer() bool { return f != ConnsExhausted && f != Withdrawn }

// CPUWaitMeasured reports how long work of the process recently waited for the processor,
// as the 90th percentile.
type CPUWaitMeasured struct{ Wait time.Duration }

// Peer is what the end of a connection reveals about the server's process.
type Peer uint8

const (
	// PeerUnknown means nothing: the network path may be down, or the server may be silent.
	PeerUnknown Peer = iota
	// PeerClosed means that its host closed the connection, as when the process ends.
	PeerClosed
	// PeerRefused means that its host refused a connection: no process listens there.
	PeerRefused
)

// AttemptFailed reports that an attempt failed and has ended.
type AttemptFailed struct {
	Key     Key
	Attempt int
	Failure Failure
	// NothingGiven is set if no part of the answer has been given to the caller.
	NothingGiven bool
	// Peer is PeerUnknown unless the connection itself failed.
	Peer Peer
	// End is how the answer ended, its zero value if none began.
	End AnswerEnd
	// LastEvent is the id of the last event of a stream that was forwarded, "" if there is none.
	// It is for logs.
	LastEvent string
	// Cause is for logs.
	Cause string
}

// Stalled reports that no event of a stream has arrived for Send.StallAfter. The attempt
// continues.
type Stalled struct {
	Key     Key
	Attempt int
}

// Resumed reports that the next event of a stream that was reported as stalled is about to be
// forwarded. It is forwarded only if Abandon does not follow or precede for this attempt.
type Resumed struct {
	Key     Key
	Attempt int
}

// Answered delivers the head of an answer, of a hedge's stream once its first event was read.
// Forward, Send or Finish follows, or Abandon for a hedge.
type Answered struct {
	Key     Key
	Attempt int
	Answer  fleet.Answer
	// Whole is set if the body was read completely, so that Forward ends the request and Done
	// does not follow. End is then how the answer ended, Given how the caller's copy is framed.
	Whole bool
	End   AnswerEnd
	Given framing.Kind
}

// ServerAnnounced delivers what a server states of itself in the head of an answer, as soon
// as the head is read. The answer may belong to an attempt that was abandoned, or fail later.
type ServerAnnounced struct {
	// Server is the incarnation that the request was sent to.
	Server fleet.Incarnation
	Answer fleet.Answer
}

// FirstEvent reports that the first event of an attempt's stream is about to be forwarded. It
// is forwarded only if Abandon does not follow or precede for this attempt.
type FirstEvent struct {
	Key     Key
	Attempt int
}

// Done reports that the last byte of an answer was read, which ends its request. Complete follows
// if the attempt is still the current one.
type Done struct {
	Key     Key
	Attempt int
	// End is how the server's answer ended, Given how the caller's copy of it is framed.
	End   AnswerEnd
	Given framing.Kind
	// Pause is the mean pause between the events of a stream.
	Pause time.Duration
}

// CallerLeft reports that the caller cancelled the request, which ends it.
type CallerLeft struct{ Key Key }

// NewsReceived delivers changes of the registry that another router read.
type NewsReceived struct{ News core.RegistryNews }

// PoisonReported delivers news from another router, a loader or the platform's store of
// servers that ended while they ran requests.
type PoisonReported struct{ News core.PoisonNews }

// DrainingReported delivers news from another router of a server that is draining.
type DrainingReported struct{ News core.ServerDraining }

// LiftPoison is an operator's order to send a request to servers again.
type LiftPoison struct{ Fingerprint core.Fingerprint }

func (EvacuationsRead) event()      {}
func (EvacuationsRestored) event()  {}
func (EvacuationsChanged) event()   {}
func (ConfigAnnounced) event()      {}
func (LoaderAnsweredOrigin) event() {}
func (ReleasesNoted) event()        {}
func (DigestReceived) event()       {}
func (ConfigConfirmed) event()      {}
func (RegistryConfirmed) event()    {}
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
func (Resumed) event()              {}
func (Answered) event()             {}
func (ServerAnnounced) event()      {}
func (DrainingReported) event()     {}
func (FirstEvent) event()           {}
func (Done) event()                 {}
func (CallerLeft) event()           {}
func (CPUWaitMeasured) event()      {}
