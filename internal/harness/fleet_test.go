package harness_test

import (
	"fmt"
	"testing"
	"time"

	"nutmeglane.example/nutmeglane/internal/api"
	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/daemon"
	"nutmeglane.example/nutmeglane/internal/harness"
	"nutmeglane.example/nutmeglane/internal/settings"
)

// shortTimings returns timings with a tenure of one minute.
func shortTimings() core.Timings {
	t := core.DefaultTimings()
	t.Tenure, t.TenureMargin, t.UnloadLead = 60*time.Second, 20*time.Second, 20*time.Second
	t.ReportInterval, t.RosterInterval = 2*time.Second, 2*time.Second
	t.StewardLease, t.Grace = 6*time.Second, 8*time.Second
	return t
}

const engineMiB = 24 << 10

// fleet is a World with the processes and resources of a deployment.
type fleet struct {
	*harness.World
	t         fataler
	timings   core.Timings
	revision  int64
	resources map[api.Key]api.Resource
	processes map[core.HostID]*harness.Process
	hosts     map[core.HostID]core.Host
	leaving   map[core.HostID]bool
}

// fataler is implemented by testing.T and rapid.T.
type fataler interface {
	Helper()
	Fatalf(format string, args ...any)
	Logf(format string, args ...any)
}

// newFleet starts two entries, four engine hosts in two availability zones
// (the engines of h1 and h3 check fencing numbers) and a service host, and
// runs for 30 s, in which every slot gets an owner.
func newFleet(t fataler, seed uint64, timings core.Timings) *fleet {
	f := emptyFleet(t, seed, timings)
	for i := range 2 {
		f.startEntry(i)
	}
	for i := range 4 {
		f.addEngine(i)
	}
	f.startAgent(f.host("s0", 0, core.RoleBackend), f.NewEngine(0, false))
	f.declare(models()...)
	f.RunFor(30 * time.Second)
	return f
}

func emptyFleet(t fataler, seed uint64, timings core.Timings) *fleet {
	return &fleet{
		World: harness.New(seed), t: t, timings: timings,
		resources: map[api.Key]api.Resource{},
		processes: map[core.HostID]*harness.Process{}, hosts: map[core.HostID]core.Host{},
		leaving: map[core.HostID]bool{},
	}
}

func (f *fleet) host(id core.HostID, zone int, role core.HostRole) core.Host {
	h := core.Host{
		ID: id, Address: string(id) + ":1", Zone: core.Zone(fmt.Sprintf("z%d", zone)),
		Role: role, State: core.HostLive,
	}
	f.hosts[id] = h
	return h
}

func (f *fleet) startEntry(i int) {
	f.start(f.host(core.HostID(fmt.Sprintf("e%d", i)), i%2, core.RoleEntry), nil)
}

func (f *fleet) addEngine(i int) {
	f.startAgent(f.host(core.HostID(fmt.Sprintf("h%d", i)), i%2, core.RoleBackend), f.NewEngine(engineMiB, i%2 == 1))
}

func (f *fleet) startAgent(h core.Host, engine *harness.Engine) { f.start(h, engine) }

// restart starts a new process on a host.
func (f *fleet) restart(id core.HostID) { f.start(f.hosts[id], nil) }

func (f *fleet) start(h core.Host, engine *harness.Engine) {
	f.processes[h.ID] = f.Start(h, engine, func(incarnation core.Incarnation) harness.Stepper {
		b := daemon.Blueprint{
			Role: settings.RoleAgent, Host: h.ID, Incarnation: incarnation, Zone: h.Zone,
			Seed: uint64(incarnation), Address: h.Address, Kind: core.BackendEngine, Timings: f.timings,
			Backend: harness.EngineURL(h.ID),
			Limits:  daemon.Limits{QueueLength: 256, QueueBytes: 1 << 20, StreamWindow: 4},
		}
		if h.Role == core.RoleEntry {
			b.Role = settings.RoleEntry
		}
		if h.ID[0] == 's' {
			b.Kind, b.Service = core.BackendService, "records"
		}
		m, err := b.Build()
		if err != nil {
			panic(err)
		}
		return m
	})
	f.processes[h.ID].OnExit = func() {
		if f.leaving[h.ID] {
			f.After(5*time.Second, func() { f.reclaim(h.ID) })
			return
		}
		f.After(time.Second, func() { f.revive(h.ID) })
	}
}

