// Package core defines the types of the reducer: identifiers, events, effects,
// messages between processes and the values stored in the KV service. It has no
// I/O, clock, goroutine or randomness of its own.
//
// A process passes events to Step of package machine, which dispatches them to the
// sub-reducers (packages entry, agent, steward and config below core) and returns
// effects as data. The process carries out the effects and passes the results back
// as events.
package core

import (
	"encoding/hex"
	"time"
)

// Time is a point on the monotonic clock of one process, in nanoseconds. Times of
// different processes can't be compared.
type Time int64

// Add returns t plus d.
func (t Time) Add(d time.Duration) Time { return t + Time(d) }

// Sub returns the duration between u and t.
func (t Time) Sub(u Time) time.Duration { return time.Duration(t - u) }

// Never is later than any other time.
const Never Time = 1<<63 - 1

// HostID is the name of a host, as in its settings and the platform's host list.
type HostID string

// Zone names an availability zone.
type Zone string

// Incarnation distinguishes the processes that run on one host over time. It is
// chosen at random when the process starts and is never zero.
type Incarnation uint64

// RequestID identifies a caller's request in all processes for its whole lifetime.
// It is chosen at random by the entry that admits the request.
type RequestID [16]byte

// String returns the hexadecimal form.
func (id RequestID) String() string { return hex.EncodeToString(id[:]) }

// AttemptID identifies one attempt to run a request at one agent.
type AttemptID struct {
	Request RequestID `cbor:"1,keyasint"`
	// Attempt counts from 1 within the request.
	Attempt uint32 `cbor:"2,keyasint"`
}

// SlotID identifies one slot of a base model.
type SlotID struct {
	Model string `cbor:"1,keyasint"`
	// Index counts from 0 to the model's Replicas.Max-1.
	Index uint16 `cbor:"2,keyasint"`
}

// Target is the model, adapter or service that a request is for. Exactly one of
// Model and Service is set; Adapter may be set in addition to Model.
type Target struct {
	Model   string `cbor:"1,keyasint,omitempty"`
	Adapter string `cbor:"2,keyasint,omitempty"`
	Service string `cbor:"3,keyasint,omitempty"`
}
