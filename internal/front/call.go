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
type call struct {
	limit int
	ready chan struct{}

	mu       sync.Mutex
	queue    []core.Effect
	overflow bool
}

func newCall(window int) *call {
	return &call{limit: 2*window + answerParts, ready: make(chan struct{}, 1)}
}

// answerParts is the number of effects of an answer beside data: head and end.
const answerParts = 2

func (c *call) push(effect core.Effect) {
	c.mu.Lock()
	if len(c.queue) >= c.limit {
		c.overflow = true
	}
	if !c.overflow {
		c.queue = append(c.queue, effect)
	}
	c.mu.Unlock()
	select {
	case c.ready <- struct{}{}:
	default:
	}
}

// take waits for effects and returns all there are.
func (c *call) take(ctx context.Context) ([]core.Effect, error) {
	for {
		c.mu.Lock()
		batch, overflow := c.queue, c.overflow
		c.queue = nil
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
type answer interface {
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
type brokenAnswer struct{ code code.Code }

// Error implements error.
func (b brokenAnswer) Error() string { return "broken answer: " + b.code.String() }

// relay posts a request and writes its answer until either side ends it.
func (f *Front) relay(in *incoming, arrived core.RequestArrived, to answer) {
	c := newCall(f.opts.StreamWindow)
	f.mu.Lock()
	f.calls[in.id] = c
	if f.closed {
		c.push(drained(in.id))
	}
	f.mu.Unlock()
	defer f.forget(in.id)
	f.post(arrived)
	for {
		batch, err := c.take(in.r.Context())
		if err != nil {
			f.giveUp(in, to, err)
			return
		}
		if done := f.write(in, batch, to); done {
			return
		}
	}
}

func (f *Front) forget(id core.RequestID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.calls, id)
}

// write writes a batch and reports whether the answer has ended.
func (f *Front) write(in *incoming, batch []core.Effect, to answer) bool {
	frames, end, err := writeParts(batch, to)
	if err == nil {
		err = to.flush()
	}
	if err != nil {
		f.giveUp(in, to, err)
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

func writeParts(batch []core.Effect, to answer) (frames uint32, end *core.RespondEnd, err error) {
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
func (f *Front) giveUp(in *incoming, to answer, err error) {
	f.post(core.CallerGone{ID: in.id})
	result := code.AnswerCut
	var broken brokenAnswer
	if errors.As(err, &broken) {
		result = broken.code
	}
	to.end(core.RespondEnd{ID: in.id, Code: result})
}
