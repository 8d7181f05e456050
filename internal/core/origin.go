package core

import "time"

// This file defines the messages between routers and loaders about the releases of the
// backend servers' software that began streams. See package origin.

// StreamOrigin states which release began a stream. Stream and Scope identify the stream,
// as in origin.Stream.
type StreamOrigin struct {
	_       struct{} `cbor:",toarray"`
	Stream  uint64
	Scope   uint64
	Release string
	// Lasts is how long the record is to be kept, in milliseconds.
	Lasts uint32
}

// OriginNews is sent by a router to the loaders that keep the origins of streams.
type OriginNews struct {
	Origins []StreamOrigin `cbor:"1,keyasint"`
}

// OriginQuery is sent by a router to a loader that may know the origin of a stream.
type OriginQuery struct {
	// RequestID identifies the request that waits for the answer and is repeated by it.
	RequestID uint64 `cbor:"1,keyasint"`
	Stream    uint64 `cbor:"2,keyasint"`
	Scope     uint64 `cbor:"3,keyasint"`
}

// OriginReply answers an OriginQuery.
type OriginReply struct {
	RequestID uint64 `cbor:"1,keyasint"`
	// State is an origin.State.
	State   uint8  `cbor:"2,keyasint,omitempty"`
	Release string `cbor:"3,keyasint,omitempty"`
}

// ReleaseNote states that servers of several releases of a service may have begun streams
// that callers still take up. Routers store it as a note, for those that start later.
type ReleaseNote struct {
	Service string `cbor:"1,keyasint"`
	// Lasts is how long that is so, from the moment at which the note is read.
	Lasts time.Duration `cbor:"2,keyasint"`
}

func (OriginNews) message()  {}
func (OriginQuery) message() {}
func (OriginReply) message() {}
func (ReleaseNote) message() {}
