package fleet

import (
	"cmp"
	"slices"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
)

// Incarnation is one life of a backend server. A server that starts again may keep
// its instance; it holds and knows nothing of before.
type Incarnation struct {
	// Instance is the server's name in the registry.
	Instance string
	// Born is when it started, in Unix milliseconds of its own clock; 0 where it
	// does not tell.
	Born int64
}

// Compare orders two lives at one address by their start: below 0 if i began before
// other. Lives that can't be told apart, since one does not say when it began, are
// equal.
func (i Incarnation) Compare(other Incarnation) int {
	if i.Born == 0 || other.Born == 0 {
		return 0
	}
	return cmp.Compare(i.Born, other.Born)
}

// Backend is a backend server as the platform's registry lists it. The
// registry lags by up to a heartbeat, and holds servers that died a few
// heartbeats ago.
type Backend struct {
	Incarnation
	Service string
	// Address is "IP:port". It may belong to another instance later.
	Address string
	Zone    core.Zone
	// Slots is the number of requests that run at once.
	Slots int
	// Draining servers are about to leave and take no new requests.
	Draining bool
	// SlowFor is how much longer the server is slow after its start.
	SlowFor time.Duration
	// Models are those loaded at the last heartbeat; empty for plain services.
	Models []LoadedModel
	// Registered grows with each registration: of two instances at one address the
	// one that registered later is there. 0 if the registry does not tell.
	Registered int64
}

// Listed returns the entry as routers tell it to each other.
func (b Backend) Listed() core.ListedBackend {
	return core.ListedBackend{
		Instance: b.Instance, Born: b.Born, Service: b.Service, Address: b.Address, Zone: b.Zone,
		Slots: b.Slots, Draining: b.Draining, SlowFor: b.SlowFor, Registered: b.Registered,
	}
}

// Listed returns the backend server of an entry that a router told of.
func Listed(entry core.ListedBackend) Backend {
	return Backend{
		Incarnation: Incarnation{Instance: entry.Instance, Born: entry.Born},
		Service:     entry.Service, Address: entry.Address, Zone: entry.Zone,
		Slots: entry.Slots, Draining: entry.Draining, SlowFor: entry.SlowFor, Registered: entry.Registered,
	}
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

// Request is what routing needs to know of a caller's request.
type Request struct {
	// ID is the caller's, one for each of its attempts.
	ID string
	// Fingerprint is the same for all requests for the same work.
	Fingerprint core.Fingerprint
	// Host and Path select the route.
	Host, Path string
	// Credential names the client account.
	Credential Credential
	// Deadline is how long the caller waits, 0 if it did not say.
	Deadline time.Duration
	// Prompt is nil for requests to plain services.
	Prompt *Prompt
}

// Prompt is what a caller tells about a generation.
type Prompt struct {
	Model string
	// Adapter is "" for the base model.
	Adapter string
	// Tokens is the length of the prompt, MaxNewTokens the most to generate.
	Tokens, MaxNewTokens int
	// Parts are the prompt's pieces in order. Other requests may share all
	// but the last.
	Parts []PromptPart
}

// PromptPart is a piece of a prompt that engines may have cached.
type PromptPart struct {
	ID     string
	Tokens int
}

// SharedTokens is the number of prompt tokens in parts that others may share.
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

// Answer is the head of a backend server's answer.
type Answer struct {
	Status int
	// NotRun is the server's word that the request did not run and never will.
	NotRun bool
	// Absent is set when the server does not have what the request is for: the
	// model is not loaded there, or another instance has the address.
	Absent bool
	// Load is set where the server tells it.
	Load *Load
	// Limit is what the server tells of the requests that it takes.
	Limit ReportedLimit
}

// ToldLimit is what an answer tells of the requests a second that its server takes from
// all routers together.
type ReportedLimit struct {
	State LimitState
	// PerSecond is the limit, of LimitNamed.
	PerSecond float64
	// Text is what could not be read, of LimitMalformed, cut for logs.
	Text string
}

// LimitState tells what an answer says of a limit.
type LimitState uint8

const (
	// LimitNone: there is none.
	LimitNone LimitState = iota
	// LimitNamed: there is one.
	LimitReported
	// LimitMalformed: what stands there can't be read, and says nothing.
	LimitMalformed
)

// Load is what a backend server tells of its load.
type Load struct {
	// Running and Waiting are its requests.
	Running, Waiting, Slots int
	// HostPace is how long work takes on its host at the moment, as a multiple of the
	// usual; 0 where it is not told.
	HostPace float64
}
