package front

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"

	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
)

// errOverflow ends a call whose answer came faster than the window allows.
var errOverflow = errors.New("data frames beyond twice the stream window")

// call is the queue between the reducer, which must not wait, and the
// goroutine of one request, which may wait long for a slow caller.
//
// The reducer keeps the number of data frames within the stream window, so the
// queue stays short. Should it fail to, the queue does not grow with the
// answer: at twice the window the call overflows, and its answer is broken
// off. Twice, because an agent that resumes an answer may cut it into smaller
// frames than those that the window was granted for.
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

// answerParts is the number of effects of an answer beside data: head and end.
const nonDataEffects = 2

func (c *effectQueue) push(effect core.Effect) {
	c.mu.Lock()
	if len(c.effects) >= c.limit {
		c.overflowed = true
	}
	if !c.overflowed {
		c.effects = append(c.effects, effect)
	}
	c.mu.Unlock()
	select {
	case c.ready <- struct{}{}:
	default:
	}
}

// take waits for effects and returns all there are.
func (c *effectQueue) take(ctx context.Context) ([]core.Effect, error) {
	for {
		c.mu.Lock()
		batch, overflow := c.effects, c.overflowed
		c.effects = nil
		c.mu.Unlock()
		switch {
		case len(batch) > 0:
			return batch, nil
		case overflow:
			return nil, errOverflow
		}
		select {
		case <-c.ready:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// answer writes the parts of an answer to a caller in one of the forms. An
// error of head, data or flush ends the request.
type answerWriter interface {
	head(core.RespondHead) error
	data(core.RespondData) error
	// flush brings all data so far on its way to the caller.
	flush() error
	// complete tells that the caller has all before the end has come.
	complete() bool
	// end ends the answer, whole if the code is OK, else visibly broken.
	end(core.RespondEnd)
}

// brokenAnswer is an error for an answer that the backend server spoiled.
type answerError struct{ code code.Code }

// Error implements error.
func (b answerError) Error() string { return "broken answer: " + b.code.String() }

// relay posts a request and writes its answer until either side ends it.
func (f *Front) relay(in *incoming, arrived core.RequestArrived, to answerWriter) {
	c := newEffectQueue(f.opts.StreamWindow)
	f.mu.Lock()
	f.queues[in.id] = c
	if f.closed {
		c.push(drainingEnd(in.id))
	}
	f.mu.Unlock()
	defer f.removeQueue(in.id)
	f.post(arrived)
	for {
		batch, err := c.take(in.r.Context())
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

// write writes a batch and reports whether the answer has ended.
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
		return true // the reducer's end of it finds no call any more
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

// giveUp ends a request whose caller went away or whose answer is broken. The
// reducer learns of both as CallerGone, and cancels the run.
func (f *Front) abort(in *incoming, to answerWriter, err error) {
	f.post(core.CallerGone{ID: in.id})
	result := code.AnswerCut
	var broken answerError
	if errors.As(err, &broken) {
		result = broken.code
	}
	to.end(core.RespondEnd{ID: in.id, Code: result})
}
