// Package runtime runs a reducer in a process. One goroutine takes events from a
// queue, steps the reducer and passes the effects to executors, which do I/O on
// their own goroutines and post the results back as events.
package runtime

import (
	"context"
	"time"

	"nutmeglane.example/nutmeglane/internal/clock"
	"nutmeglane.example/nutmeglane/internal/core"
)

// Stepper is the reducer, as package machine builds it.
type Stepper interface {
	Step(now core.Time, event core.Event) []core.Effect
	Dump() map[string]any
}

// Executor carries out some types of effects. Do is called on the loop's goroutine;
// it must return without blocking and reports whether it handles the effect.
type Executor interface {
	Do(effect core.Effect) bool
}

// Loop runs a reducer. Create it with New, add executors, then call Run.
type Loop struct {
	stepper   Stepper
	executors []Executor
	recorder  *Recorder
	queue     *Queue
	dumps     chan chan map[string]any
	timer     *time.Timer
	// done is closed when Run returns.
	done chan struct{}
}

// New returns a loop for a reducer. If recorder is not nil, it records all steps.
func New(stepper Stepper, recorder *Recorder) *Loop {
	return &Loop{
		stepper:  stepper,
		recorder: recorder,
		queue:    NewQueue(),
		dumps:    make(chan chan map[string]any),
		timer:    time.NewTimer(clock.Until(core.Never)),
		done:     make(chan struct{}),
	}
}

// Add adds executors. It must not be called after Run.
func (l *Loop) Add(executors ...Executor) { l.executors = append(l.executors, executors...) }

// Post queues an event. It never blocks and may be called from any goroutine.
func (l *Loop) Post(event core.Event) { l.queue.Put(event) }

// Run processes events until the reducer emits Exit, when it returns nil, or the
// context is done, when it returns the context's error.
func (l *Loop) Run(ctx context.Context) error {
	defer close(l.done)
	defer l.timer.Stop()
	var batch []core.Event
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-l.timer.C:
			if l.step(core.Tick{}) {
				return nil
			}
		case reply := <-l.dumps:
			reply <- l.stepper.Dump()
		case <-l.queue.ready:
			batch = l.queue.Take(batch)
			if l.stepAll(batch) {
				return nil
			}
			clear(batch)
		}
	}
}

func (l *Loop) stepAll(batch []core.Event) (exit bool) {
	for _, event := range batch {
		if l.step(event) {
			return true
		}
	}
	return false
}

func (l *Loop) step(event core.Event) (exit bool) {
	now := clock.Now()
	effects := l.stepper.Step(now, event)
	if l.recorder != nil {
		l.recorder.record(now, event, effects)
	}
	for _, effect := range effects {
		exit = l.execute(effect) || exit
	}
	return exit
}

func (l *Loop) execute(effect core.Effect) (exit bool) {
	switch e := effect.(type) {
	case core.Wake:
		l.timer.Reset(max(0, clock.Until(e.At)))
		return false
	case core.Exit:
		return true
	}
	for _, executor := range l.executors {
		if executor.Do(effect) {
			return false
		}
	}
	return false
}

// Dump returns the reducer's state, taken between two steps, or nil after Run
// has returned.
func (l *Loop) Dump() map[string]any {
	reply := make(chan map[string]any, 1)
	select {
	case l.dumps <- reply:
		return <-reply
	case <-l.done:
		return nil
	}
}
