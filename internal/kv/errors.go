package kv

import (
	"net/http"

	"github.com/cockroachdb/errors"

	"nutmeglane.example/nutmeglane/internal/code"
)

// ErrCompacted is returned by a watch whose changes the service no longer has.
var ErrCompacted = errors.New("revision compacted: list again")

// Error is the failure of a call.
type Error struct {
	Op Op
	// Code is KVUnavailable (the call certainly had no effect), KVConflict or KVUnknown (a
	// write was sent and may have taken effect).
	Code code.Code
	// Status is the HTTP status, 0 if no answer came.
	Status int
	// Current is the key's current state in a conflict of a compare-and-swap.
	Current Item
	cause   error
}

// Error implements error.
func (e *Error) Error() string { return "kv " + string(e.Op) + ": " + e.cause.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// CodeOf returns the result code of a call: OK for nil.
func CodeOf(err error) code.Code {
	var failure *Error
	switch {
	case err == nil, errors.Is(err, ErrCompacted):
		return code.OK
	case errors.As(err, &failure):
		return failure.Code
	default:
		return code.KVUnknown
	}
}

// answered reports whether the service processed the call. This excludes refusals because
// of the rate limit.
func answered(err error) bool {
	c := CodeOf(err)
	return c == code.OK || c == code.KVConflict
}

func throttled(err error) bool {
	var failure *Error
	return errors.As(err, &failure) && failure.Status == http.StatusTooManyRequests
}

// incompleteError returns the error of a call without a complete answer.
//
// It guards against taking a lost answer for a failed write: once there is a connection,
// the write may have reached the service and take effect at any later time. Only a read, or
// a call that never got a connection, has certainly changed nothing.
func incompleteError(op Op, status int, sent bool, cause error) *Error {
	c := code.KVUnavailable
	if sent && op.writes() {
		c = code.KVUnknown
	}
	return &Error{Op: op, Code: c, Status: status, cause: cause}
}

// statusError returns the error of an answer whose status is not 200. The protocol defines
// the statuses without an effect; after any other (500, a redirect) the effect is unknown.
func statusError(op Op, status int) *Error {
	cause := errors.Newf("status %d %s", status, http.StatusText(status))
	switch status {
	case http.StatusConflict:
		return &Error{Op: op, Code: code.KVConflict, Status: status, cause: cause}
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge,
		http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return &Error{Op: op, Code: code.KVUnavailable, Status: status, cause: cause}
	default:
		return incompleteError(op, status, true, cause)
	}
}
