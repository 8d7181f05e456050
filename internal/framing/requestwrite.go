package framing

import "sync"

// requestWrite is the write of a request, which may be concurrent with the read of its response. It is
// safe for concurrent use.
type requestWrite struct {
	mu    sync.Mutex
	ended *sync.Cond
	// underWay is set from the beginning of the write to its end, failed once a write has failed or
	// the connection was closed.
	underWay, failed bool
}

func newRequestWrite() *requestWrite {
	w := &requestWrite{}
	w.ended = sync.NewCond(&w.mu)
	return w
}

func (w *requestWrite) begin() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.underWay = true
}

func (w *requestWrite) end() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.underWay = false
	w.ended.Broadcast()
}

func (w *requestWrite) fail() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failed = true
	w.ended.Broadcast()
}

// wait waits for the end of the write and reports whether it has succeeded. It does not wait for long:
// the peer has closed the connection and either has received all or lets the write fail.
func (w *requestWrite) wait() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for w.underWay && !w.failed {
		w.ended.Wait()
	}
	return !w.failed
}
