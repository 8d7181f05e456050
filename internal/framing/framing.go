// Package framing determines how the end of an HTTP/1.1 response was marked and how it came
// (RFC 9112, sections 6 and 8), so that a response that broke off is not taken for a complete
// one.
package framing

import (
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"

	"github.com/cockroachdb/errors"
)

// MaxHeadBytes bounds what a client reads for the heads of one response, interim ones included: a
// server may send a head without end. net/http's own bound is 10 MB.
const MaxHeadBytes = 64 << 10

// Kind is how a response marks the end of its body.
type Kind uint8

// The kinds of framing.
const (
	// Unknown means that no head of a response was received.
	Unknown Kind = iota
	// NoBody means that the response ends with its head, by its status or its request's method.
	NoBody
	// Length means that the body has a Content-Length.
	Length
	// Chunked means that the body ends with its last chunk.
	Chunked
	// UntilClose means that the body ends with the connection.
	UntilClose
)

// String returns the name of the framing for logs and metrics.
func (k Kind) String() string {
	return [...]string{"unknown", "no body", "length", "chunked", "until close"}[k]
}

// Of returns the framing of a response that was read from a connection.
func Of(r *http.Response) Kind {
	switch {
	case r.Body == http.NoBody:
		return NoBody
	case r.ContentLength >= 0:
		return Length
	case len(r.TransferEncoding) > 0:
		return Chunked
	default:
		return UntilClose
	}
}

// End is how the reading of a response ended.
type End uint8

// The ends of a response.
const (
	// NotEnded means that the response has not been read to its end.
	NotEnded End = iota
	// Marked means that the end which the framing announces was reached: the length, the
	// last chunk, or the head of a response without a body.
	Marked
	// Closed means that the peer closed the connection in an orderly way.
	Closed
	// Reset means that the connection was reset.
	Reset
	// TimedOut means that a read took too long.
	TimedOut
	// Aborted means that this process closed the connection.
	Aborted
	// Malformed means that the bytes received are not a response.
	Malformed
)

// String returns the name of the end for logs and metrics.
func (e End) String() string {
	return [...]string{"not ended", "marked", "closed", "reset", "timed out", "aborted", "malformed"}[e]
}

// EndOf returns how a response ended, from the error with which its last read ended. io.EOF
// is the error of a read that reached the end of the body.
func EndOf(k Kind, err error) End {
	switch {
	case err == nil:
		return NotEnded
	case errors.Is(err, io.EOF) && (k == Unknown || k == UntilClose):
		return Closed
	case errors.Is(err, io.EOF):
		return Marked
	case errors.Is(err, io.ErrUnexpectedEOF), isTrailerEOF(err):
		return Closed
	case errors.IsAny(err, syscall.ECONNRESET, syscall.EPIPE):
		return Reset
	case errors.IsAny(err, os.ErrDeadlineExceeded, syscall.ETIMEDOUT):
		return TimedOut
	case errors.Is(err, net.ErrClosed):
		return Aborted
	default:
		return Malformed
	}
}

// isTrailerEOF reports whether a connection was closed between the last chunk of a response and
// the line that ends it. net/http has no error values for that; the second text is also that of
// a trailer which exceeds its buffer.
func isTrailerEOF(err error) bool {
	text := err.Error()
	return strings.Contains(text, "unexpected EOF reading trailer") || strings.Contains(text, "suspiciously long trailer")
}

// Complete reports whether a body that ended is complete as far as its framing tells. A body
// that ends with its connection is complete if the connection was closed in an orderly way:
// then a server that failed can't be told from one that had sent everything.
func Complete(k Kind, e End) bool {
	return e == Marked || k == UntilClose && e == Closed
}
