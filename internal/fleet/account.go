package fleet

import (
	"crypto/sha256"
	"encoding/hex"
)

// KeyDigest identifies an API key: the first half of its SHA-256. Keys are random, so the
// digest does not reveal them; it is compared in place of the key everywhere.
type KeyDigest [sha256.Size / 2]byte

// DigestKey returns the digest of a key. It takes 0.1 us.
func DigestKey(key string) KeyDigest {
	sum := sha256.Sum256([]byte(key))
	return KeyDigest(sum[:len(KeyDigest{})])
}

// String returns a short form for logs that is enough to distinguish keys.
func (d KeyDigest) String() string { return hex.EncodeToString(d[:4]) }

// Credential is the API key that a request carries.
type Credential struct {
	// Given is set if the request has exactly one well-formed key.
	Given bool
	Key   KeyDigest
}

// Unit is the unit of an account's rate.
type Unit uint8

// The units.
const (
	// UnitRequests counts each request as one.
	UnitRequests Unit = iota
	// UnitTokens counts the prompt tokens of a generation and the largest number of tokens
	// that it may generate.
	UnitTokens
)

// RoutePriority is the Priority of an account that uses the route's priority.
const RoutePriority = -1

// Account is a client account.
type Account struct {
	Name string
	Keys []KeyDigest
	// Priority replaces the route's priority, 0 being the highest; RoutePriority keeps that
	// of the route.
	Priority int
	// Unit is the unit of Rate and Burst.
	Unit Unit
	// PlainTokens is the cost, in UnitTokens, of a request that does not state its tokens.
	PlainTokens int
	// Rate is how much per second the account may request from all routers together, and
	// Burst how much at once in addition. A Rate of 0 means no limit.
	Rate, Burst float64
}

// Limited reports whether the account has a limit.
func (a *Account) Limited() bool { return a.Rate > 0 }

// Cost is the cost of a request in the account's unit.
func (a *Account) Cost(prompt *Prompt) float64 {
	if a.Unit == UnitRequests {
		return 1
	}
	if prompt == nil || prompt.Tokens+prompt.MaxNewTokens == 0 {
		return float64(a.PlainTokens)
	}
	return float64(prompt.Tokens + prompt.MaxNewTokens)
}
