// Package gateway does the I/O for a router's reducer: it accepts callers' requests over
// HTTP, sends them to backend servers as the reducer decides, and forwards the responses.
// The goroutine that serves a caller copies the request and the response; the reducer makes
// all decisions.
package gateway
