package sse

import (
	"strconv"

	"github.com/cockroachdb/errors"
)

// ErrOutOfOrder means that a stream does not continue another one: an event has no id, or another
// one than the next.
var ErrOutOfOrder = errors.New("the event's id is not the next one")

// maxIDDigits is the length of the longest id that is a number. It fits into 64 bits.
const maxIDDigits = 18

// Continue returns a scanner like Resume that also checks that each event's id is the number after
// that of the event before. It returns neither the first event for which that does not hold nor
// what follows it; see Err.
func Continue(after Position) *Scanner { return &Scanner{position: after, checked: true} }

// Err returns why the stream does not continue the one before, nil as long as it does.
func (s *Scanner) Err() error { return s.err }

// Numbered reports whether it can be checked that a stream continues at the position: no event has
// come, or the last one's id is a number.
func (p Position) Numbered() bool {
	if p == (Position{}) {
		return true
	}
	_, numbered := number(p.ID)
	return p.Exact() && numbered
}

// precedes reports whether an id is that of the next event after the position. The ids of a stream
// begin with 0 or 1.
func (p Position) precedes(id string) bool {
	next, numbered := number(id)
	if p == (Position{}) {
		return numbered && next <= 1
	}
	last, lastNumbered := number(p.ID)
	return numbered && lastNumbered && p.Exact() && next == last+1
}

// number returns the value of an id that consists of digits.
func number(id string) (value uint64, ok bool) {
	if len(id) > maxIDDigits {
		return 0, false
	}
	value, err := strconv.ParseUint(id, 10, 64)
	return value, err == nil
}
