package telemetry

import (
	"bytes"
	"io"
	"strings"
	"sync"
	"testing"
	"time"
)

// blockedOutput blocks every write until release is closed.
type blockedOutput struct {
	release chan struct{}
	mu      sync.Mutex
	got     bytes.Buffer
}

func (s *blockedOutput) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.got.Write(p)
}

// The process's standard output is not read. Guards against a write that blocks
// the event loop and so stops request handling. Writes must return, lines about
// the process must still be buffered when lines about single requests are
// dropped, and the number dropped must be logged once the output is read again.
func TestAsyncWriterNeverBlocks(t *testing.T) {
	out := &blockedOutput{release: make(chan struct{})}
	w := NewAsyncWriter(out)
	requests := w.RequestWriter()
	line := []byte(strings.Repeat("r", 1023) + "\n")
	for range 4 * bufferBytes / len(line) {
		if n, err := requests.Write(line); n != len(line) || err != nil {
			t.Fatalf("write: %d, %v", n, err)
		}
	}
	if n, err := w.Write([]byte("belief\n")); n != len("belief\n") || err != nil {
		t.Fatalf("write: %d, %v", n, err)
	}
	close(out.release)
	w.Close(10 * time.Second)
	got := out.got.String()
	if !strings.Contains(got, "belief\n") {
		t.Error("a line about the process was dropped for lines about requests")
	}
	if !strings.Contains(got, "log lines dropped") {
		t.Error("the dropped lines are not counted in the log")
	}
	if len(got) > 3*bufferBytes {
		t.Errorf("%d bytes were kept, more than the limit", len(got))
	}
}

// BenchmarkRingLine measures the cost of a log line to the goroutine that logs it.
func BenchmarkRingLine(b *testing.B) {
	writer := NewAsyncWriter(io.Discard)
	line := []byte(strings.Repeat("r", 299) + "\n")
	b.ReportAllocs()
	for b.Loop() {
		_, _ = writer.Write(line)
	}
	writer.Close(time.Second)
}
