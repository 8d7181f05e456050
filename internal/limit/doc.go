// Package limit keeps what backend servers tell of the requests a second that they take
// from all routers together.
//
// The package has no I/O and no clock.
package limit
