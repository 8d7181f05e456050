package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

const (
	// platformStopLimit is the platform's time from SIGTERM to SIGKILL.
	platformStopLimit = 8 * time.Second
	// lastPart is the time since SIGTERM after which a stop may cut an answer whose server is still at
	// work, if its request was sent within lateRequest of the signal: a sixth of the limit is left.
	lastPart    = platformStopLimit * 5 / 6
	lateRequest = 3 * time.Second
	// shortestSilence and longestSilence bound for how long an engine's process does not run,
	// silencePause is the mean time between two such pauses.
	shortestSilence, longestSilence = time.Second, 4 * time.Second
	silencePause                    = 400 * time.Millisecond
	// longestRefusal bounds for how long an engine refuses runs.
	longestRefusal = 500 * time.Millisecond
	// longestStandstill bounds for how long a router does not run.
	longestStandstill = 2 * time.Second
	// silentShare is the share of streams that pause by themselves after one of their events.
	silentShare = 0.3
	// streamCallers is the number of callers that call the resumable route alone.
	streamCallers = 20
)

// Guards against streams that are cut around the stop of their router because their engine, or the
// router itself, did not run for some seconds: engines pause in the middle of streams and refuse runs
// while routers and loaders stop, restart and are signalled in series, some while they stand still. Each request that reaches a server must get its
// whole answer.
func TestSilentEnginesAmongStops(t *testing.T) {
	for i := range *seedCount {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			w := startWorld(t, seed, usualRetries, platformStopLimit, true)
			playKinds(w, seed, silenceEngines, stops, true)
		})
	}
}

// stops are the planned faults but for the replacement of servers, which ends streams that are
// silent for too long. Routers stop more often than others.
var stops = []fault{
	{"router stopped and started", stopRouter}, {"router stopped and started", stopRouter},
	{"router stopped while it stands still", stopStandingRouter},
	{"loader stopped and started", func(f *faults, _ time.Duration) { f.restart(pick(f, f.world.loaders), syscall.SIGTERM, 0) }},
	{"settings read again", func(f *faults, _ time.Duration) { pick(f, f.world.processes()).signal(syscall.SIGHUP) }},
	{"configuration changed", func(f *faults, _ time.Duration) { f.world.configure() }},
}

func stopRouter(f *faults, _ time.Duration) {
	f.restart(pick(f, f.world.routers), syscall.SIGTERM, 0)
}

// stopStandingRouter stops a router that does not run at that time, and for up to longestStandstill
// after it.
func stopStandingRouter(f *faults, lasts time.Duration) {
	p := pick(f, f.world.routers)
	p.signal(syscall.SIGSTOP)
	f.restart(p, syscall.SIGTERM, 0)
	f.tasks.Go(func() {
		time.Sleep(min(lasts, longestStandstill))
		p.resume()
	})
}

// silenceEngines makes engines and single streams pause, and engines refuse runs, until the processes
// that are stopped have ended. Its callers call until ctx ends.
func silenceEngines(ctx context.Context, w *world, seed uint64) {
	random := rand.New(rand.NewPCG(seed, seed+1))
	var planned atomic.Bool
	planned.Store(true)
	var calling sync.WaitGroup
	defer calling.Wait()
	for i := range streamCallers {
		c := newCaller(w, fmt.Sprintf("s%d", i), &planned)
		c.kinds = []string{"resumable"}
		calling.Go(func() { c.run(ctx) })
	}
	for _, b := range w.engines {
		b.engine.setPauses(true)
	}
	silent, end := context.WithTimeout(ctx, *faultsLast+platformStopLimit)
	defer end()
	for silent.Err() == nil {
		paused, refusing := w.engines[random.IntN(engineCount)].engine, w.engines[random.IntN(engineCount)].engine
		paused.pauseFor(shortestSilence + time.Duration(random.Int64N(int64(longestSilence-shortestSilence))))
		refusing.refuse(true)
		time.AfterFunc(time.Duration(random.Int64N(int64(longestRefusal))), func() { refusing.refuse(false) })
		time.Sleep(time.Duration(random.ExpFloat64() * float64(silencePause)))
	}
	for _, b := range w.engines {
		b.engine.setPauses(false)
	}
}

// pauseFor makes the engine send no event for some time, unless it is paused already: a pause ends.
func (e *engine) pauseFor(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if now := time.Now(); now.After(e.silentUntil.Add(shortestSilence)) {
		e.silentUntil = now.Add(d)
	}
}

// setPauses makes streams that begin from now on pause by themselves, or not.
func (e *engine) setPauses(pauses bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.pauses = pauses
}

// awaitStep returns a function that returns once the next event of a stream is to be sent: a stream
// of the engine may pause once, and the engine's process may not run.
func (e *engine) awaitStep() func() {
	e.mu.Lock()
	pauses := e.pauses && rand.Float64() < silentShare
	e.mu.Unlock()
	before, step := rand.IntN(events), 0
	return func() {
		if step++; pauses && step == before {
			time.Sleep(shortestSilence + time.Duration(rand.Int64N(int64(longestSilence-shortestSilence))))
		}
		e.awaitProcess()
	}
}

func (e *engine) refuse(refuses bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.refuses = refuses
}

// awaitProcess returns once the engine's process runs.
func (e *engine) awaitProcess() {
	e.mu.Lock()
	until := e.silentUntil
	e.mu.Unlock()
	time.Sleep(time.Until(until))
}

// endedWithItsRouter reports whether a request that was sent within lateRequest of the stop of its
// router was cut in the last part of the stop limit, when its engine may still have been at work
// because it had paused.
func (c *caller) endedWithItsRouter(id string) bool {
	now := time.Now()
	stop := c.world.routers[c.router].lastStopBefore(now)
	return c.world.silence && !stop.IsZero() && c.world.checker.whenSent(id).Sub(stop) <= lateRequest &&
		now.Sub(stop) >= lastPart
}

// wake ends the pause of the engine for streams that have not reached it yet.
func (e *engine) wake() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.silentUntil = time.Time{}
}
