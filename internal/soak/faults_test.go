package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"nutmeglane.example/nutmeglane/internal/relay"
)

const (
	// faultPause is the mean time between the starts of two faults. Most faults
	// last longer, so that several overlap.
	faultPause = 300 * time.Millisecond
	// shortestFault and longestFault bound the duration of a fault.
	shortestFault, longestFault = 200 * time.Millisecond, 2500 * time.Millisecond
	// largestDelay is the maximum delay of a slow network path.
	largestDelay = 300 * time.Millisecond
)

// fault is a kind of fault. do starts it and schedules its end after lasts.
type fault struct {
	name string
	do   func(f *faults, lasts time.Duration)
}

// planned faults are maintenance work of operators. They must not cause any failure.
var planned = []fault{
	{"router stopped and started", func(f *faults, _ time.Duration) { f.restart(pick(f, f.world.routers), syscall.SIGTERM, 0) }},
	{"loader stopped and started", func(f *faults, _ time.Duration) { f.restart(pick(f, f.world.loaders), syscall.SIGTERM, 0) }},
	{"settings read again", func(f *faults, _ time.Duration) { pick(f, f.world.processes()).signal(syscall.SIGHUP) }},
	{"configuration changed", func(f *faults, _ time.Duration) { f.world.configure() }},
	{"backend server replaced", func(f *faults, _ time.Duration) { f.replace() }},
	{"store forgets its history", func(f *faults, _ time.Duration) { f.world.store.forget() }},
}

// unplanned faults are drawn in addition to the planned ones.
var unplanned = []fault{
	{"router killed", func(f *faults, lasts time.Duration) { f.restart(pick(f, f.world.routers), syscall.SIGKILL, lasts) }},
	{"loader killed", func(f *faults, lasts time.Duration) { f.restart(pick(f, f.world.loaders), syscall.SIGKILL, lasts) }},
	{"process paused", func(f *faults, lasts time.Duration) { f.pause(pick(f, f.world.processes()), lasts) }},
	{"backend server crashes", func(f *faults, lasts time.Duration) { f.crash(lasts) }},
	{"backend server misbehaves", func(f *faults, lasts time.Duration) { f.misbehave(lasts) }},
	{"path cut one way", func(f *faults, lasts time.Duration) {
		f.disturb(lasts, func(r *relay.Relay) { r.Cut(relay.Direction(f.rand.IntN(2))) })
	}},
	{"path cut", func(f *faults, lasts time.Duration) {
		f.disturb(lasts, func(r *relay.Relay) { r.Cut(relay.In); r.Cut(relay.Out) })
	}},
	{"path slow", func(f *faults, lasts time.Duration) {
		f.disturb(lasts, func(r *relay.Relay) { r.Delay(time.Duration(f.rand.Int64N(int64(largestDelay)))) })
	}},
	{"connections reset", func(f *faults, lasts time.Duration) { f.disturb(lasts, (*relay.Relay).Reset) }},
	{"connections silent", func(f *faults, lasts time.Duration) {
		f.disturb(lasts, func(r *relay.Relay) { r.Silence(relay.Direction(f.rand.IntN(2))) })
	}},
	{"store goes back", func(f *faults, _ time.Duration) { f.restoreStore() }},
	{"store refuses", func(f *faults, lasts time.Duration) { f.storeDown(storeRefuses, lasts) }},
	{"store throttles", func(f *faults, lasts time.Duration) { f.storeDown(storeThrottles, lasts) }},
	{"store hangs", func(f *faults, lasts time.Duration) { f.storeDown(storeHangs, lasts) }},
}

// faults draws faults from a seed and carries them out.
type faults struct {
	world *world
	rand  *rand.Rand
	tasks sync.WaitGroup
	// mu guards down.
	mu sync.Mutex
	// down counts the routers that are being stopped. At least one stays up, as
	// in the platform's own maintenance.
	down int
	log  []string
}

// run starts faults of the kinds until ctx ends and waits until all have ended.
func (f *faults) run(ctx context.Context, kinds []fault) {
	began := time.Now()
	for ctx.Err() == nil {
		kind := kinds[f.rand.IntN(len(kinds))]
		lasts := shortestFault + time.Duration(f.rand.Int64N(int64(longestFault-shortestFault)))
		f.log = append(f.log, fmt.Sprintf("%7.3f s %s, %s", time.Since(began).Seconds(), kind.name, lasts))
		kind.do(f, lasts)
		time.Sleep(time.Duration(f.rand.ExpFloat64() * float64(faultPause)))
	}
	f.tasks.Wait()
}

func pick[T any](f *faults, all []T) T { return all[f.rand.IntN(len(all))] }

// restart stops a process by a signal and starts it again after down. It does nothing
// if the process is the last router that is up.
func (f *faults) restart(p *process, s syscall.Signal, down time.Duration) {
	isRouter := p.role == "router"
	f.mu.Lock()
	if isRouter && f.down == routerCount-1 {
		f.mu.Unlock()
		return
	}
	if isRouter {
		f.down++
	}
	f.mu.Unlock()
	f.tasks.Go(func() {
		if p.end(s) {
			time.Sleep(down)
			f.checkStarted(p.start())
		}
		if isRouter {
			f.mu.Lock()
			f.down--
			f.mu.Unlock()
		}
	})
}

func (f *faults) pause(p *process, lasts time.Duration) {
	p.signal(syscall.SIGSTOP)
	f.tasks.Go(func() {
		time.Sleep(lasts)
		p.signal(syscall.SIGCONT)
	})
}

// checkStarted reports a violation if a process or server could not be restarted.
func (f *faults) checkStarted(err error) {
	if err != nil {
		f.world.checker.reportViolation("restart failed: %v", err)
	}
}

// replace stops a backend server as planned and starts a new instance in its place.
func (f *faults) replace() {
	b := pick(f, f.world.backends())
	f.tasks.Go(func() {
		b.lifecycle.Lock()
		defer b.lifecycle.Unlock()
		b.leave()
		f.checkStarted(b.start())
	})
}

func (f *faults) crash(lasts time.Duration) {
	b := pick(f, f.world.backends())
	f.tasks.Go(func() {
		b.lifecycle.Lock()
		defer b.lifecycle.Unlock()
		b.crash()
		time.Sleep(lasts)
		f.checkStarted(b.start())
	})
}

// misbehave draws none of the faults after answersTwice: a new one would change what earlier
// seeds play.
func (f *faults) misbehave(lasts time.Duration) {
	b := pick(f, f.world.backends())
	b.setFault(serverFault(1 + f.rand.IntN(int(answersTwice))))
	f.tasks.Go(func() {
		time.Sleep(lasts)
		b.setFault(noFault)
	})
}

func (f *faults) disturb(lasts time.Duration, how func(*relay.Relay)) {
	name := pick(f, sortedKeys(f.world.links))
	link := f.world.links[name]
	f.world.checker.announcements.linkDisturbed(name, lasts)
	how(link)
	f.tasks.Go(func() {
		time.Sleep(lasts)
		link.Heal()
	})
}

func (f *faults) storeDown(mode storeMode, lasts time.Duration) {
	f.world.store.setMode(mode)
	f.tasks.Go(func() {
		time.Sleep(lasts)
		f.world.store.setMode(storeWorks)
	})
}

// restoreStore restores the store from an older copy. Operators and servers write their
// missing entries again; entries of servers that have left meanwhile expire.
func (f *faults) restoreStore() {
	f.world.store.restoreCopy()
	f.world.writeConfig()
	f.tasks.Go(func() {
		time.Sleep(missedHeartbeats * heartbeat)
		f.world.store.removeStale(f.world.instances())
	})
}
