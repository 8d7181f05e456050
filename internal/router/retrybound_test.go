package router

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
	loaderside "nutmeglane.example/nutmeglane/internal/loader"
)

// retrySeeds is how many seeds each history is played with.
var retrySeeds = flag.Uint64("retryseeds", 1, "how many seeds TestRetriesKeepToTheBoundOverAllRouters plays")

// retryScript is a history of a fleet whose servers fail.
type retryScript struct {
	name string
	// routers is the number of routers, or 0 to play several sizes.
	routers int
	// quiet is the time with sound servers before the script, lasts the time from its start.
	quiet, lasts time.Duration
	// perRouter is the rate of requests per router, failing the part of them that fail.
	perRouter, failing float64
	do                 func(f *retryFleet)
}

// retryScripts are the histories in which the bound on retries must hold. Each guards against a
// process, or a group of them, that uses more than its part.
var retryScripts = []retryScript{
	{name: "steady", quiet: 20 * time.Second, lasts: 25 * time.Second, perRouter: 4, failing: 0.6, do: func(*retryFleet) {}},
	{name: "restarts in turn", quiet: 20 * time.Second, lasts: 25 * time.Second, perRouter: 4, failing: 0.6, do: restartInTurn},
	{name: "killed at once, again and again", quiet: 20 * time.Second, lasts: 25 * time.Second, perRouter: 4, failing: 0.6, do: killAllRepeatedly},
	{name: "killed once after the first failures", quiet: 20 * time.Second, lasts: 20 * time.Second, perRouter: 8, failing: 0.8, do: func(f *retryFleet) {
		f.at(4*time.Second, func() { f.restartAll(500 * time.Millisecond) })
	}},
	{name: "few requests, killed at once", quiet: 20 * time.Second, lasts: 25 * time.Second, perRouter: 1, failing: 0.9, do: killAllRepeatedly},
	{name: "cut off from all loaders and restarted", quiet: 20 * time.Second, lasts: 30 * time.Second, perRouter: 4, failing: 0.6, do: isolateAndRestart},
	{name: "cut off from all loaders", quiet: 20 * time.Second, lasts: 30 * time.Second, perRouter: 4, failing: 0.6, do: func(f *retryFleet) {
		for _, name := range f.names {
			f.isolate(name, f.hosts)
		}
	}},
	{name: "contact is lost and comes back", quiet: 20 * time.Second, lasts: 30 * time.Second, perRouter: 2, failing: 0.9, do: func(f *retryFleet) {
		f.every(2*time.Second, 13, func(i int) {
			for j, name := range f.names {
				switch (i + j) % 5 {
				case 0:
					f.isolate(name, f.hosts)
				case 3:
					f.reconnect(name)
				case 4:
					f.restart(name, 300*time.Millisecond)
				}
			}
		})
	}},
	{name: "halves of the loaders out of reach", quiet: 20 * time.Second, lasts: 45 * time.Second, perRouter: 1, failing: 0.9, do: splitAndRestart},
	{name: "most routers leave", routers: 26, quiet: 20 * time.Second, lasts: 30 * time.Second, perRouter: 1, failing: 0.9, do: func(f *retryFleet) {
		f.at(3*time.Second, func() {
			for _, name := range f.names[4:] {
				f.kill(name)
			}
			f.perSecond = 8
		})
	}},
	{name: "routers join", routers: 4, quiet: 20 * time.Second, lasts: 45 * time.Second, perRouter: 2, failing: 0.9, do: func(f *retryFleet) {
		f.every(400*time.Millisecond, 22, func(i int) { f.addRouter(4 + i) })
	}},
	{name: "frozen and woken", quiet: 20 * time.Second, lasts: 25 * time.Second, perRouter: 4, failing: 0.6, do: func(f *retryFleet) {
		f.every(2*time.Second, 10, func(i int) {
			for j, name := range f.names {
				if j%3 == i%3 {
					f.freeze(name, 4*time.Second)
				}
			}
		})
	}},
	{name: "traffic jumps, falls, and all are killed", quiet: 20 * time.Second, lasts: 30 * time.Second, perRouter: 1, failing: 0.9, do: func(f *retryFleet) {
		usual := f.perSecond
		f.every(7*time.Second, 4, func(int) {
			f.perSecond = 20 * usual
			f.at(3*time.Second, func() { f.perSecond = usual / 4 })
			f.at(4*time.Second, func() { f.restartAll(300 * time.Millisecond) })
		})
	}},
	{name: "links delay", quiet: 20 * time.Second, lasts: 25 * time.Second, perRouter: 4, failing: 0.6, do: func(f *retryFleet) {
		f.every(3*time.Second, 8, func(i int) {
			for j, name := range f.names {
				f.slowLinks[name] = 0
				if j%2 == i%2 {
					f.slowLinks[name] = 480 * time.Millisecond
				}
			}
		})
	}},
	{name: "loaders restart", quiet: 20 * time.Second, lasts: 30 * time.Second, perRouter: 1, failing: 0.9, do: func(f *retryFleet) {
		f.every(time.Second, 25, func(i int) { f.restartLoader(f.hosts[i%len(f.hosts)]) })
		f.every(5*time.Second, 5, func(int) {
			for _, host := range f.hosts {
				f.restartLoader(host)
			}
		})
	}},
}

