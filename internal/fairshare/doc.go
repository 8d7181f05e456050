// Package fairshare decides which requests may take the next permits of an engine whose
// request rate is limited by a budget: urgent requests before others, and client accounts of
// the same rank by weighted fair shares.
//
// # Ranks
//
// A request of rank n (0 is the most urgent) leaves n/4 of the engine's token bucket, at most
// 3/4, to more urgent ones; 3/4 for some time after a more urgent request found no permit. A rank
// without a permit in Window is granted an overdue request as long as a tenth of the bucket is
// left.
//
// # Accounts
//
// While permits are short, an account that was granted its share of the last two seconds is
// refused. The shares are found by water-filling (Level): what an account does not ask for is
// divided among the others by their weights. Requests come at random times, so that an account
// may exceed its share a little, and further while much of the bucket is left.
//
// The package has no I/O and no clock. It decides on one engine only; see package limit for
// the token bucket and the messages.
package fairshare
