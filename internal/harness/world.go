// Package harness runs the reducers of a few processes in virtual time on
// small in-memory fakes of their dependencies: connections, the KV service,
// the weight store, engines and callers. The failure tests and the policy
// measurements use it. A run is a function of its seed, so every failure is
// reproducible. The package does not depend on how the processes decide; its
// Checker only evaluates what the fakes observed.
package harness

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"nutmeglane.example/nutmeglane/internal/api"
	"nutmeglane.example/nutmeglane/internal/core"
)

// Stepper is a reducer as built by package machine.
type Stepper interface {
	Step(now core.Time, event core.Event) []core.Effect
	Dump() map[string]any
}

// Latencies of the fakes, one way unless said otherwise.
const (
	sameZoneDelay  = 500 * time.Microsecond
	crossZoneDelay = 1500 * time.Microsecond
	kvDelay        = 3 * time.Millisecond // answer to a KV call
	kvTimeout      = time.Second          // until an unreachable KV call fails
	watchDelay     = 5 * time.Millisecond
	dialTimeout    = 2 * time.Second
	// silenceTimeout is the time after which both ends close a connection on
	// which nothing arrives.
	silenceTimeout = 15 * time.Second
	// configSpread is the maximum time from the acceptance of a configuration
	// until it is in force at a process.
	configSpread = time.Second
	// hostListLag is the delay of the platform's host list.
	hostListLag = 10 * time.Second
)

// World is a set of processes and fakes on one virtual clock.
type World struct {
	now       core.Time
	pending   schedule
	sequence  uint64
	rand      *rand.Rand
	processes map[core.HostID]*Process
	// order lists the hosts of processes in the order of their first start.
	order []core.HostID
	hosts map[core.HostID]core.Host
	// published is the host list last delivered to the processes.
	published core.HostList
	snapshot  *api.Snapshot
	links     map[linkKey]*link
	cuts      map[linkKey]bool
	KV        *KV
	Store     *Store
	Checker   *Checker
}

// New returns an empty world.
func New(seed uint64) *World {
	w := &World{
		rand:      rand.New(rand.NewPCG(seed, 1)),
		processes: map[core.HostID]*Process{},
		hosts:     map[core.HostID]core.Host{},
		links:     map[linkKey]*link{},
		cuts:      map[linkKey]bool{},
		Checker:   newChecker(),
	}
	w.KV = newKV(w)
	w.Store = &Store{world: w, Lanes: 4, MiBPerSecond: 2000}
	return w
}

// Now returns the virtual time.
func (w *World) Now() core.Time { return w.now }

// Rand returns the world's seeded random generator, used to draw faults and
// arrivals.
func (w *World) Rand() *rand.Rand { return w.rand }

// After runs f once d has passed.
func (w *World) After(d time.Duration, f func()) { w.at(w.now.Add(max(0, d)), f) }

func (w *World) at(t core.Time, f func()) {
	w.sequence++
	heap.Push(&w.pending, action{at: t, sequence: w.sequence, run: f})
}

// RunFor advances the virtual time by d and runs all actions due until then.
func (w *World) RunFor(d time.Duration) {
	end := w.now.Add(d)
	for len(w.pending) > 0 && w.pending[0].at <= end {
		w.runNext()
	}
	w.now = end
}

// RunUntil advances the virtual time until the condition holds, but by at most
// d. It reports whether the condition holds.
func (w *World) RunUntil(d time.Duration, condition func() bool) bool {
	end := w.now.Add(d)
	for !condition() {
		if len(w.pending) == 0 || w.pending[0].at > end {
			w.now = end
			return condition()
		}
		w.runNext()
	}
	return true
}

func (w *World) runNext() {
	a := heap.Pop(&w.pending).(action)
	w.now = max(w.now, a.at)
	a.run()
	w.Checker.check(w)
}

// SetConfig puts a configuration in force at every running process within
// configSpread, and at every process that starts later.
func (w *World) SetConfig(snapshot *api.Snapshot) {
	w.snapshot = snapshot
	w.Checker.configAccepted(snapshot)
	for _, host := range w.order {
		p := w.processes[host]
		w.After(time.Duration(w.rand.Int64N(int64(configSpread))), func() { p.configure(snapshot) })
	}
}

// publishHosts sends the current host list to every process after hostListLag.
// Hosts present at time 0 are sent without delay.
func (w *World) publishHosts() {
	list := core.HostList{}
	for _, id := range core.SortedKeys(w.hosts) {
		list.Hosts = append(list.Hosts, w.hosts[id])
	}
	if w.now == 0 {
		w.deliverHosts(list)
		return
	}
	w.After(hostListLag, func() { w.deliverHosts(list) })
}

func (w *World) deliverHosts(list core.HostList) {
	w.published = list
	for _, host := range w.order {
		w.processes[host].post(list)
	}
}

// action is a function scheduled for a time. Actions with equal times run in
// the order in which they were scheduled.
type action struct {
	at       core.Time
	sequence uint64
	run      func()
}

type schedule []action

func (s schedule) Len() int { return len(s) }
func (s schedule) Less(i, j int) bool {
	if s[i].at != s[j].at {
		return s[i].at < s[j].at
	}
	return s[i].sequence < s[j].sequence
}
func (s schedule) Swap(i, j int) { s[i], s[j] = s[j], s[i] }
func (s *schedule) Push(x any)   { *s = append(*s, x.(action)) }
func (s *schedule) Pop() any {
	old := *s
	last := old[len(old)-1]
	*s = old[:len(old)-1]
	return last
}
