package steward

import (
	"testing"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/core/peers"
)

// An agent must not lose its slots although it is alive and reachable. If the entry
// part already holds the connection when the steward starts to collect reports, no
// PeerUp follows: without a Hello the agent does not report, and its tenure ends.
// The same applies to a host that is missing from the platform's list once.
func TestConnectionHeldByEntryPart(t *testing.T) {
	manager := peers.New(1)
	manager.Acquire(peers.Entry, "a1", "a1:1")
	manager.Step(0, core.PeerUp{Peer: "a1", Incarnation: 7})
	p := New(Config{Host: "e1", Incarnation: 1, Timings: testTimings()}, manager)
	p.startCollecting(0)
	listed := core.HostList{Hosts: []core.Host{{ID: "a1", Address: "a1:1", Zone: "z", Role: core.RoleBackend}}}
	for i, list := range []core.HostList{listed, {}, listed} {
		effects := p.Step(core.Time(i+1), list)
		if len(list.Hosts) == 0 {
			continue
		}
		asked := false
		for _, effect := range effects {
			send, ok := effect.(core.Send)
			hello, greets := send.Message.(core.Hello)
			asked = asked || ok && greets && hello.Steward
		}
		if h := p.hosts["a1"]; !asked || !h.up || h.incarnation != 7 {
			t.Fatalf("list %d: not asked for reports (%v), host %+v", i, asked, h)
		}
	}
	if !manager.Collecting() {
		t.Error("a later Hello of the entry part would end the reports")
	}
}
