package entry

import (
	"testing"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/core/peers"
)

// The steward has requested reports from an agent on a connection; the entry part learns
// of the agent later and sends its Hello on the same connection. Unless that Hello also
// requests reports, the agent stops reporting and loses its slots when its tenure ends.
func TestLateHelloStillRequestsReports(t *testing.T) {
	manager := peers.New(1)
	manager.SetCollecting(true)
	p := New(Config{Host: "e1", Incarnation: 1}, manager)
	p.Step(0, core.HostList{Hosts: []core.Host{{ID: "a1", Address: "a1:1", Zone: "z", Role: core.RoleBackend}}})
	for _, effect := range p.Step(1, core.PeerUp{Peer: "a1", Incarnation: 7}) {
		send, _ := effect.(core.Send)
		if hello, ok := send.Message.(core.Hello); ok && hello.Steward {
			return
		}
	}
	t.Error("no Hello that asks for reports")
}
