// Package origin remembers which release of a backend server's software began a stream, so
// that a caller who takes the stream up with a new request gets the rest from the same
// release. It has no I/O and no clock.
package origin

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"nutmeglane.example/nutmeglane/internal/core"
)

// Stream identifies a stream by the request that brought its first event.
type Stream struct {
	// Request is the hash of that request's id.
	Request uint64
	// Scope is the hash of what the callers of a stream have in common. It keeps a caller
	// from learning of the streams of others.
	Scope uint64
}

// NewStream returns the identity of a stream that a request began or names.
func NewStream(requestID, route, service, account string) Stream {
	var scope xxhash.Digest
	scope.Reset()
	for _, part := range []string{route, service, account} {
		_, _ = scope.WriteString(part)
		_, _ = scope.Write([]byte{0})
	}
	return Stream{Request: xxhash.Sum64String(requestID), Scope: scope.Sum64()}
}

// State is what is known of the release that began a stream.
type State uint8

const (
	// Unknown streams were never recorded, or their record was dropped.
	Unknown State = iota
	// Known streams began at one release.
	Known
	// Ambiguous streams were recorded with two releases: a caller used a request id twice.
	Ambiguous
)

// String returns the name of the state for logs and metrics.
func (s State) String() string { return [...]string{"unknown", "known", "ambiguous"}[s] }

// Table holds the origins of streams for a limited time. The zero value is not usable; see
// NewTable.
type Table struct {
	limit   int
	records map[Stream]record
	// order holds the recorded streams with the oldest first. A stream that was recorded
	// again has an entry for each time.
	order []arrival
	// dropped counts the records that were dropped before their time, for lack of room.
	dropped int
}

type record struct {
	release string
	state   State
	until   core.Time
}

type arrival struct {
	stream Stream
	until  core.Time
}

// NewTable returns a table of at most limit records. If there are more, the oldest are
// dropped first: their streams are the most likely to have ended.
func NewTable(limit int) *Table {
	return &Table{limit: limit, records: map[Stream]record{}}
}

// Put records the release that began a stream, for a period.
func (t *Table) Put(now core.Time, s Stream, release string, lasts time.Duration) {
	t.expire(now)
	state := Known
	if known, ok := t.records[s]; ok && (known.state == Ambiguous || known.release != release) {
		state = Ambiguous
	}
	until := now.Add(lasts)
	t.records[s] = record{release: release, state: state, until: until}
	t.order = append(t.order, arrival{s, until})
	for len(t.records) > t.limit {
		t.dropOldest()
	}
}

// Get returns what is known of a stream.
func (t *Table) Get(now core.Time, s Stream) (release string, state State) {
	r, ok := t.records[s]
	if !ok || now >= r.until {
		return "", Unknown
	}
	return r.release, r.state
}

// Len returns the number of records, Dropped how many were dropped before their time.
func (t *Table) Len() int { return len(t.records) }

// Dropped returns how many records were dropped before their time.
func (t *Table) Dropped() int { return t.dropped }

// Each calls f for each record that is known, with the time that it has left.
func (t *Table) Each(now core.Time, f func(s Stream, release string, left time.Duration)) {
	t.expire(now)
	for _, a := range t.order {
		if r := t.records[a.stream]; r.until == a.until && r.state == Known {
			f(a.stream, r.release, r.until.Sub(now))
		}
	}
}

// expire removes the records whose time is over.
func (t *Table) expire(now core.Time) {
	for len(t.order) > 0 && now >= t.order[0].until {
		t.removeFirst()
	}
}

func (t *Table) dropOldest() {
	if t.removeFirst() {
		t.dropped++
	}
}

// removeFirst removes the oldest entry, and the record unless it was recorded again. It
// reports whether it removed a record.
func (t *Table) removeFirst() bool {
	first := t.order[0]
	t.order = t.order[1:]
	if r, ok := t.records[first.stream]; !ok || r.until != first.until {
		return false
	}
	delete(t.records, first.stream)
	return true
}