// revive restarts a process that has ended if its host still exists, as the
// platform does.
func (f *fleet) revive(id core.HostID) {
	if _, here := f.hosts[id]; here && !f.processes[id].Alive() {
		f.restart(id)
	}
}

// reclaim removes a host without notice.
func (f *fleet) reclaim(id core.HostID) {
	if _, here := f.hosts[id]; here {
		delete(f.hosts, id)
		f.processes[id].Reclaim()
	}
}

// leave marks a host as leaving. The platform removes it 5 s after its process
// has exited, at the latest after 140 s.
func (f *fleet) leave(id core.HostID) {
	f.leaving[id] = true
	h := f.hosts[id]
	h.State = core.HostLeaving
	f.hosts[id] = h
	f.processes[id].MarkLeaving()
	f.After(140*time.Second, func() { f.reclaim(id) })
}

func resource(kind api.Kind, name string, spec any) api.Resource {
	return api.Resource{APIVersion: api.Version, Kind: kind, Metadata: api.Metadata{Name: name}, Spec: spec}
}

func model(name, version string, miB int64, limits api.ReplicaLimits) api.Resource {
	return resource(api.KindModel, name, &api.ModelSpec{
		Version: version, MemoryMiB: miB, CheckpointMiB: miB, Replicas: limits,
		Priority: api.PriorityInteractive, MaxConcurrent: 8,
	})
}

func adapter(name, base, version string, limits api.ReplicaLimits) api.Resource {
	return resource(api.KindAdapter, name, &api.AdapterSpec{
		Base: base, Version: version, MemoryMiB: 256, Replicas: limits,
	})
}

// models returns six models and three adapters, which do not all fit into the
// fleet's memory, a service and a client account.
func models() []api.Resource {
	one, two := api.ReplicaLimits{Max: 1}, api.ReplicaLimits{Max: 2}
	return []api.Resource{
		model("m0", "v1", 8<<10, api.ReplicaLimits{Max: 3}), model("m1", "v1", 8<<10, two),
		model("m2", "v1", 12<<10, one), model("m3", "v1", 12<<10, two),
		model("m4", "v1", 4<<10, api.ReplicaLimits{Min: 1, Max: 1}), model("m5", "v1", 16<<10, one),
		adapter("a0", "m0", "v1", one), adapter("a1", "m0", "v1", two), adapter("a2", "m1", "v1", two),
		resource(api.KindService, "records", &api.ServiceSpec{MaxConcurrent: 16}),
		resource(api.KindClientAccount, "c", &api.ClientAccountSpec{APIKeySHA256: []string{fmt.Sprintf("%064x", 1)}, Weight: 1}),
	}
}

// declare adds or replaces resources and puts the result in force.
func (f *fleet) declare(resources ...api.Resource) {
	f.t.Helper()
	for _, r := range resources {
		f.resources[r.Key()] = r
	}
	f.apply()
}

func (f *fleet) apply() {
	f.t.Helper()
	f.revision++
	var all []api.Resource
	for _, r := range f.resources {
		all = append(all, r)
	}
	snapshot, err := api.Build(f.revision, all)
	if err != nil {
		f.t.Fatalf("declaration: %v", err)
	}
	f.SetConfig(snapshot)
}

func modelTarget(name string) core.Target { return core.Target{Model: name} }

func adapterTarget(name string) core.Target {
	return core.Target{Adapter: name, Model: map[string]string{"a0": "m0", "a1": "m0", "a2": "m1"}[name]}
}

var serviceTarget = core.Target{Service: "records"}

// call sends an idempotent request with a timeout of one minute.
func (f *fleet) call(entry core.HostID, target core.Target, tokens uint64) *harness.Outcome {
	return f.Request(entry, core.RequestArrived{
		ClientAccount: "c", Target: target, Timeout: time.Minute, Idempotent: true,
	}, tokens)
}

