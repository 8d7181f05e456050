package entry

import (
	"testing"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/core/peers"
)

// Guards against a restarted agent that never becomes ready: it has no configuration,
// since no entry connects. It came back at a new address, which the platform's list has.
// The first dial there fails on a busy machine; the entry part, which still uses the old
// address from the roster, then requests that one, and the manager keeps dialling it. The
// roster is only rewritten once the agent is connected.
func TestNewAddressIsDialledAfterFailedDial(t *testing.T) {
	manager := peers.New(1)
	p := New(Config{Host: "e1", Incarnation: 1}, manager)
	now := core.Time(time.Hour)
	dialled := ""
	step := func(event core.Event) {
		for _, effect := range append(manager.Step(now, event), p.Step(now, event)...) {
			if dial, ok := effect.(core.Dial); ok {
				dialled = dial.Address
			}
		}
	}
	list := func(address string) core.HostList {
		return core.HostList{Hosts: []core.Host{{ID: "a1", Address: address, Zone: "z", Role: core.RoleBackend}}}
	}
	roster := func(revision int64, leaving bool) core.KVValue {
		value, err := core.EncodeValue(core.Roster{Zone: "z", Entries: []core.RosterEntry{
			{Host: "a1", Incarnation: 1, Address: "old:1", Kind: core.BackendService, Service: "svc", Leaving: leaving},
		}})
		if err != nil {
			t.Fatal(err)
		}
		return core.KVValue{Key: core.KeyRosterPrefix + "z", Value: value, Revision: revision}
	}
	step(list("old:1"))
	step(roster(1, false))
	manager.Acquire(peers.Entry, "a1", "old:1")
	step(core.PeerUp{Peer: "a1", Incarnation: 1})
	step(core.PeerDown{Peer: "a1", Planned: true})
	step(list("new:1"))
	if dialled != "new:1" {
		t.Errorf("dialled %q after the list gave the new address", dialled)
	}
	step(core.PeerDown{Peer: "a1"})
	step(roster(2, true)) // written for another reason, still with the old address
	for range 100 {
		dialled = ""
		now = now.Add(time.Second)
		step(core.Tick{})
		if dialled == "old:1" {
			t.Fatalf("the old address is dialled after the new one failed once")
		}
		if dialled != "" {
			step(core.PeerDown{Peer: "a1"})
		}
	}
}
