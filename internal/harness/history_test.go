package harness_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"nutmeglane.example/nutmeglane/internal/api"
	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/harness"
)

// CI runs the same bounded number of histories each time. A longer search:
//
//	go test ./internal/harness -run TestHistories -rapid.checks=20000 -rapid.seed=$RANDOM
const (
	ciChecks = "15"
	ciSeed   = "20261202"
)

func TestMain(m *testing.M) {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range map[string]string{
		"rapid.checks": ciChecks, "rapid.seed": ciSeed, "rapid.nofailfile": "true",
	} {
		if !given[name] {
			if err := flag.Set(name, value); err != nil {
				panic(err)
			}
		}
	}
	os.Exit(m.Run())
}

// Bounds of the drawn faults. Tenure plus TenureMargin is 80 s.
const (
	// longestPause is the maximum pause of an agent, and restartGap the maximum
	// time from the end of a process to the start of the next one on its host.
	// The engine may hold any checkpoints meanwhile.
	longestPause = 150 * time.Second
	restartGap   = 120 * time.Second
	// longestFault is the time after which every fault has ended and every
	// leaving host has been removed.
	longestFault = 260 * time.Second
	// faultPause is the minimum time between two absences of the process of one
	// host, in which the process can act.
	faultPause = 30 * time.Second
)

// history is a random sequence of faults and requests.
type history struct {
	*fleet
	rt       *rapid.T
	engines  int
	entries  int
	quietAt  map[core.HostID]core.Time
	outcomes []*harness.Outcome
	cuts     [][2]core.HostID
	version  int
}

// Guards against invariant violations in random histories, in which any fault can
// occur at any time, also repeatedly or together with others. The Checker must
// find no violation after any step, and after the faults every decided slot must
// have a live owner within ownerBound and serve requests.
func TestHistories(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		h := newHistory(rt)
		rt.Repeat(h.actions())
		h.recover()
	})
}

func newHistory(rt *rapid.T) *history {
	return &history{
		fleet: newFleet(rt, rapid.Uint64Range(1, 1<<20).Draw(rt, "seed"), shortTimings()),
		rt:    rt, engines: 4, entries: 2, quietAt: map[core.HostID]core.Time{},
	}
}

func (h *history) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"":                  func(*rapid.T) { h.checkViolations() },
		"pass":              func(*rapid.T) { h.RunFor(h.duration("time", 20*time.Second)) },
		"pass briefly":      func(*rapid.T) { h.RunFor(h.duration("time", 20*time.Millisecond)) },
		"request":           func(*rapid.T) { h.request() },
		"burst":             func(*rapid.T) { h.burstOfRequests() },
		"abandon":           func(*rapid.T) { h.abandon() },
		"pause agent":       func(*rapid.T) { h.pauseAgent() },
		"pause at order":    func(*rapid.T) { h.pauseAtOrder() },
		"pause entry":       func(*rapid.T) { h.entry().Pause(h.duration("pause", 40*time.Second)) },
		"pause steward":     func(*rapid.T) { h.pauseSteward() },
		"kill agent":        func(*rapid.T) { h.killAgent() },
		"kill entry":        func(*rapid.T) { h.killEntry() },
		"reclaim host":      func(*rapid.T) { h.reclaim(h.engine().Host.ID) },
		"add host":          func(*rapid.T) { h.add() },
		"stop agent":        func(*rapid.T) { h.stop() },
		"host leaves":       func(*rapid.T) { h.leaveHost() },
		"kv outage":         func(*rapid.T) { h.outage() },
		"kv cut":            func(*rapid.T) { h.cutKV() },
		"lose kv answers":   func(*rapid.T) { h.KV.LoseAnswers(h.pick("answers", 5) + 1) },
		"cut":               func(*rapid.T) { h.cut() },
		"isolate":           func(*rapid.T) { h.isolate() },
		"silence":           func(*rapid.T) { h.Silence(h.entry().Host.ID, h.engine().Host.ID) },
		"clock":             func(*rapid.T) { h.clock() },
		"failing load":      func(*rapid.T) { h.engine().Engine.FailLoads(1) },
		"lost order answer": func(*rapid.T) { h.engine().Engine.LoseAnswers(h.pick("answers", 2) + 1) },
		"configure":         func(*rapid.T) { h.configure() },
	}
}

