// Package quota measures how well routers and loaders enforce the limits of client
// accounts together. It runs package internal/quota in virtual time with callers that are
// distributed unevenly over routers, message delays and failing processes, without a
// network and with fixed seeds.
//
// The invariant is that no account exceeds its bound within any window. The measurements
// are the fraction of its limit that an account can use, how near its use comes to the
// bound, and the cost in bytes of messages.
package quota
