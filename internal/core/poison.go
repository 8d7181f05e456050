package core

import (
	"fmt"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

// This file defines the messages between routers about servers that ended while requests
// ran on them.

// Fingerprint identifies what may crash the servers that run it: the whole of a request, or a
// part of its prompt. A caller that sends a request again gives it a new id, but the
// credentials, the path and the body stay the same. Different requests may hold the same part.
type Fingerprint uint64

// String returns the form that is used in logs and by operators: 16 hexadecimal digits.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(f)) }

// ParseFingerprint parses what String returns.
func ParseFingerprint(text string) (Fingerprint, error) {
	f, err := strconv.ParseUint(text, 16, 64)
	if err != nil || f == 0 || len(text) != 16 {
		return 0, errors.Newf("%q is no fingerprint: 16 hexadecimal digits, not all 0", text)
	}
	return Fingerprint(f), nil
}

// ServerLife identifies one run of a backend server, from its start to its end.
type ServerLife struct {
	// Instance is the server's name in the registry. It may stay the same over restarts.
	Instance string `cbor:"1,keyasint"`
	// Born distinguishes the runs of one instance. It is the start time in Unix
	// milliseconds by the server's clock; 0 if the server does not report it.
	Born int64 `cbor:"2,keyasint,omitempty"`
}

// ServerEnd reports that a run of a backend server ended, and which requests of a router
// were running there.
type ServerEnd struct {
	Life    ServerLife `cbor:"1,keyasint"`
	Service string     `cbor:"2,keyasint"`
	Address string     `cbor:"3,keyasint"`
	// Sole is set if the service has no servers at other addresses.
	Sole bool `cbor:"4,keyasint,omitempty"`
	// Ago is how long before the message was sent the end was detected.
	Ago time.Duration `cbor:"5,keyasint,omitempty"`
	// Requests are those that the router lost there.
	Requests []LostRequest `cbor:"6,keyasint"`
	// Parts are the parts of these requests' prompts on which the server may have begun to
	// write when it ended.
	Parts []LostPart `cbor:"7,keyasint,omitempty"`
	// Only are the requests that no server at another address could have run, as indexes of
	// Requests: their model was loaded there alone.
	Only []uint16 `cbor:"8,keyasint,omitempty"`
}

// LostPart is a part of prompts that requests held when their server ended.
type LostPart struct {
	_    struct{} `cbor:",toarray"`
	Part Fingerprint
	// Depth is the position of the part in the prompt, from 0.
	Depth uint16
	// Holders are the requests that hold it, as indexes of ServerEnd.Requests.
	Holders []uint16
	// Began is set if the server had begun to answer one of them.
	Began bool
	// Written is set if a server has written on the part before, as the router saw it.
	Written bool
}

// LostRequest is a request that was at a server when the server ended.
type LostRequest struct {
	_           struct{} `cbor:",toarray"`
	Fingerprint Fingerprint
	// Age is how long it had been there, in ms.
	Age uint32
	// Arrival distinguishes the times that the caller sent the request. Attempts that the
	// router repeats by itself have the same Arrival.
	Arrival uint32
}

// ServerDraining is sent by a router and reports a server whose answer announced that it is
// draining. Loaders forward it to all other routers.
type ServerDraining struct {
	Server ServerLife `cbor:"1,keyasint"`
}

func (ServerDraining) message() {}

// PoisonNews is sent by a router and reports servers that ended while requests ran on
// them. Loaders forward it to all other routers and keep it for routers that start later;
// the platform's store keeps it when all processes have ended.
type PoisonNews struct {
	Ends []ServerEnd `cbor:"1,keyasint,omitempty"`
	// Cleared are requests and parts that an operator cleared, and requests that were served
	// completely.
	Cleared []Fingerprint `cbor:"2,keyasint,omitempty"`
	// Harmless are suspects that a server answered.
	Harmless []Harmless `cbor:"3,keyasint,omitempty"`
	// Answered are services of which a server answered and continued to run.
	Answered []ServiceAnswered `cbor:"4,keyasint,omitempty"`
}

// ServiceAnswered reports that a server of a service began an answer and continued to run. Parts of
// prompts that it does not clear may then be poison.
type ServiceAnswered struct {
	_       struct{} `cbor:",toarray"`
	Service string
	// Ago is how long before the message was sent the last such answer began.
	Ago time.Duration
}

// Harmless reports that a server began to write an answer on a suspect and continued to run.
// Servers that ended before count no longer against the suspect.
type Harmless struct {
	_       struct{} `cbor:",toarray"`
	Suspect Fingerprint
	// Ago is how long before the message was sent the server began to write.
	Ago time.Duration
	// Server is the instance of the server, "" if an operator cleared the suspect.
	Server string
}

func (PoisonNews) message() {}