// burst sends n requests to each entry.
func (f *fleet) burst(target core.Target, n int) []*harness.Outcome {
	var all []*harness.Outcome
	for range n {
		for _, e := range []core.HostID{"e0", "e1"} {
			all = append(all, f.call(e, target, 20))
		}
	}
	return all
}

func (f *fleet) expectAnswered(outcomes ...*harness.Outcome) {
	f.t.Helper()
	for _, o := range outcomes {
		if o.Ended == 0 || o.Code != code.OK || o.Tokens != o.Want {
			f.t.Fatalf("%v: code %v, %d of %d tokens, ended %v", o.Target, o.Code, o.Tokens, o.Want, o.Ended != 0)
		}
	}
}

func (f *fleet) slots() []core.Slot {
	var all []core.Slot
	for i := range core.SlotChunks {
		var table core.SlotTable
		if value := f.KV.Value(fmt.Sprint(core.KeySlotsPrefix, i)); value != nil {
			if err := core.DecodeValue(value, &table); err != nil {
				f.t.Fatalf("slot table: %v", err)
			}
		}
		all = append(all, table.Slots...)
	}
	return all
}

func (f *fleet) slot(model string, index uint16) core.Slot {
	f.t.Helper()
	for _, s := range f.slots() {
		if s.ID == (core.SlotID{Model: model, Index: index}) {
			return s
		}
	}
	return core.Slot{}
}

// owner returns the process that owns a slot.
func (f *fleet) owner(model string, index uint16) *harness.Process {
	f.t.Helper()
	p := f.processes[f.slot(model, index).Owner]
	if p == nil {
		f.t.Fatalf("%s/%d has no owner", model, index)
	}
	return p
}

// currentSteward returns the entry recorded as steward in the KV service, or nil
// if there is none.
func (f *fleet) currentSteward() *harness.Process {
	var record core.StewardRecord
	if core.DecodeValue(f.KV.Value(core.KeySteward), &record) != nil {
		return nil
	}
	return f.processes[record.Host]
}

// steward returns the entry recorded as steward and fails if there is none.
func (f *fleet) steward() *harness.Process {
	f.t.Helper()
	p := f.currentSteward()
	if p == nil {
		f.t.Fatalf("no steward")
	}
	return p
}

// finish waits until all requests have ended and fails on any violation; it logs
// the first ten.
func (f *fleet) finish() {
	f.t.Helper()
	f.RunFor(70 * time.Second)
	f.Finish()
	for i, v := range f.Checker.Violations {
		if i == 10 {
			break
		}
		f.t.Logf("%s", v)
	}
	if n := len(f.Checker.Violations); n > 0 {
		f.t.Fatalf("%d violations", n)
	}
}

// Guards against several loads for a burst of requests for an idle model that
// arrive at both entries at once. Without single-flight, each entry or request
// would start its own load: the store would be read several times and memory of
// several hosts used.
func TestColdBurstIsOneLoad(t *testing.T) {
	f := newFleet(t, 1, core.DefaultTimings())
	for _, name := range []string{"m0", "m1", "m2", "m3", "m5"} {
		before := f.Checker.Loads
		all := f.burst(modelTarget(name), 10)
		f.RunFor(30 * time.Second)
		f.expectAnswered(all...)
		if loads := f.Checker.Loads - before; loads != 1 {
			t.Errorf("%d loads for a burst on %s, want 1", loads, name)
		}
	}
	for _, name := range []string{"a0", "a1", "a2"} {
		before := f.Checker.LoadsByKey[name+"@v1"]
		all := f.burst(adapterTarget(name), 10)
		f.RunFor(30 * time.Second)
		f.expectAnswered(all...)
		if loads := f.Checker.LoadsByKey[name+"@v1"] - before; loads != 1 {
			t.Errorf("%d loads for a burst on %s, want 1", loads, name)
		}
	}
	all := f.burst(serviceTarget, 10)
	f.RunFor(10 * time.Second)
	f.expectAnswered(all...)
	f.finish()
}

// decidedSlots returns the number of slots of the declared models.
func (f *fleet) decidedSlots() int {
	n := 0
	for _, r := range f.resources {
		if spec, ok := r.Spec.(*api.ModelSpec); ok {
			n += spec.Replicas.Max
		}
	}
	return n
}
