package enginebudget

import (
	"fmt"
	"testing"
	"time"
)

const (
	settleTime = 10 * time.Second
	steadyTime = 60 * time.Second
	// minUsed is the part of its capacity that an engine must use under overload.
	minUsed = 0.7
)

func constant(perSecond float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return perSecond }
}

// deployments are the engines of docs/design/hard-load.md, with the objectives of their busiest
// route.
var deployments = []struct {
	name    string
	engine  func(chunk int) *modelEngine
	targets Targets
}{
	{"first", firstDeployment, firstTargets},
	{"second", secondDeployment, Targets{FirstEvent: 600 * time.Millisecond, Pause: firstTargets.Pause}},
}

// Guards against a budget under which running streams fall behind, against one that leaves the
// engine idle while callers are refused, and against one that oscillates. Engines differ in how
// many prompt tokens they read between two steps.
func TestSteadyOverload(t *testing.T) {
	for _, d := range deployments {
		for _, chunk := range []int{646, 2048, 4096} {
			for _, overload := range []float64{1.1, 1.5, 3} {
				for seed := range uint64(3) {
					t.Run(fmt.Sprintf("%s/%d/%.1f/%d", d.name, chunk, overload, seed), func(t *testing.T) {
						checkSteadyOverload(t, d.engine(chunk), d.targets, overload, seed)
					})
				}
			}
		}
	}
}

func checkSteadyOverload(t *testing.T, e *modelEngine, targets Targets, overload float64, seed uint64) {
	capacity := e.capacity()
	trial := newTrial(e, targets, seed, constant(overload*capacity))
	trial.run(settleTime)
	trial.run(steadyTime)
	if e.maxPause > firstTargets.Pause {
		t.Errorf("a pause of %v, %d over the objective of %v", e.maxPause, e.latePauses, firstTargets.Pause)
	}
	if used := float64(e.began) / steadyTime.Seconds() / capacity; used < minUsed {
		t.Errorf("%.2f of the capacity of %.1f a second is used", used, capacity)
	}
	if n := turns(trial.limits); float64(n) > steadyTime.Seconds() {
		t.Errorf("%d changes of direction within %v", n, steadyTime)
	}
}

// Guards against a budget that takes effect only after running streams have fallen behind, and
// one that stays low while a model that has become popular needs the engine.
func TestModelRises(t *testing.T) {
	const (
		riseAt, riseTime = 10 * time.Second, 4 * time.Second
		before, after    = 15.0, 77.0
	)
	rising := func(at time.Duration) float64 {
		part := min(1, max(0, float64(at-riseAt)/float64(riseTime)))
		return before + part*(after-before)
	}
	for seed := range uint64(5) {
		e := firstDeployment(2048)
		capacity := e.capacity()
		trial := newTrial(e, firstTargets, seed, rising)
		trial.run(riseAt)
		if _, limited := trial.budget.Limit(); limited {
			t.Errorf("seed %d: a limit at %v a second, capacity %.1f", seed, before, capacity)
		}
		trial.run(riseTime)
		trial.run(steadyTime)
		if e.maxPause > firstTargets.Pause {
			t.Errorf("seed %d: a pause of %v after the rise", seed, e.maxPause)
		}
		if used := float64(e.began) / steadyTime.Seconds() / capacity; used < minUsed {
			t.Errorf("seed %d: %.2f of the capacity is used", seed, used)
		}
		trial.rate = constant(before)
		trial.run(settleTime)
		if limit, limited := trial.budget.Limit(); limited {
			t.Errorf("seed %d: a limit of %.1f remains %v after the demand fell to %v a second", seed, limit, settleTime, before)
		}
	}
}

// Guards against a budget that sees no overload in the model's engine, which would make the
// tests above pass without a limit: without one the queue grows without bound.
func TestModelIsOverloadedWithoutLimit(t *testing.T) {
	e := firstDeployment(2048)
	trial := newTrial(e, firstTargets, 1, constant(1.5*e.capacity()))
	trial.unlimited = true
	trial.run(settleTime)
	trial.run(steadyTime)
	if e.maxFirst < 10*firstTargets.FirstEvent {
		t.Errorf("the longest first event took %v", e.maxFirst)
	}
}
