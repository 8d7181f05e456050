package permits

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"nutmeglane.example/nutmeglane/internal/api"
	"nutmeglane.example/nutmeglane/internal/core"
)

// fixture steps a part and records the hosts that were granted permits.
type fixture struct {
	part    *Part
	now     core.Time
	granted []core.HostID
}

func newFixture() *fixture { return &fixture{part: New()} }

func (f *fixture) step(event core.Event) {
	for _, effect := range f.part.Step(f.now, event) {
		f.granted = append(f.granted, effect.(core.Send).To)
	}
}

func (f *fixture) ask(host core.HostID, priority api.Priority, remaining time.Duration) {
	f.step(core.Received{From: host, Message: core.PermitRequest{Sequence: 1, Priority: priority, Remaining: remaining}})
}

func (f *fixture) done(host core.HostID) {
	f.step(core.Received{From: host, Message: core.PermitDone{Sequence: 1}})
}

func (f *fixture) expect(t *testing.T, hosts ...core.HostID) {
	t.Helper()
	if diff := cmp.Diff(hosts, f.granted); diff != "" {
		t.Error(diff)
	}
	f.granted = nil
}

// Three cold starts read from the store when agents request prefetches. If the prefetches
// were granted at once, all would share four lanes and the callers would wait longer.
// They start one by one as the cold starts end, the earliest deadline first.
func TestPrefetchWaitsForColdStarts(t *testing.T) {
	f := newFixture()
	for _, host := range []core.HostID{"a", "b", "c"} {
		f.ask(host, api.PriorityInteractive, 0)
	}
	f.ask("late", api.PriorityBatch, time.Hour)
	f.ask("soon", api.PriorityBatch, time.Minute)
	f.expect(t)
	f.done("a")
	f.expect(t, "soon")
	f.done("b")
	f.expect(t, "late")
}

// An agent fails in the middle of a read and never sends PermitDone. Its lane must become
// free, when its connection ends or at the latest after GrantLifetime, or prefetching
// stops permanently.
func TestDeadAgentFreesItsLane(t *testing.T) {
	f := newFixture()
	for _, host := range []core.HostID{"a", "b", "c", "d"} {
		f.ask(host, api.PriorityBatch, time.Hour)
	}
	f.expect(t, "a", "b", "c")
	f.step(core.PeerDown{Peer: "a"})
	f.expect(t, "d")
	f.ask("e", api.PriorityBatch, time.Hour)
	f.expect(t)
	f.now = f.part.Next()
	f.step(core.Tick{})
	f.expect(t, "e")
}

// Guards against a permit for a background read whose deadline passed while it was queued: it
// would take the place of one that is still wanted.
func TestExpiredRequestGetsNoPermit(t *testing.T) {
	f := newFixture()
	for _, host := range []core.HostID{"a", "b", "c"} {
		f.ask(host, api.PriorityInteractive, 0)
	}
	f.ask("expired", api.PriorityBatch, time.Second)
	f.ask("wanted", api.PriorityBatch, time.Minute)
	f.now = f.now.Add(time.Second)
	f.done("a")
	f.expect(t, "wanted")
	if waiting := f.part.Dump().(State).Waiting; waiting != 0 {
		t.Errorf("%d requests are queued", waiting)
	}
}
