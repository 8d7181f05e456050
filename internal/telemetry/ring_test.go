package telemetry

import (
	"bytes"
	"io"
	"strings"
	"sync"
	"testing"
	"time"
)

// stuck is an output that nobody reads, until it is released.
type stuck struct {
	release chan struct{}
	mu      sync.Mutex
	got     bytes.Buffer
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.got.Write(p)
}

// Nobody reads the process's standard output. A plain write would block in the
// middle of a decision and requests would stop. Lines must be taken all the
// same, those about the process longer than those about single requests, and
// what was dropped must be counted in the log once somebody reads again.
func TestAsyncWriterNeverBlocks(t *testing.T) {
	out := &stuck{release: make(chan struct{})}
	ring := NewAsyncWriter(out)
	requests := ring.RequestWriter()
	line := []byte(strings.Repeat("r", 1023) + "\n")
	for range 4 * ringBytes / len(line) {
		if n, err := requests.Write(line); n != len(line) || err != nil {
			t.Fatalf("write: %d, %v", n, err)
		}
	}
	if n, err := ring.Write([]byte("belief\n")); n != len("belief\n") || err != nil {
		t.Fatalf("write: %d, %v", n, err)
	}
	close(out.release)
	ring.Close(10 * time.Second)
	got := out.got.String()
	if !strings.Contains(got, "belief\n") {
		t.Error("a line about the process was dropped for lines about requests")
	}
	if !strings.Contains(got, "log lines dropped") {
		t.Error("the dropped lines are not counted in the log")
	}
	if len(got) > 3*ringBytes {
		t.Errorf("%d bytes were kept, more than the bound", len(got))
	}
}

// BenchmarkRingLine is what a log line costs the goroutine that decides.
func BenchmarkRingLine(b *testing.B) {
	ring := NewAsyncWriter(io.Discard)
	line := []byte(strings.Repeat("r", 299) + "\n")
	b.ReportAllocs()
	for b.Loop() {
		_, _ = ring.Write(line)
	}
	ring.Close(time.Second)
}
