package telemetry

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// ringBytes bounds the log lines that wait to be written: some seconds of
	// a router's lines at full load, 300 lines of 300 bytes a second.
	ringBytes = 256 << 10
	// firstDropped is the part of the ring from which lines about single
	// requests are dropped, so that lines about the process still find room.
	firstDropped = 0.75
	// writePause gathers lines for one write; each write costs a system call.
	writePause = 100 * time.Millisecond
)

// Ring takes log lines without ever blocking and writes them from a goroutine
// of its own.
//
// It guards against an output that nobody reads: a direct write would block in
// the middle of a decision, and the process would stop serving for the sake of
// its log. Lines that find no room are dropped and counted, and the count is
// logged once there is room again.
type AsyncWriter struct {
	out io.Writer

	mu      sync.Mutex
	pending []byte
	spare   []byte
	dropped int
	closed  bool
	signal  chan struct{}
	done    chan struct{}
}

// NewRing returns a ring that writes to out. Call Close in the end.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	r := &AsyncWriter{out: out, signal: make(chan struct{}, 1), done: make(chan struct{})}
	go r.writeAll()
	return r
}

// Write takes a line about the process itself.
func (r *AsyncWriter) Write(line []byte) (int, error) { return r.take(line, ringBytes) }

// Requests returns a writer for lines about single requests.
func (r *AsyncWriter) RequestWriter() io.Writer { return requestWriter{r} }

type requestWriter struct{ ring *AsyncWriter }

// Write implements io.Writer.
func (w requestWriter) Write(line []byte) (int, error) {
	return w.ring.take(line, int(firstDropped*ringBytes))
}

func (r *AsyncWriter) take(line []byte, room int) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed || len(r.pending)+len(line) > room {
		r.dropped++
		return len(line), nil
	}
	r.pending = append(r.pending, line...)
	select {
	case r.signal <- struct{}{}:
	default:
	}
	return len(line), nil
}

func (r *AsyncWriter) writeAll() {
	defer close(r.done)
	for range r.signal {
		time.Sleep(writePause)
		r.flush()
	}
	r.flush()
}

// flush writes what is pending. An error of the output is not reported: the
// log itself is the only place for it.
func (r *AsyncWriter) flush() {
	r.mu.Lock()
	lines, dropped := r.pending, r.dropped
	r.pending, r.dropped = r.spare[:0], 0
	r.mu.Unlock()
	if dropped > 0 {
		lines = fmt.Appendf(lines, `{"level":"WARN","msg":"log lines dropped","count":%d}`+"\n", dropped)
	}
	if len(lines) > 0 {
		_, _ = r.out.Write(lines)
	}
	r.mu.Lock()
	r.spare = lines[:0]
	r.mu.Unlock()
}

// Close writes what is left, waiting at most for the limit.
func (r *AsyncWriter) Close(limit time.Duration) {
	r.mu.Lock()
	if !r.closed {
		r.closed = true
		close(r.signal)
	}
	r.mu.Unlock()
	select {
	case <-r.done:
	case <-time.After(limit):
	}
}