func (h *history) checkViolations() {
	if v := h.Checker.Violations; len(v) > 0 {
		h.rt.Fatalf("%s", v[0])
	}
}

// recover ends all faults and checks that the fleet recovers.
func (h *history) recover() {
	h.KV.SetDown(false)
	h.KV.LoseAnswers(0)
	for i := range h.entries {
		h.KV.CutOff(entryID(i), false)
	}
	for _, c := range h.cuts {
		h.Cut(c[0], c[1], false)
	}
	for _, p := range h.live() {
		p.PauseAtOrder(0)
		p.Engine.FailLoads(0)
		p.Engine.LoseAnswers(0)
	}
	h.RunFor(longestFault)
	h.checkViolations()
	for len(h.live()) < 4 {
		h.addEngine(h.engines)
		h.engines++
	}
	h.RunFor(ownerBound(h.timings))
	h.checkViolations()
	h.allOwned()
	for _, name := range []string{"m0", "m1", "m2", "m3", "m5"} {
		h.expectServed(modelTarget(name))
	}
	h.expectServed(serviceTarget)
	h.finish()
}

func entryID(i int) core.HostID  { return core.HostID(fmt.Sprintf("e%d", i)) }
func engineID(i int) core.HostID { return core.HostID(fmt.Sprintf("h%d", i)) }

func (h *history) pick(label string, n int) int { return rapid.IntRange(0, n-1).Draw(h.rt, label) }

func (h *history) duration(label string, most time.Duration) time.Duration {
	return time.Duration(rapid.Int64Range(0, int64(most)/1e3).Draw(h.rt, label)) * time.Microsecond
}

func (h *history) entry() *harness.Process { return h.processes[entryID(h.pick("entry", h.entries))] }

// live lists the agent processes that are alive on engine hosts.
func (h *history) live() []*harness.Process {
	var all []*harness.Process
	for i := range h.engines {
		if p := h.processes[engineID(i)]; p.Alive() {
			all = append(all, p)
		}
	}
	return all
}

func (h *history) engine() *harness.Process {
	all := h.live()
	if len(all) == 0 {
		h.rt.Skip("no engine host runs")
	}
	return all[h.pick("host", len(all))]
}

// drawFaultableHost draws an engine host whose process may be paused or killed
// now.
func (h *history) drawFaultableHost() *harness.Process {
	p := h.engine()
	if h.Now() < h.quietAt[p.Host.ID] || p.Paused() {
		h.rt.Skip("the host had a fault just now")
	}
	h.quietAt[p.Host.ID] = h.Now().Add(faultPause)
	return p
}

func (h *history) pauseAgent() {
	p := h.drawFaultableHost()
	d := h.duration("pause", longestPause)
	h.quietAt[p.Host.ID] = h.Now().Add(d + faultPause)
	p.Pause(d)
}

func (h *history) pauseAtOrder() {
	p := h.engine()
	if h.Now() < h.quietAt[p.Host.ID] {
		h.rt.Skip("the host had a fault just now")
	}
	h.quietAt[p.Host.ID] = h.Now().Add(200 * time.Second)
	p.PauseAtOrder(h.duration("pause", 100*time.Second))
}

func (h *history) pauseSteward() {
	if p := h.currentSteward(); p != nil {
		p.Pause(h.duration("pause", 100*time.Second))
	}
}

func (h *history) killAgent() {
	p := h.drawFaultableHost()
	p.Kill()
	h.After(h.duration("gap", restartGap), func() {
		h.revive(p.Host.ID)
	})
}

func (h *history) killEntry() {
	p := h.entry()
	if !p.Alive() {
		h.rt.Skip("dead")
	}
	p.Kill()
	h.After(h.duration("gap", 30*time.Second), func() { h.revive(p.Host.ID) })
}