func (f *retryFleet) restartAll(after time.Duration) {
	for _, name := range f.names {
		f.restart(name, after)
	}
}

func restartInTurn(f *retryFleet) {
	interval := max(5*time.Millisecond, 5*time.Second/time.Duration(len(f.names)))
	f.every(interval, 4*len(f.names), func(i int) { f.restart(f.names[i%len(f.names)], 300*time.Millisecond) })
}

func killAllRepeatedly(f *retryFleet) {
	f.every(2500*time.Millisecond, 8, func(int) { f.restartAll(300 * time.Millisecond) })
}

func isolateAndRestart(f *retryFleet) {
	for _, name := range f.names {
		f.isolate(name, f.hosts)
	}
	f.every(6*time.Second, 4, func(int) { f.restartAll(300 * time.Millisecond) })
}

// splitAndRestart lets each half of the routers reach its own loaders only, and restarts all.
func splitAndRestart(f *retryFleet) {
	for i, name := range f.names {
		if i%2 == 0 {
			f.isolate(name, f.hosts[2:])
		} else {
			f.isolate(name, f.hosts[:2])
		}
	}
	f.at(2*time.Second, func() { f.restartAll(300 * time.Millisecond) })
}

// restartLoader replaces a loader by a new process, to which all routers that reach it connect.
func (f *retryFleet) restartLoader(host core.HostID) {
	f.loaders[host] = loaderside.New(loaderside.Options{Host: host})
	for _, name := range f.names {
		f.router(name, LoaderDown{Loader: host})
	}
}

func (s *retryScript) play(t *testing.T, routers int, seed uint64) *retryFleet {
	f := newRetryFleet(t, routers, seed)
	f.perSecond = s.perRouter * float64(routers)
	f.play(s.quiet)
	f.failing = s.failing
	s.do(f)
	f.play(s.lasts)
	return f
}

// Guards against retries that exceed the bound over all routers, in any window and by arrival at
// the service, whatever happens to the routers.
func TestRetriesKeepToTheBoundOverAllRouters(t *testing.T) {
	for _, script := range retryScripts {
		sizes := []int{4, 26}
		if script.routers > 0 {
			sizes = []int{script.routers}
		}
		for _, routers := range sizes {
			for seed := range *retrySeeds {
				t.Run(fmt.Sprintf("%s, %d routers, seed %d", script.name, routers, seed+1), func(t *testing.T) {
					t.Parallel()
					script.play(t, routers, seed+1).checkBound()
				})
			}
		}
	}
}

// Guards against parts of the budget that add up to more than the bound in a fleet of the largest
// size, which takes in reports of loaders in another way.
func TestRetriesKeepToTheBoundInTheLargestFleet(t *testing.T) {
	const routers = 470
	script := retryScript{quiet: 18 * time.Second, lasts: 14 * time.Second, perRouter: 1, failing: 0.9, do: func(f *retryFleet) {
		f.at(4*time.Second, func() { f.restartAll(300 * time.Millisecond) })
		f.at(8*time.Second, func() { restartInTurn(f) })
	}}
	script.play(t, routers, 1).checkBound()
}

// Guards against a bound that is kept by not retrying.
func TestSteadyFleetUsesMostOfTheRetryBudget(t *testing.T) {
	for _, routers := range []int{1, 4, 26} {
		t.Run(fmt.Sprint(routers), func(t *testing.T) {
			t.Parallel()
			f := newRetryFleet(t, routers, 1)
			f.perSecond, f.failing = 4*float64(routers), 0.8
			f.play(100 * time.Second)
			f.checkBound()
			if used := f.log.Used(f.now, 6); used < 0.75 {
				t.Errorf("%.2f of the bound is used in the last six windows", used)
			}
		})
	}
}

// BenchmarkUpdateRetryShare measures a router's update of its share with 470 loaders, which it
// makes 20 times a second.
func BenchmarkUpdateRetryShare(b *testing.B) {
	w := newFixture(b)
	const loaders = 470
	w.servers(engineService, loaders)
	for i := range loaders {
		w.reportHoldings(i, core.Holdings{Models: loadedModels("m1")})
	}
	for b.Loop() {
		w.router.out = w.router.out[:0]
		w.router.updateRetryShare()
	}
}
