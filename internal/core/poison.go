package core

import (
	"fmt"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

// This file holds what routers tell each other about servers that ended while
// requests ran on them.

// Fingerprint is the same for requests that ask for the same work: a caller that
// sends one again gives it a new id, but its credentials, the path and the body stay.
type Fingerprint uint64

// String is the fingerprint as logs and operators write it: 16 hexadecimal digits.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(f)) }

// ParseFingerprint reads what String writes.
func ParseFingerprint(text string) (Fingerprint, error) {
	f, err := strconv.ParseUint(text, 16, 64)
	if err != nil || f == 0 || len(text) != 16 {
		return 0, errors.Newf("%q is no fingerprint: 16 hexadecimal digits, not all 0", text)
	}
	return Fingerprint(f), nil
}

// ServerLife is one life of a backend server, from its start to its end.
type ServerLife struct {
	// Instance is the server's name in the registry. It may stay over several lives.
	Instance string `cbor:"1,keyasint"`
	// Born tells lives of one instance apart, in Unix milliseconds of the server's
	// clock; 0 where servers do not tell.
	Born int64 `cbor:"2,keyasint,omitempty"`
}

// ServerEnd tells that a life of a backend server ended, and what a router had
// running there.
type ServerEnd struct {
	Life    ServerLife `cbor:"1,keyasint"`
	Service string     `cbor:"2,keyasint"`
	Address string     `cbor:"3,keyasint"`
	// Sole is set where the service has servers at no other address.
	Sole bool `cbor:"4,keyasint,omitempty"`
	// Ago is how long ago the end was noticed, when the message was sent.
	Ago time.Duration `cbor:"5,keyasint,omitempty"`
	// Requests are those that the router lost there.
	Requests []LostRequest `cbor:"6,keyasint"`
}

// LostRequest is a request that was at a server when that ended.
type LostRequest struct {
	_           struct{} `cbor:",toarray"`
	Fingerprint Fingerprint
	// Age is for how long it had been there, in ms.
	Age uint32
	// Arrival tells the caller's tries apart: of one, our own repeats have the same.
	Arrival uint32
}

// PoisonNews is what a router tells the others of servers that ended under requests.
// Loaders pass it on to all other routers and keep it for those that start later; in
// the platform's store it lasts beyond all processes.
type PoisonNews struct {
	Ends []ServerEnd `cbor:"1,keyasint,omitempty"`
	// Cleared are requests that are well after all: one was served, or an operator
	// said so.
	Cleared []Fingerprint `cbor:"2,keyasint,omitempty"`
}

func (PoisonNews) message() {}
