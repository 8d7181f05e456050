package fleet

import (
	"cmp"
	"slices"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
)

// Incarnation identifies one process of a backend server. A restarted server may keep its
// instance, but none of its earlier state.
type Incarnation struct {
	// Instance is the server's name in the registry.
	Instance string
	// Born is when the process started, in Unix milliseconds of its own clock; 0 if it does
	// not report that.
	Born int64
}

// Compare orders two incarnations at one address by their start: the result is below 0 if i
// started before other. Incarnations are equal if one of them does not report its start.
func (i Incarnation) Compare(other Incarnation) int {
	if i.Born == 0 || other.Born == 0 {
		return 0
	}
	return cmp.Compare(i.Born, other.Born)
}

// Backend is a backend server as listed in the platform's registry. The registry lags by up
// to a heartbeat and still lists servers that ended a few heartbeats ago.
type Backend struct {
	Incarnation
	Service string
	// Address is "IP:port". Another instance may get it later.
	Address string
	Zone    core.Zone
	// Slots is the number of requests that run at once.
	Slots int
	// Draining servers are about to shut down and accept no new requests.
	Draining bool
	// SlowFor is the remaining time for which the server is slow after its start.
	SlowFor time.Duration
	// Models are the models loaded at the last heartbeat; empty for plain services.
	Models []LoadedModel
	// Release is the version of the server's software.
	Release Release
	// Registered increases with each registration: of two instances with the same address,
	// the one that registered later has it. It is 0 if the registry does not report it.
	Registered int64
}

// Release is the version of a backend server's software. It belongs to an incarnation.
//
// Releases have no order. What two of them write does not fit together, so that a stream may
// only continue at the release that began it.
type Release struct {
	// Name is opaque. It is "" where the platform tells no versions.
	Name string
	// Known is set unless nobody has told the release of this incarnation yet.
	Known bool
}

// Same reports whether two servers are known to run the same software.
func (r Release) Same(other Release) bool { return r.Known && other.Known && r.Name == other.Name }

// String returns the release for logs.
func (r Release) String() string {
	switch {
	case !r.Known:
		return "unknown"
	case r.Name == "":
		return "unnamed"
	default:
		return r.Name
	}
}

// Listed returns the entry in the form in which routers send it to each other.
func (b Backend) Listed() core.ListedBackend {
	entry := core.ListedBackend{
		Instance: b.Instance, Born: b.Born, Service: b.Service, Address: b.Address, Zone: b.Zone,
		Slots: b.Slots, Draining: b.Draining, SlowFor: b.SlowFor, Registered: b.Registered,
	}
	if b.Release.Known {
		entry.Release = &b.Release.Name
	}
	return entry
}

// Listed returns the backend server of an entry received from a router.
func Listed(entry core.ListedBackend) Backend {
	b := Backend{
		Incarnation: Incarnation{Instance: entry.Instance, Born: entry.Born},
		Service:     entry.Service, Address: entry.Address, Zone: entry.Zone,
		Slots: entry.Slots, Draining: entry.Draining, SlowFor: entry.SlowFor, Registered: entry.Registered,
	}
	if entry.Release != nil {
		b.Release = Release{Name: *entry.Release, Known: true}
	}
	return b
}

// LoadedModel is a model in an engine's memory, with its loaded adapters.
type LoadedModel struct {
	Name     string
	Adapters []string
}

// HasAdapter reports whether an adapter is loaded; "" always is.
func (m LoadedModel) HasAdapter(adapter string) bool {
	return adapter == "" || slices.Contains(m.Adapters, adapter)
}

// Request is what routing uses of a caller's request.
type Request struct {
	// ID is the caller's request ID, which is the same for all attempts.
	ID string
	// Fingerprint is the same for all requests for the same work.
	Fingerprint core.Fingerprint
	// NewConn is set for the first request of a connection that the router accepted.
	NewConn bool
	// Host and Path select the route.
	Host, Path string
	// Credential identifies the client account.
	Credential Credential
	// Deadline is how long the caller waits, 0 if it did not state that.
	Deadline time.Duration
	// Prompt is nil for requests to plain services.
	Prompt *Prompt
	// Resumption is the stream that the request takes up.
	Resumption Resumption
}

