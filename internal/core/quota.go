package core

import "time"

// This file defines the messages between routers and loaders about the bounds of client
// accounts. See package quota.

// QuotaStamp is a time of a loader in milliseconds. It is 1 at the loader's first answer.
type QuotaStamp int64

// QuotaLimit is the bound of a client account.
type QuotaLimit struct {
	_       struct{} `cbor:",toarray"`
	Account string
	// Version is that of the configuration that defines the bound. The bound of the newest
	// version applies.
	Version int64
	// Most is the maximum use in tokens within any window.
	Most float64
}

// QuotaNeed is a router's request for tokens of a client account.
type QuotaNeed struct {
	_       struct{} `cbor:",toarray"`
	Account string
	// Cost is granted completely or not at all. Ahead is for requests to come and is granted
	// as far as tokens are plentiful.
	Cost, Ahead int64
}

// QuotaRequest is sent by a router to a loader that enforces the bounds. It lends the
// loader the router's share of all bounds and requests tokens. It is answered by one
// QuotaReply.
type QuotaRequest struct {
	// Number identifies the message and is repeated by the answer.
	Number uint64 `cbor:"1,keyasint"`
	// Stamp is that of the loader's last answer on this connection, 0 before the first. The
	// loan lasts for a fixed time from then on (quota.LoanLasts).
	Stamp QuotaStamp `cbor:"2,keyasint,omitempty"`
	// Slots is how many of the quota.Slots parts of its share the router lends. Routers is
	// the number of routers among which the bounds are divided evenly.
	Slots   int `cbor:"3,keyasint,omitempty"`
	Routers int `cbor:"4,keyasint,omitempty"`
	// Adopt is set while a loader may still hold a loan that the router, or its previous
	// process, made earlier. A loader that holds such a loan keeps it.
	Adopt bool `cbor:"5,keyasint,omitempty"`
	// Leaving is set once the router is shutting down permanently.
	Leaving bool `cbor:"6,keyasint,omitempty"`
	// Limits are those that have not been sent to the loader on this connection yet.
	Limits []QuotaLimit `cbor:"7,keyasint,omitempty"`
	Needs  []QuotaNeed  `cbor:"8,keyasint,omitempty"`
	// Window is the window of all bounds. It is sent with Limits, and while Stamp is 0.
	Window time.Duration `cbor:"9,keyasint,omitempty"`
}

// QuotaGrant is the answer to a QuotaNeed.
type QuotaGrant struct {
	_       struct{} `cbor:",toarray"`
	Account string
	// Granted is the number of tokens granted. They may be used for quota.GrantLifetime after
	// the QuotaRequest was sent.
	Granted int64
	// Left is what the loader has left to grant. RoomMs is the number of milliseconds until
	// the loader can grant the Cost, above 0 if it was not granted.
	Left   int64
	RoomMs int
}

// QuotaReply answers a QuotaRequest.
type QuotaReply struct {
	Number uint64 `cbor:"1,keyasint"`
	// Stamp is the loader's time.
	Stamp QuotaStamp `cbor:"2,keyasint"`
	// Life is different for each process of a loader. It is sent in the first answer on a
	// connection.
	Life Time `cbor:"8,keyasint,omitempty"`
	// Held is how many slots the loader holds from the router, in the answer to a QuotaRequest
	// with Adopt.
	Held int `cbor:"3,keyasint,omitempty"`
	// Members is the number of routers that the loader counts, 0 until it has received
	// messages for long enough to determine it.
	Members int `cbor:"4,keyasint,omitempty"`
	// Share is the part of all bounds that the loader holds, in thousandths. It is set if a
	// need was not granted.
	Share  int          `cbor:"5,keyasint,omitempty"`
	Grants []QuotaGrant `cbor:"6,keyasint,omitempty"`
	// Unknown are accounts whose limits the loader has not received.
	Unknown []string `cbor:"7,keyasint,omitempty"`
}

func (QuotaRequest) message() {}
func (QuotaReply) message()   {}
