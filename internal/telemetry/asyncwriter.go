package telemetry

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// bufferBytes limits the log lines waiting to be written. It holds some
	// seconds of a router's output at full load, 300 lines of 300 bytes a second.
	bufferBytes = 256 << 10
	// requestLinesShare is the share of the buffer that lines about single
	// requests may fill. The rest is reserved for lines about the process.
	requestLinesShare = 0.75
	// flushDelay batches lines into one write, as each write is a system call.
	flushDelay = 100 * time.Millisecond
)

// AsyncWriter buffers log lines without blocking the caller and writes them from
// its own goroutine.
//
// If the output is not read, a direct write would block the goroutine that
// handles events, and the process would stop serving. Lines that do not fit into
// the buffer are dropped and counted, and the count is logged with the next
// write.
type AsyncWriter struct {
	out io.Writer

	mu      sync.Mutex
	pending []byte
	spare   []byte
	dropped int
	closed  bool
	wake    chan struct{}
	done    chan struct{}
}

// NewAsyncWriter returns a writer to out and starts its goroutine, which runs
// until Close.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	w := &AsyncWriter{out: out, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go w.writeAll()
	return w
}

// Write buffers a line about the process itself. It never blocks or fails.
func (w *AsyncWriter) Write(line []byte) (int, error) { return w.enqueue(line, bufferBytes) }

// RequestWriter returns a writer for lines about single requests.
func (w *AsyncWriter) RequestWriter() io.Writer { return requestWriter{w} }

type requestWriter struct{ out *AsyncWriter }

// Write implements io.Writer.
func (w requestWriter) Write(line []byte) (int, error) {
	return w.out.enqueue(line, int(requestLinesShare*bufferBytes))
}

func (w *AsyncWriter) enqueue(line []byte, limit int) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed || len(w.pending)+len(line) > limit {
		w.dropped++
		return len(line), nil
	}
	w.pending = append(w.pending, line...)
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

func (w *AsyncWriter) writeAll() {
	defer close(w.done)
	for range w.wake {
		time.Sleep(flushDelay)
		w.flush()
	}
	w.flush()
}

// flush writes the pending lines. An output error is not reported, because the
// log is the only place where it could be.
func (w *AsyncWriter) flush() {
	w.mu.Lock()
	lines, dropped := w.pending, w.dropped
	w.pending, w.dropped = w.spare[:0], 0
	w.mu.Unlock()
	if dropped > 0 {
		lines = fmt.Appendf(lines, `{"level":"WARN","msg":"log lines dropped","count":%d}`+"\n", dropped)
	}
	if len(lines) > 0 {
		_, _ = w.out.Write(lines)
	}
	w.mu.Lock()
	w.spare = lines[:0]
	w.mu.Unlock()
}

// Close writes the pending lines and waits for that at most for the limit.
func (w *AsyncWriter) Close(limit time.Duration) {
	w.mu.Lock()
	if !w.closed {
		w.closed = true
		close(w.wake)
	}
	w.mu.Unlock()
	select {
	case <-w.done:
	case <-time.After(limit):
	}
}
