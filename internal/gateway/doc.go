// Package gateway is the shell around a router's reducer: it takes callers'
// requests over HTTP, sends them to backend servers as the reducer decides,
// and passes answers back. Requests and answers flow through the goroutine
// that serves the caller; everything that is decided is decided by the reducer.
package gateway
