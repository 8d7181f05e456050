package core

import "time"

// This file holds what routers and loaders tell each other about the bounds of client
// accounts. See package quota.

// QuotaStamp is a loader's time in milliseconds since its first answer, and 1 then.
type QuotaStamp int64

// QuotaLimit is what an account may use.
type QuotaLimit struct {
	_       struct{} `cbor:",toarray"`
	Account string
	// Version of the configuration that it comes from. The newest counts.
	Version int64
	// Most is the largest use within any window.
	Most float64
}

// QuotaNeed is what a router wants to be granted of an account's tokens.
type QuotaNeed struct {
	_       struct{} `cbor:",toarray"`
	Account string
	// Cost is granted whole or not at all, Ahead as far as there is plenty.
	Cost, Ahead int64
}

// QuotaAsk is a router's word to a loader that keeps the bounds: it lends its share of all
// of them and asks for tokens. It is answered by one QuotaTold.
type QuotaAsk struct {
	// Number is repeated by the answer.
	Number uint64 `cbor:"1,keyasint"`
	// Stamp is the loader's time that its last answer on this connection told, 0 before the
	// first. What is lent is lent for a fixed time from then on.
	Stamp QuotaStamp `cbor:"2,keyasint,omitempty"`
	// Slots is how many of its quota.Slots parts of its share the router lends, and Routers
	// the number of routers, among which all shares are even.
	Slots   int `cbor:"3,keyasint,omitempty"`
	Routers int `cbor:"4,keyasint,omitempty"`
	// Adopt is set while something that the router lent earlier, or its last life, may
	// still be held somewhere: a loader that holds it goes on holding it.
	Adopt bool `cbor:"5,keyasint,omitempty"`
	// Leaving is set once the router stops for good.
	Leaving bool `cbor:"6,keyasint,omitempty"`
	// Limits are of accounts that the loader has not been told of on this connection.
	Limits []QuotaLimit `cbor:"7,keyasint,omitempty"`
	Needs  []QuotaNeed  `cbor:"8,keyasint,omitempty"`
	// Window is that of all bounds; it is told with Limits, and while Stamp is 0.
	Window time.Duration `cbor:"9,keyasint,omitempty"`
}

// QuotaGrant is what becomes of a QuotaNeed.
type QuotaGrant struct {
	_       struct{} `cbor:",toarray"`
	Account string
	// Granted tokens may be used for quota.GrantLifetime from the request on.
	Granted int64
	// Left is what the loader has left to grant, and RoomMs how many milliseconds it takes
	// until it can grant what was asked for, above 0 if that was not granted.
	Left   int64
	RoomMs int
}

// QuotaTold answers a QuotaAsk.
type QuotaTold struct {
	Number uint64 `cbor:"1,keyasint"`
	// Stamp is the loader's time.
	Stamp QuotaStamp `cbor:"2,keyasint"`
	// Life tells the lives of a loader apart: it is another one in each. It is told in the
	// first answer on a connection.
	Life Time `cbor:"8,keyasint,omitempty"`
	// Held is how many slots the loader holds of the router, by an ask with Adopt.
	Held int `cbor:"3,keyasint,omitempty"`
	// Members is the number of routers that the loader knows, 0 while it has known any for
	// too short a time to tell.
	Members int `cbor:"4,keyasint,omitempty"`
	// Share is the part of all bounds that the loader holds, in thousandths, if anything was
	// not granted.
	Share  int          `cbor:"5,keyasint,omitempty"`
	Grants []QuotaGrant `cbor:"6,keyasint,omitempty"`
	// Unknown are accounts whose limits the loader has not been told.
	Unknown []string `cbor:"7,keyasint,omitempty"`
}

func (QuotaAsk) message()  {}
func (QuotaTold) message() {}
