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

	"nutmeglane.example/nutmeglane/internal/retrybudget"
)

const (
	// lateArrivalsLast is for how long servers stand still again and again. Routers use the slack of
	// standstillRetries after one and a half of its windows.
	lateArrivalsLast = 25 * time.Second
	// shortestStandstill and longestServerStandstill bound for how long a server stands still.
	shortestStandstill, longestServerStandstill = 2 * time.Second, 5 * time.Second
	// retriedCallers is the number of callers that call the routes whose requests may be repeated alone.
	retriedCallers = 30
)

// standstillRetries is a bound on retries that failing servers use up, with a short window.
var standstillRetries = retrybudget.Bounds{Window: 6 * time.Second, Ratio: 0.04, Slack: 12}

// calmFaults do not disturb processes.
var calmFaults = []fault{
	{"settings read again", func(f *faults, _ time.Duration) { pick(f, f.world.processes()).signal(syscall.SIGHUP) }},
	{"configuration changed", func(f *faults, _ time.Duration) { f.world.configure() }},
}

// Guards against more retries than the bound over all routers allows, by their arrival, when servers
// stand still for seconds and then read what has reached them, also what their routers have left.
func TestRetriesToServersThatStandStill(t *testing.T) {
	for i := range (*seedCount + 1) / 2 { // each takes some 40 s
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			w := newWorldWithBudget(t, seed, standstillRetries)
			playKindsFor(w, seed, lateArrivalsLast, standStill, calmFaults, false)
		})
	}
}

// standStill lets all servers fail most of what they run, and some or all of a service stand still at
// a time, until ctx ends.
func standStill(ctx context.Context, w *world, seed uint64) {
	random := rand.New(rand.NewPCG(seed, seed+1))
	var calling sync.WaitGroup
	defer calling.Wait()
	for i := range retriedCallers {
		c := newCaller(w, fmt.Sprintf("r%d", i), &atomic.Bool{})
		c.kinds = []string{"again", "resumable"}
		calling.Go(func() { c.run(ctx) })
	}
	setFaults(w.backends(), failsOften)
	for ctx.Err() == nil {
		lasts := shortestStandstill + time.Duration(random.Int64N(int64(longestServerStandstill-shortestStandstill)))
		for _, servers := range [][]*backend{w.plains, w.engines} {
			for _, b := range servers[:1+random.IntN(len(servers))] {
				b.standFor(lasts)
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(lasts + time.Duration(random.Int64N(int64(shortestStandstill)))):
		}
	}
	setFaults(w.backends(), noFault)
}

// standFor stops the server's process for some time. What reaches its host meanwhile is read later.
func (b *backend) standFor(d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.standsUntil = time.Now().Add(d)
}

// awaitProcess returns once the server's process runs.
func (b *backend) awaitProcess() {
	b.mu.Lock()
	until := b.standsUntil
	b.mu.Unlock()
	time.Sleep(time.Until(until))
}
