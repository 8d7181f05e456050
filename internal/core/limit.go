package core

import "time"

// This file defines the messages between routers and loaders about the request limits of
// backend servers. See package limit.

// ReportedLimit is the limit that a backend server announced with one answer.
type ReportedLimit struct {
	_ struct{} `cbor:",toarray"`
	// Named is false if the server announced no limit.
	Named bool
	// PerSecond is the number of requests per second that the server accepts from all
	// routers together.
	PerSecond float64
	// SentAgo and ReceivedAgo are how long before this message the request was sent and its
	// answer received.
	SentAgo, ReceivedAgo time.Duration
}

// LimitRequest is sent by a router to the loader that enforces a server's limit. It reports
// the limit known to the router and, if RequestID is set, requests a permit to send a
// request there.
type LimitRequest struct {
	Server ServerLife    `cbor:"1,keyasint"`
	Limit  ReportedLimit `cbor:"2,keyasint"`
	// RequestID identifies the request and is repeated by the answer; 0 if no permit is
	// requested.
	RequestID uint64 `cbor:"3,keyasint,omitempty"`
	// Spare is set if another server could serve the request as well.
	Spare bool `cbor:"4,keyasint,omitempty"`
	// Uncounted are the numbers of requests that the router sent there within the last
	// window without a permit, by intervals of equal length with the oldest first. Each
	// request is reported once.
	Uncounted []float64 `cbor:"5,keyasint,omitempty"`
	// ColdFor is the remaining time for which the limit holds in any case, as the server is
	// cold after its start.
	ColdFor time.Duration `cbor:"6,keyasint,omitempty"`
	// Account is the client account of the request that needs a permit, "" without one. This
	// field and the following ones are set if RequestID is; see package fairshare.
	Account string `cbor:"7,keyasint,omitempty"`
	// Weight is the account's declared rate, 0 or 1 where it has none.
	Weight float64 `cbor:"8,keyasint,omitempty"`
	// Rank is the request's priority, 0 highest.
	Rank int `cbor:"9,keyasint,omitempty"`
	// Slack is the time until the request's objective is missed, 0 once it is.
	Slack time.Duration `cbor:"10,keyasint,omitempty"`
	// Load is the load that the server stated last, nil unless the loader may need it to
	// compute a budget for the server.
	Load *ServerLoad `cbor:"11,keyasint,omitempty"`
	// UnreadFor is how long before this message the router sent the newest request there that the
	// server has left unanswered for limit.SilentAfter, while it answered nothing else; 0 if there is
	// none.
	UnreadFor time.Duration `cbor:"12,keyasint,omitempty"`
}

// RefusalCause is why a permit was refused.
type RefusalCause uint8

// The causes of refusals. Receivers treat other values as NoCapacity.
const (
	// NoCapacity means that the server has no permit left for any such request.
	NoCapacity RefusalCause = 0
	// ShareUsed means that the client account has its share.
	ShareUsed RefusalCause = 1
	// UrgentFirst means that the permits that are left are reserved for more urgent requests.
	UrgentFirst RefusalCause = 2
)

// LimitReply is sent by a loader to routers and reports a server's limit, in answer to a
// LimitRequest or because the limit has changed.
type LimitReply struct {
	Server ServerLife    `cbor:"1,keyasint"`
	Limit  ReportedLimit `cbor:"2,keyasint"`
	// RequestID is that of the LimitRequest, 0 if this is a change.
	RequestID uint64 `cbor:"3,keyasint,omitempty"`
	// Granted permits the request; otherwise Room is the time until one can be permitted.
	Granted bool          `cbor:"4,keyasint,omitempty"`
	Room    time.Duration `cbor:"5,keyasint,omitempty"`
	// Cause is why the permit was refused.
	Cause RefusalCause `cbor:"10,keyasint,omitempty"`
	// Spare is that of the LimitRequest.
	Spare bool `cbor:"6,keyasint,omitempty"`
	// ColdFor is as in LimitRequest.
	ColdFor time.Duration `cbor:"7,keyasint,omitempty"`
	// Budget is the number of requests per second that an engine can begin without its running
	// streams falling behind, or that a plain service's server can answer on time; 0 if there is
	// no such limit. For an engine only the loader beside it sets it.
	Budget float64 `cbor:"8,keyasint,omitempty"`
	// BudgetFor is how long Budget holds unless it is renewed.
	BudgetFor time.Duration `cbor:"9,keyasint,omitempty"`
}

// Partial reports whether the refusal concerns only requests of the same account or rank.
func (c RefusalCause) Partial() bool { return c == ShareUsed || c == UrgentFirst }

func (LimitRequest) message() {}
func (LimitReply) message()   {}
