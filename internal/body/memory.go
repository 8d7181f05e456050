// Package body reads the bodies of requests into memory, within a bound over all requests of a
// process. Package bodymemory decides which bodies find room.
package body

import (
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"nutmeglane.example/nutmeglane/internal/bodymemory"
	"nutmeglane.example/nutmeglane/internal/clock"
	"nutmeglane.example/nutmeglane/internal/code"
)

// DefaultBytes is the size of a Memory, in bytes, if the memory of the machine is not known.
const DefaultBytes = 64 << 20

// machineShare is the part of a machine's memory that bodies take. The rest is for connections, bytes
// that are received and not yet read, what the process keeps else, and garbage.
const machineShare = 0.25

// BytesOf returns the size of a Memory, in bytes, on a machine with a memory in MB, 0 if unknown.
func BytesOf(machineMB float64) int64 {
	if machineMB == 0 {
		return DefaultBytes
	}
	return int64(machineMB * machineShare * (1 << 20))
}

// Memory is the memory that the bodies of a process's requests share. It is safe for concurrent use.
type Memory struct {
	mu     sync.Mutex
	ledger *bodymemory.Ledger
	lastID bodymemory.ID
	bodies map[bodymemory.ID]*Body
	counts Counts
}

// Counts are totals since the start of the process.
type Counts struct {
	// Refused is the number of bodies that found no room.
	Refused int64 `json:"refused"`
	// Dropped is the number of bodies that were not read further for the sake of others.
	Dropped int64 `json:"dropped"`
	// TooLarge is the number of bodies over the limit of their size.
	TooLarge int64 `json:"tooLarge"`
}

// State is a snapshot of a Memory. Sizes are in bytes.
type State struct {
	Counts
	Held   int64 `json:"heldBytes"`
	Limit  int64 `json:"limitBytes"`
	Bodies int   `json:"bodies"`
}

// NewMemory returns a Memory of a number of bytes.
func NewMemory(bytes int64) *Memory {
	return &Memory{ledger: bodymemory.New(bytes), bodies: map[bodymemory.ID]*Body{}}
}

// State returns a snapshot.
func (m *Memory) State() State {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.stateLocked()
}

func (m *Memory) stateLocked() State {
	return State{Counts: m.counts, Held: m.ledger.Held(), Limit: m.ledger.Bytes(), Bodies: m.ledger.Bodies()}
}

// SetLargest makes sure that one body of a size, in bytes, finds room.
func (m *Memory) SetLargest(bytes int64) {
	m.step(bodymemory.LargestChanged{Bytes: bytes + overLimit})
}

// DropSlow stops reading bodies that come too slowly, at most the given number, because their
// connections are needed, and returns how many.
func (m *Memory) DropSlow(most int) int {
	return len(m.step(bodymemory.ConnsExhausted{Bodies: most}).Dropped)
}

// step passes an event to the ledger and stops the bodies that it drops.
func (m *Memory) step(event bodymemory.Event) bodymemory.Decision {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.stepLocked(event)
}

func (m *Memory) stepLocked(event bodymemory.Event) bodymemory.Decision {
	decision := m.ledger.Step(clock.Now(), event)
	for _, id := range decision.Dropped {
		m.counts.Dropped++
		m.bodies[id].drop()
		delete(m.bodies, id)
	}
	return decision
}

// Refusal is the error of a body that is not read to its end for a reason of the process's own.
type Refusal struct {
	// Code is BodyTooLarge, or BodiesFull if there is no room.
	Code code.Code
	// Reason describes the refusal.
	Reason string
	// RetryAfter is when the caller should return, 0 if it should not.
	RetryAfter time.Duration
	// Arrived is how many bytes of the body had been read, Memory the state at that time.
	Arrived int64
	Memory  State
}

// Error implements error.
func (r *Refusal) Error() string { return r.Reason }

// Attrs returns what a log line tells of the refusal.
func (r *Refusal) Attrs() []slog.Attr {
	return []slog.Attr{
		slog.String("code", r.Code.String()), slog.String("reason", r.Reason), slog.Int64("arrived", r.Arrived),
		slog.Int64("held_by_all", r.Memory.Held), slog.Int64("limit", r.Memory.Limit), slog.Int("bodies", r.Memory.Bodies),
	}
}

// Read reads the body of a request to its end. The body is nil if there is none. A body of more than
// limit bytes is refused, by its announced length before any byte is read.
//
// The error is a *Refusal, or that of reading. After an error the rest of the body is unread.
func (m *Memory) Read(w http.ResponseWriter, r *http.Request, limit int64) (*Body, error) {
	if r.Body == nil || r.Body == http.NoBody {
		return nil, nil
	}
	if r.ContentLength > limit {
		return nil, m.tooLarge(0, limit)
	}
	b := m.begin(w, r.ContentLength, limit)
	if err := b.readFrom(r.Body); err != nil {
		b.Release()
		return nil, err
	}
	return b, nil
}

func (m *Memory) begin(w http.ResponseWriter, announced, limit int64) *Body {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lastID++
	b := &Body{memory: m, id: m.lastID, announced: announced, limit: limit, holders: 1}
	b.interrupt = func() {
		// A writer without support for deadlines, such as a test recorder, can't block.
		_ = http.NewResponseController(w).SetReadDeadline(time.Unix(1, 0))
	}
	m.bodies[b.id] = b
	return b
}

func (m *Memory) tooLarge(arrived, limit int64) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counts.TooLarge++
	reason := fmt.Sprintf("the body is over the limit of %d bytes", limit)
	return &Refusal{Code: code.BodyTooLarge, Reason: reason, Arrived: arrived, Memory: m.stateLocked()}
}

// Refuse answers a request whose body was not read to its end, by calling write, and closes its
// connection in a way that lets a client that still sends receive the answer: closing it with bytes
// unread would reset it.
func Refuse(w http.ResponseWriter, r *http.Request, write func()) {
	control := http.NewResponseController(w)
	w.Header().Set("Connection", "close")
	_ = control.SetReadDeadline(time.Now().Add(discardTimeout)) // as above
	write()
	_ = control.Flush() // fails only if the client has disconnected
	if r.Header.Get("Expect") == "" {
		discard(r.Body)
	}
	// net/http reads on when the handler returns. There is nothing more to wait for.
	_ = control.SetReadDeadline(time.Unix(1, 0))
}

const (
	// discardBytes and discardTimeout bound what is read of a body after it was refused.
	discardBytes   = 1 << 20
	discardTimeout = time.Second
	// discardBuffer is the size of the reads, in bytes.
	discardBuffer = 4 << 10
)

func discard(body io.Reader) {
	buffer := make([]byte, discardBuffer)
	_, _ = io.CopyBuffer(onlyWriter{io.Discard}, io.LimitReader(body, discardBytes), buffer)
}

// onlyWriter hides the ReadFrom of io.Discard, which would use a buffer of its own.
type onlyWriter struct{ io.Writer }
