package front

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"

	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
)

// errOverflow ends a request whose answer arrived faster than the stream window
// allows.
var errOverflow = errors.New("more data frames queued than twice the stream window")

// effectQueue is the queue between the reducer, which must not block, and the
// goroutine of one request, which may block for long on a slow caller.
//
// The reducer keeps the number of data frames within the stream window, so the
// queue stays short. If that flow control fails, the queue is still bounded: at
// twice the window it overflows and the answer is aborted. The factor of two
// allows for an agent that resumes an answer and splits it into smaller frames
// than those for which the window was granted.
type effectQueue struct {
	limit int
	ready chan struct{}

	mu         sync.Mutex
	effects    []core.Effect
	overflowed bool
}

func newEffectQueue(window int) *effectQueue {
	return &effectQueue{limit: 2*window + nonDataEffects, ready: make(chan struct{}, 1)}
}

// nonDataEffects is the number of effects of an answer that carry no data: head
// and end.
const nonDataEffects = 2

func (q *effectQueue) push(effect core.Effect) {
	q.mu.Lock()
	if len(q.effects) >= q.limit {
		q.overflowed = true
	}
	if !q.overflowed {
		q.effects = append(q.effects, effect)
	}
	q.mu.Unlock()
	select {
	case q.ready <- struct{}{}:
	default:
	}
}

// take blocks until the queue is not empty and returns all queued effects. After
// an overflow it returns the effects queued before it, then errOverflow.
func (q *effectQueue) take(ctx context.Context) ([]core.Effect, error) {
	for {
		q.mu.Lock()
		batch, overflow := q.effects, q.overflowed
		q.effects = nil
		q.mu.Unlock()
		switch {
		case len(batch) > 0:
			return batch, nil
		case overflow:
			return nil, errOverflow
		}
		select {
		case <-q.ready:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// answerWriter writes an answer to a caller in one format. An error of head, data
// or flush ends the request.
type answerWriter interface {
	head(core.RespondHead) error
	data(core.RespondData) error
	// flush sends all buffered data to the caller.
	flush() error
	// complete reports whether the caller has the complete answer although no
	// end has arrived.
	complete() bool
	// end completes the answer if the code is OK; otherwise it ends it in a way
	// that the caller can recognise as a failure.
	end(core.RespondEnd)
}

// answerError reports an invalid or oversized answer of a backend server.
type answerError struct{ code code.Code }

// Error implements error.
func (b answerError) Error() string { return "invalid answer: " + b.code.String() }

// relay posts a request to the reducer and writes its answer until it ends, fails or
// the caller disconnects.
func (f *Front) relay(in *incoming, arrived core.RequestArrived, to answerWriter) {
	queue := newEffectQueue(f.opts.StreamWindow)
	f.mu.Lock()
	f.queues[in.id] = queue
	if f.closed {
		queue.push(drainingEnd(in.id))
	}
	f.mu.Unlock()
	defer f.removeQueue(in.id)
	f.post(arrived)
	for {
		batch, err := queue.take(in.r.Context())
		if err != nil {
			f.abort(in, to, err)
			return
		}
		if done := f.writeBatch(in, batch, to); done {
			return
		}
	}
}

func (f *Front) removeQueue(id core.RequestID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.queues, id)
}

// writeBatch writes effects and reports whether the answer has ended. It reports
// the number of data frames written to the reducer, which extends the window.
func (f *Front) writeBatch(in *incoming, batch []core.Effect, to answerWriter) bool {
	frames, end, err := writeEffects(batch, to)
	if err == nil {
		err = to.flush()
	}
	if err != nil {
		f.abort(in, to, err)
		return true
	}
	if frames > 0 {
		f.post(core.CallerTook{ID: in.id, Frames: frames})
	}
	switch {
	case to.complete():
		return true // the RespondEnd that follows is ignored
	case end != nil:
		to.end(*end)
	}
	return end != nil
}

func writeEffects(batch []core.Effect, to answerWriter) (frames uint32, end *core.RespondEnd, err error) {
	for _, effect := range batch {
		switch e := effect.(type) {
		case core.RespondHead:
			err = to.head(e)
		case core.RespondData:
			err = to.data(e)
			frames++
		case core.RespondEnd:
			return frames, &e, nil
		}
		if err != nil {
			return frames, nil, err
		}
	}
	return frames, nil, nil
}

// abort ends a request whose caller disconnected or whose answer is invalid. It
// posts CallerGone for both, on which the reducer cancels the run.
func (f *Front) abort(in *incoming, to answerWriter, err error) {
	f.post(core.CallerGone{ID: in.id})
	result := code.AnswerCut
	var broken answerError
	if errors.As(err, &broken) {
		result = broken.code
	}
	to.end(core.RespondEnd{ID: in.id, Code: result})
}