func (h *history) add() {
	if h.engines >= 12 {
		h.rt.Skip("enough hosts")
	}
	h.addEngine(h.engines)
	h.engines++
}

func (h *history) leaveHost() {
	if p := h.engine(); !h.leaving[p.Host.ID] {
		h.leave(p.Host.ID)
	}
}

// stop stops a process gracefully; the platform starts the next one.
func (h *history) stop() { h.engine().Stop(h.duration("limit", time.Minute)) }

func (h *history) outage() {
	h.KV.SetDown(true)
	h.After(h.duration("outage", 100*time.Second), func() { h.KV.SetDown(false) })
}

func (h *history) cutKV() {
	e := h.entry().Host.ID
	h.KV.CutOff(e, true)
	h.After(h.duration("cut", 100*time.Second), func() { h.KV.CutOff(e, false) })
}

func (h *history) cut() {
	h.cutFor(h.entry().Host.ID, h.engine().Host.ID, h.duration("cut", 150*time.Second))
}

// isolate separates a host from every entry.
func (h *history) isolate() {
	host, d := h.engine().Host.ID, h.duration("cut", 150*time.Second)
	for i := range h.entries {
		h.cutFor(entryID(i), host, d)
	}
}

func (h *history) cutFor(a, b core.HostID, d time.Duration) {
	h.cuts = append(h.cuts, [2]core.HostID{a, b})
	h.Cut(a, b, true)
	h.After(d, func() { h.Cut(a, b, false) })
}

func (h *history) clock() {
	ppm := rapid.IntRange(-200, 200).Draw(h.rt, "ppm")
	h.engine().SetClock(1 + float64(ppm)*1e-6)
}

var targets = []core.Target{
	modelTarget("m0"), modelTarget("m1"), modelTarget("m2"), modelTarget("m3"), modelTarget("m4"),
	modelTarget("m5"), adapterTarget("a0"), adapterTarget("a1"), adapterTarget("a2"), serviceTarget,
}

func (h *history) draw() (core.RequestArrived, uint64) {
	target := h.pick("target", len(targets))
	tokens := uint64(h.pick("tokens", 120))
	r := core.RequestArrived{
		ClientAccount: "c", Target: targets[target], Timeout: time.Second + h.duration("timeout", time.Minute),
		Idempotent: h.pick("idempotent", 2) == 0,
		Priority:   []api.Priority{"", api.PriorityBatch}[h.pick("batch", 2)],
		Method:     "POST", Path: "/x",
	}
	if h.pick("keyed", 4) == 0 {
		tokens = 10
		r.Key = fmt.Sprintf("%d-%d", target, h.pick("key", 3))
	}
	return r, tokens
}

func (h *history) request() {
	r, tokens := h.draw()
	h.outcomes = append(h.outcomes, h.Request(h.entry().Host.ID, r, tokens))
}

func (h *history) burstOfRequests() {
	r, tokens := h.draw()
	for range 4 {
		for i := range h.entries {
			h.outcomes = append(h.outcomes, h.Request(entryID(i), r, tokens))
		}
	}
}

func (h *history) abandon() {
	if len(h.outcomes) == 0 {
		h.rt.Skip("no request yet")
	}
	h.Abandon(h.outcomes[h.pick("request", len(h.outcomes))])
}

// configure changes a version or a limit. The limit of a base with adapters does
// not change here; see TestBaseLimitChangeMovesAdapters.
func (h *history) configure() {
	h.version++
	version := fmt.Sprintf("v%d", 1+h.version%3)
	limits := api.ReplicaLimits{Max: 1 + h.pick("max", 3)}
	switch h.pick("change", 4) {
	case 0:
		h.declare(model("m3", version, 12<<10, limits))
	case 1:
		limits.Min = min(limits.Max, 1)
		h.declare(model("m4", "v1", 4<<10, limits))
	case 2:
		h.declare(adapter("a1", "m0", "v1", limits))
	case 3:
		h.declare(model("m0", version, 8<<10, api.ReplicaLimits{Max: 3}))
	}
}
