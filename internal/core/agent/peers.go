package agent

import (
	"slices"

	"nutmeglane.example/nutmeglane/internal/core"
)

// peer is a connected entry.
type peer struct {
	host core.HostID
	// helloReceived is set by Hello; until then the entry receives only answers
	// to its own messages.
	helloReceived bool
	steward       bool
	// used is set once the entry sent a Start or a Resume on this connection.
	used bool
	// leaveAcked is set by the answer of the entry to Leaving: it sends no new
	// work, and has received the end of all that it sent.
	leaveAcked  bool
	subscribers []*subscriber
}

// peerUp processes a new connection, including one that replaces a connection
// whose loss was not reported.
func (p *Part) peerUp(ev core.PeerUp) {
	if old := p.peers[ev.Peer]; old != nil {
		p.connectionLost(old)
		p.recordLostEntry(ev.Peer)
	} else {
		at, _ := slices.BinarySearch(p.peerOrder, ev.Peer)
		p.peerOrder = slices.Insert(p.peerOrder, at, ev.Peer)
	}
	p.peers[ev.Peer] = &peer{host: ev.Peer}
}

func (p *Part) peerDown(ev core.PeerDown) {
	old := p.peers[ev.Peer]
	if old == nil {
		return
	}
	p.connectionLost(old)
	if !ev.Planned {
		p.recordLostEntry(ev.Peer)
	}
	delete(p.peers, ev.Peer)
	at, _ := slices.BinarySearch(p.peerOrder, ev.Peer)
	p.peerOrder = slices.Delete(p.peerOrder, at, at+1)
}

// hello answers the Hello of an entry with Welcome and the current Status.
func (p *Part) hello(from core.HostID, m core.Hello) {
	peer := p.peers[from]
	if peer == nil {
		return
	}
	peer.helloReceived, peer.steward = true, m.Steward
	p.send(from, core.Welcome{
		Host: p.cfg.Host, Incarnation: p.cfg.Incarnation, Zone: p.cfg.Zone,
		Kind: p.cfg.Kind, Service: p.cfg.Service, Leaving: p.leaving,
		ConfigRevision: p.revision(),
	})
	p.send(from, p.buildStatus())
	if p.leaving && !peer.leaveAcked {
		p.send(from, p.leavingNotice())
	}
	if m.Steward {
		p.reportNow = true
	}
}

// send sends a message to a peer if it is connected. Messages to other peers
// would be dropped by the transport.
func (p *Part) send(to core.HostID, m core.Message) {
	if p.peers[to] != nil {
		p.emit(core.Send{To: to, Message: m})
	}
}

// sendTo sends a message to the entry of an attempt unless the connection was
// lost.
func (p *Part) sendTo(sub *subscriber, m core.Message) {
	if sub.attached {
		p.emit(core.Send{To: sub.entry, Message: m})
	}
}

func (p *Part) broadcast(m core.Message) {
	for _, host := range p.peerOrder {
		if p.peers[host].helloReceived {
			p.emit(core.Send{To: host, Message: m})
		}
	}
}
