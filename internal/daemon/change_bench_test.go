package daemon_test

import (
	"fmt"
	"net/netip"
	"testing"

	"nutmeglane.example/nutmeglane/internal/api"
	"nutmeglane.example/nutmeglane/internal/bench/fleet"
	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/core/machine"
	"nutmeglane.example/nutmeglane/internal/daemon"
	"nutmeglane.example/nutmeglane/internal/operator"
	"nutmeglane.example/nutmeglane/internal/settings"
)

// benchPeerID is the peer on the connection between the writer and the measured agent.
const benchPeerID = "peer"

// benchDaemon is the reducer of a role, with the code that puts its configurations in
// force.
type benchDaemon struct {
	b       *testing.B
	machine *machine.Machine
	applier benchConfigApplier
	kv      map[string]core.KVValue
	sent    []core.Message
	done    *core.ApplyDone
}

func newBenchDaemon(b *testing.B, role settings.Role, kv map[string]core.KVValue) *benchDaemon {
	m, err := daemon.Blueprint{
		Role: role, Host: "h", Zone: "z", Incarnation: 1, Kind: core.BackendEngine,
		Timings: core.DefaultTimings(), Address: netip.MustParseAddrPort("10.0.0.1:1").String(),
	}.Build()
	if err != nil {
		b.Fatal(err)
	}
	d := &benchDaemon{b: b, machine: m, kv: kv}
	if role == settings.RoleEntry {
		d.applier.operator = operator.New(operator.Options{History: 64}, func(core.Event) {})
	}
	d.step(core.PeerUp{Peer: benchPeerID, Incarnation: 2})
	return d
}

// step passes an event to the reducer, executes its effects on the process and the KV
// service, and continues with the events that they cause.
func (d *benchDaemon) step(event core.Event) {
	for events := []core.Event{event}; len(events) > 0; events = events[1:] {
		for _, effect := range d.machine.Step(1, events[0]) {
			switch e := effect.(type) {
			case core.KVGet:
				v := d.kv[e.Key]
				events = append(events, core.KVResult{Tag: e.Tag, Key: e.Key, Value: v.Value, Revision: v.Revision})
			case core.KVCas:
				events = append(events, d.cas(e))
			case core.ConfigApplied:
				events = append(events, d.applier.apply(d.b, e))
			case core.ApplyDone:
				d.done = &e
			case core.Send:
				d.sent = append(d.sent, e.Message)
			}
		}
	}
}

func (d *benchDaemon) cas(e core.KVCas) core.KVResult {
	v := d.kv[e.Key]
	if v.Revision != e.Revision {
		return core.KVResult{Tag: e.Tag, Code: code.KVConflict, Key: e.Key, Value: v.Value, Revision: v.Revision}
	}
	d.kv[e.Key] = core.KVValue{Key: e.Key, Value: e.Value, Revision: v.Revision + 1}
	return core.KVResult{Tag: e.Tag, Key: e.Key, Value: e.Value, Revision: v.Revision + 1}
}

func (d *benchDaemon) declare(resources ...api.Resource) {
	document, err := api.EncodeDocument(resources)
	if err != nil {
		d.b.Fatal(err)
	}
	d.done = nil
	d.step(core.ApplyRequested{ID: 1, Resources: document})
	if d.done == nil || d.done.Code != code.OK {
		d.b.Fatalf("apply: %+v", d.done)
	}
}

// fetchFromPeer makes the daemon fetch the newest revision from a peer, whose own work
// is not included.
func (d *benchDaemon) fetchFromPeer() {
	d.sent = nil
	d.step(core.Received{From: benchPeerID, Message: d.head()})
	for len(d.sent) > 0 {
		want, _ := d.sent[0].(core.ConfigWant)
		d.sent = d.sent[1:]
		for _, hash := range want.Chunks {
			chunk := core.ConfigChunk{Hash: hash, Data: d.kv[core.KeyChunkPrefix+hash].Value}
			d.step(core.Received{From: benchPeerID, Message: chunk})
		}
	}
}

func (d *benchDaemon) head() core.ConfigHead {
	var record core.ConfigRecord
	if err := core.DecodeValue(d.kv[core.KeyConfigHead].Value, &record); err != nil {
		d.b.Fatal(err)
	}
	return record.Head
}

// BenchmarkConfigChange measures the change of one adapter, from the first event to the
// new configuration in force: at the entry that receives the call ("taker"), at another
// entry and at an agent.
func BenchmarkConfigChange(b *testing.B) {
	for _, adapters := range []int{1000, 10_000, 42_000} {
		resources := fleet.Declare(fleet.Declaration{Models: 130, Replicas: 48, Adapters: adapters})
		for _, where := range []string{"taker", "entry", "agent"} {
			b.Run(fmt.Sprintf("%s/%d", where, adapters), func(b *testing.B) { benchChange(b, where, resources) })
		}
	}
}

func benchChange(b *testing.B, where string, resources []api.Resource) {
	kv := map[string]core.KVValue{}
	writer := newBenchDaemon(b, settings.RoleEntry, kv)
	writer.declare(resources...)
	entry, agent := newBenchDaemon(b, settings.RoleEntry, kv), newBenchDaemon(b, settings.RoleAgent, kv)
	steps := map[string]func(i int){
		"taker": func(i int) { writer.declare(fleet.Adapter(i%900, i%130, int64(2+i))) },
		"entry": func(int) { entry.step(kv[core.KeyConfigHead]) },
		"agent": func(int) { agent.fetchFromPeer() },
	}
	entry.step(kv[core.KeyConfigHead])
	agent.fetchFromPeer()
	b.ReportAllocs()
	b.ResetTimer()
	b.StopTimer()
	for i := range b.N {
		for _, name := range []string{"taker", "entry", "agent"} {
			if name == where {
				b.StartTimer()
			}
			steps[name](i)
			b.StopTimer()
		}
	}
	if got, want := agent.applier.revision, writer.head().Revision; got != want {
		b.Fatalf("agent has revision %d in force, wanted %d", got, want)
	}
}
