package core

import "time"

// This file holds what routers and loaders tell each other about the limits of backend
// servers. See package limit.

// ReportedLimit is what a backend server told of its limit with one answer.
type ReportedLimit struct {
	_ struct{} `cbor:",toarray"`
	// Named is false where it named none.
	Named bool
	// PerSecond is how many requests a second it takes from all routers together.
	PerSecond float64
	// SentAgo is how long before this message the request was sent, HeardAgo how long
	// before it the answer came.
	SentAgo, HeardAgo time.Duration
}

// LimitAsk is a router's word on a server's limit to the loader that keeps it, and, if Ask
// is set, its question whether it may send a request there.
type LimitAsk struct {
	Server ServerLife    `cbor:"1,keyasint"`
	Limit  ReportedLimit `cbor:"2,keyasint"`
	// Ask names the request, 0 if nothing is asked. The answer bears it.
	Ask uint64 `cbor:"3,keyasint,omitempty"`
	// Spare is set if another server could serve the request.
	Spare bool `cbor:"4,keyasint,omitempty"`
	// Uncounted are requests that the router sent there within the last window without
	// asking, in parts of equal length with the oldest first. They are told once.
	Uncounted []float64 `cbor:"5,keyasint,omitempty"`
}

// LimitTold is a loader's word on a server's limit to routers: the answer to a question, or
// news.
type LimitTold struct {
	Server ServerLife    `cbor:"1,keyasint"`
	Limit  ReportedLimit `cbor:"2,keyasint"`
	// Ask is that of the question, 0 if this is news.
	Ask uint64 `cbor:"3,keyasint,omitempty"`
	// Granted allows the request; else Room is when there will be room for one.
	Granted bool          `cbor:"4,keyasint,omitempty"`
	Room    time.Duration `cbor:"5,keyasint,omitempty"`
	// Spare is that of the question.
	Spare bool `cbor:"6,keyasint,omitempty"`
}

func (LimitAsk) message()  {}
func (LimitTold) message() {}
