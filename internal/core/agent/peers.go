package agent

import (
	"slices"

	"nutmeglane.example/nutmeglane/internal/core"
)

// peer is a connected entry.
type peer struct {
	host core.HostID
	// greeted is set by Hello; nothing but answers is sent before.
	greeted bool
	steward bool
	// used is set once the entry sent work on this connection, or asked for some.
	used bool
	// parted is set by the entry's answer to Leaving: it sends no new work, and has the
	// end of all that it sent.
	parted  bool
	viewers []*viewer
}

// peerUp handles a new connection, also one that replaces a silent one.
func (p *Part) peerUp(ev core.PeerUp) {
	if old := p.peers[ev.Peer]; old != nil {
		p.connectionLost(old)
		p.noteLost(ev.Peer)
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
		p.noteLost(ev.Peer)
	}
	delete(p.peers, ev.Peer)
	at, _ := slices.BinarySearch(p.peerOrder, ev.Peer)
	p.peerOrder = slices.Delete(p.peerOrder, at, at+1)
}

// hello answers an entry's Hello with Welcome and the present Status.
func (p *Part) hello(from core.HostID, m core.Hello) {
	peer := p.peers[from]
	if peer == nil {
		return
	}
	peer.greeted, peer.steward = true, m.Steward
	p.send(from, core.Welcome{
		Host: p.cfg.Host, Incarnation: p.cfg.Incarnation, Zone: p.cfg.Zone,
		Kind: p.cfg.Kind, Service: p.cfg.Service, Leaving: p.leaving,
		ConfigRevision: p.revision(),
	})
	p.send(from, p.buildStatus())
	if p.leaving && !peer.parted {
		p.send(from, p.leavingNotice())
	}
	if m.Steward {
		p.reportNow = true
	}
}

// send sends to a connected peer; the wire drops the rest anyway.
func (p *Part) send(to core.HostID, m core.Message) {
	if p.peers[to] != nil {
		p.emit(core.Send{To: to, Message: m})
	}
}

// sendTo sends to an attempt's entry unless its connection was lost.
func (p *Part) sendTo(v *viewer, m core.Message) {
	if v.attached {
		p.emit(core.Send{To: v.entry, Message: m})
	}
}

func (p *Part) broadcast(m core.Message) {
	for _, host := range p.peerOrder {
		if p.peers[host].greeted {
			p.emit(core.Send{To: host, Message: m})
		}
	}
}
