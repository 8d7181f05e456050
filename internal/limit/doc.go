// Package limit keeps the limits that backend servers name: how many requests a second
// they take from all routers together.
//
// # Who counts
//
// For each server that names a limit one loader counts for all routers (Keeper): the one
// beside the server where there is one, so that it sees what the server sees and is lost
// with it. A router asks it for each request that it would send there (Gate), and sends it
// once that is granted. A server that names no limit is asked for by nobody.
//
// Where the loader does not answer, each router sends its even part by itself.
//
// What a request may take is the smaller of two: a bucket that fills at the limit, and
// what a window has room for. The window also holds what the server got before it named
// its limit, when it was sent more than it takes; the bucket keeps what the window has
// room for from coming at once.
//
// # Who knows
//
// A router tells the loader what answers say, and the loader tells all routers what is
// new, so that those stop too that have had no answer of the server since. A limit ends
// with the life of the server that named it, or with an answer that names none.
//
// The package has no I/O and no clock.
package limit
