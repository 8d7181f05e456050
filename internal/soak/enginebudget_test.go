package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"syscall"
	"testing"
	"time"
)

const (
	// kvTotal is the size of an engine's KV memory in tokens, kvFree what a full one has left.
	kvTotal, kvFree = 1000, 50
	// longestFull is the maximum duration for which engines drawn at random are full.
	longestFull = 5 * time.Second
	// budgetSeed selects the network of the deployment, distinct from other tests.
	budgetSeed = 74
)

// startedStream is a run that has begun to send events.
type startedStream struct {
	id string
	at time.Time
}

// beginStream records a run until the returned function is called.
func (e *engine) beginStream(id string) (end func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.streams == nil {
		e.streams = map[int]startedStream{}
	}
	number := e.nextStream
	e.nextStream++
	e.streams[number] = startedStream{id, time.Now()}
	return func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		delete(e.streams, number)
	}
}

// runsLocked returns the runs as the report lists them. The caller holds e.mu.
func (e *engine) runsLocked() [][]any {
	runs := [][]any{}
	for _, s := range e.streams {
		made := 1 + int(time.Since(s.at)/eventPause)
		runs = append(runs, []any{s.id, made, min(events, made), 1})
	}
	return runs
}

// kvUsedLocked returns the tokens in use. The caller holds e.mu.
func (e *engine) kvUsedLocked() int {
	if e.full {
		return kvTotal - kvFree
	}
	return 0
}

// setFull makes the engine report that its KV memory is full.
func (e *engine) setFull(full bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.full = full
}

// fillEngines makes engines report full KV memory, drawn from a seed, until ctx ends. None is
// full at the end.
func fillEngines(ctx context.Context, w *world, seed uint64) {
	r := rand.New(rand.NewPCG(seed, budgetSeed))
	for ctx.Err() == nil {
		for _, b := range w.engines {
			b.engine.setFull(r.IntN(2) == 0)
		}
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(r.Int64N(int64(longestFull)))):
		}
	}
	for _, b := range w.engines {
		b.engine.setFull(false)
	}
}

// Guards against wrong, duplicate and incomplete answers, and refused requests that ran, while
// engines get budgets and lose them during the faults of a seed; and against budgets that outlast
// their loaders or engines, so that calls are not served again after the faults.
func TestBudgetsAmongFaults(t *testing.T) {
	for i := range *seedCount {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runSeed(t, seed, fillEngines) })
	}
}

// Guards against an engine that is crowded and gets no budget at some router, one that keeps it
// when it is no longer crowded, and routers that keep the budget of a loader that is paused.
func TestBudgetBeginsExpiresAndEnds(t *testing.T) {
	w := newWorld(t, budgetSeed)
	defer w.close()
	stop := w.startCallers(callers)
	defer stop()
	w.awaitServed(t)
	for _, b := range w.engines {
		b.engine.setFull(true)
	}
	w.awaitLimited(t)
	for _, l := range w.loaders {
		l.signal(syscall.SIGSTOP)
	}
	w.awaitLimitsOver(t)
	for _, l := range w.loaders {
		l.signal(syscall.SIGCONT)
	}
	w.awaitLimited(t)
	for _, b := range w.engines {
		b.engine.setFull(false)
	}
	w.awaitLimitsOver(t)
	w.awaitServed(t)
	stop()
	w.quiesce()
	w.report(t, budgetSeed, &faults{world: w})
}

// awaitLimited waits until each router has a limit.
func (w *world) awaitLimited(t *testing.T) {
	t.Helper()
	for i := range routerCount {
		w.await(t, fmt.Sprintf("router%d to have a limit", i), func() bool { return len(w.limitsKnown(t, i)) > 0 })
	}
}
