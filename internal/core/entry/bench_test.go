package entry

import (
	"fmt"
	"testing"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/core/peers"
)

// Fleet size of the capacity target: see docs/CAPACITY.md.
const (
	benchModels   = 130
	benchAdapters = 42000
	benchSlots    = 6200
	benchAgents   = 470
)

// BenchmarkRoute measures a routing decision at full fleet size: a request arrives and
// its Start is sent, and the caller leaves so that the state does not grow.
func BenchmarkRoute(b *testing.B) {
	part := benchPart()
	model := func(i int) core.Target { return core.Target{Model: benchModel(i)} }
	adapter := func(i int) core.Target { return core.Target{Adapter: fmt.Sprint("ad", i*7919%benchAdapters)} }
	b.Run("model", func(b *testing.B) { benchRoute(b, part, model, "") })
	b.Run("adapter", func(b *testing.B) { benchRoute(b, part, adapter, "") })
	b.Run("keyed", func(b *testing.B) { benchRoute(b, part, model, "key") })
}

func benchRoute(b *testing.B, part *Part, target func(int) core.Target, key string) {
	targets := make([]core.Target, benchAdapters)
	for i := range targets {
		targets[i] = target(i)
	}
	starts := 0
	route := func(i int) {
		id := core.RequestID{byte(i), byte(i >> 8), byte(i >> 16), byte(i >> 24)}
		for _, effect := range part.Step(core.Time(i), core.RequestArrived{
			ID: id, ClientAccount: "c", Timeout: time.Minute, Target: targets[i%len(targets)], Key: key,
		}) {
			if send, ok := effect.(core.Send); ok {
				if _, ok := send.Message.(core.Start); ok {
					starts++
				}
			}
		}
		part.Step(core.Time(i), core.CallerGone{ID: id})
	}
	for i := range targets { // fills the cache of adapter orders
		route(i)
	}
	starts = 0
	b.ReportAllocs()
	for b.Loop() {
		route(starts)
	}
	if starts != b.N {
		b.Fatalf("%d starts for %d requests", starts, b.N)
	}
}

func benchModel(i int) string { return fmt.Sprint("m", i%benchModels) }

// benchPart returns a part with all agents connected and half the slots loaded.
func benchPart() *Part {
	part := New(Config{Host: "e", Zone: "z", Seed: 1}, peers.New(1))
	part.Step(0, core.ConfigInForce{Snapshot: benchSnapshot()})
	roster, table, statuses := benchFleet()
	part.Step(0, benchValue(core.KeyRosterPrefix+"z", roster))
	part.Step(0, benchValue(core.KeySlotsPrefix+"0", table))
	for i := range statuses {
		part.Step(0, core.PeerUp{Peer: roster.Entries[i].Host, Incarnation: 1})
		part.Step(0, core.Received{From: roster.Entries[i].Host, Message: statuses[i]})
	}
	return part
}

func benchValue(key string, value any) core.KVValue {
	return core.KVValue{Key: key, Value: must(core.EncodeValue(value)), Revision: 1}
}