// StreamID is the id of the request that began the stream: the request's own unless it takes
// one up.
func (r Request) StreamID() string {
	if r.Resumption.State == ResumptionValid && r.Resumption.Stream != "" {
		return r.Resumption.Stream
	}
	return r.ID
}

// Resumption is the stream that a request takes up after its caller lost the connection.
type Resumption struct {
	State ResumptionState
	// Stream is the id of the request that brought the stream's first event, "" if the
	// caller does not tell.
	Stream string
	// Problem says what is malformed, if State is ResumptionMalformed.
	Problem string
}

// ResumptionState states whether a request takes up a stream.
type ResumptionState uint8

const (
	// ResumptionNone: the request begins anew.
	ResumptionNone ResumptionState = iota
	// ResumptionValid: it takes up a stream.
	ResumptionValid
	// ResumptionMalformed: it seems to take up a stream, but can't be understood.
	ResumptionMalformed
)

// Prompt describes a generation as its caller requests it.
type Prompt struct {
	Model string
	// Adapter is "" for the base model.
	Adapter string
	// Tokens is the length of the prompt, MaxNewTokens the largest number of tokens to
	// generate.
	Tokens, MaxNewTokens int
	// Parts are the parts of the prompt in order. All but the last may be shared with other
	// requests.
	Parts []PromptPart
}

// PromptPart is a piece of a prompt that engines may have cached.
type PromptPart struct {
	ID     string
	Tokens int
}

// SharedTokens is the number of prompt tokens in parts that other requests may share.
func (p *Prompt) SharedTokens() int {
	if len(p.Parts) == 0 {
		return 0
	}
	total := 0
	for _, part := range p.Parts[:len(p.Parts)-1] {
		total += part.Tokens
	}
	return total
}

// Answer is the head of a backend server's response.
type Answer struct {
	Status int
	// NotRun is set if the server states that the request did not run and never will.
	NotRun bool
	// Absent is set if the server does not have what the request needs: the model is not
	// loaded there, or another instance has the address.
	Absent bool
	// Load is nil if the server does not report it.
	Load *Load
	// Limit is the request rate limit that the server reports.
	Limit ReportedLimit
	// Draining is set if the server announces that it is about to shut down.
	Draining bool
	// Backoff is for how long the server wants no further requests from this host.
	Backoff ReportedBackoff
}

// Announces reports whether the server states that it wants no further requests.
func (a Answer) Announces() bool { return a.Draining || a.Backoff.State != BackoffNone }

// ReportedBackoff is the period, from a response that turned a request away, in which the
// server wants no requests from the host that receives the response.
type ReportedBackoff struct {
	State BackoffState
	// Period is valid if State is BackoffReported.
	Period time.Duration
	// Text is the unreadable value, truncated for logs, if State is BackoffMalformed.
	Text string
}

// BackoffState states whether a response reports a backoff.
type BackoffState uint8

const (
	// BackoffNone: the server does not ask for one.
	BackoffNone BackoffState = iota
	// BackoffReported: the server asks for one.
	BackoffReported
	// BackoffMalformed: the value can't be read and is ignored.
	BackoffMalformed
)

// ReportedLimit is a server's limit, as reported in a response, on the requests per second
// that it accepts from all routers together.
type ReportedLimit struct {
	State LimitState
	// PerSecond is the limit, if State is LimitReported.
	PerSecond float64
	// Text is the unreadable value, truncated for logs, if State is LimitMalformed.
	Text string
}

// LimitState states whether a response reports a limit.
type LimitState uint8

const (
	// LimitNone: the server has no limit.
	LimitNone LimitState = iota
	// LimitReported: the server has a limit.
	LimitReported
	// LimitMalformed: the value can't be read and is ignored.
	LimitMalformed
)

// Load is the load that a backend server reports.
type Load struct {
	// Running and Waiting are numbers of requests.
	Running, Waiting, Slots int
	// HostPace is the current duration of work on the server's host as a multiple of the
	// usual duration; 0 if it is not reported.
	HostPace float64
}
