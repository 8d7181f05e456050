package gateway

import "sync"

const (
	// smallAnswerBytes is the size up to which an answer is buffered in any case.
	smallAnswerBytes = 16 << 10
	// defaultAnswerBytes is the memory of all larger buffered answers by default.
	defaultAnswerBytes = 16 << 20
)

// answerMemory bounds the memory of buffered answers of more than smallAnswerBytes, over all requests
// of a process: callers that read slowly, or nothing, hold theirs for long. It is safe for concurrent
// use.
type answerMemory struct {
	mu   sync.Mutex
	left int64
}

// heldAnswers is the part of it that a request holds.
type heldAnswers struct {
	memory *answerMemory
	bytes  int64
	// ended is set once the request has ended; a hedge of it may still run.
	ended bool
}

// take reserves memory and reports whether there is enough.
func (h *heldAnswers) take(bytes int64) bool {
	h.memory.mu.Lock()
	defer h.memory.mu.Unlock()
	if h.ended || h.memory.left < bytes {
		return false
	}
	h.memory.left -= bytes
	h.bytes += bytes
	return true
}

// end gives back what the request has reserved.
func (h *heldAnswers) end() {
	h.memory.mu.Lock()
	defer h.memory.mu.Unlock()
	h.memory.left += h.bytes
	h.bytes, h.ended = 0, true
}
