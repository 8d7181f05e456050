package config

import (
	"nutmeglane.example/nutmeglane/internal/core"
)

// peer is the state of a connected process.
type peer struct {
	// revision is the newest revision that the peer has announced.
	revision int64
}

// headRequest is a request for the full head that was sent to a peer.
type headRequest struct {
	waiting  bool
	host     core.HostID
	deadline core.Time
}

// maxChunksAtOnce limits the chunks that are requested at a time, so that a
// starting process does not delay other messages on a connection.
const maxChunksAtOnce = 8

func (p *Part) peerUp(host core.HostID) {
	p.peers[host] = &peer{}
	p.announce(host)
}

// offered returns the revision that this process offers to its peers: the newest
// one, once it is in force.
func (p *Part) offered() core.ConfigHead {
	if p.newest.Revision <= p.inForce {
		return p.newest
	}
	return core.ConfigHead{Revision: p.inForce}
}

func (p *Part) announce(host core.HostID) {
	p.emit(core.Send{To: host, Message: core.ConfigHead{Revision: p.offered().Revision}})
}

func (p *Part) received(from core.HostID, message core.Message) {
	if p.peers[from] == nil {
		return
	}
	switch m := message.(type) {
	case core.ConfigHead:
		p.headOffered(from, m)
	case core.ConfigWant:
		p.chunksRequested(from, m)
	case core.ConfigChunk:
		p.chunkReceived(from, m)
	}
}

func (p *Part) headOffered(from core.HostID, head core.ConfigHead) {
	p.peers[from].revision = head.Revision
	own := p.offered()
	switch {
	case head.Revision < own.Revision:
		// The peer is stale: it gets the newer head, and its own is ignored.
		p.sendHead(from)
	case head.Revision <= p.newest.Revision:
	case len(head.Chunks) == 0:
		p.requestHead(from)
	case !validHead(head):
		p.count(countBadChunks, sourcePeer)
	default:
		p.headRequest = headRequest{}
		p.startFetch(head, source{peer: from})
	}
}

// sendHead sends the full head if it is available.
func (p *Part) sendHead(to core.HostID) {
	if head := p.offered(); len(head.Chunks) > 0 {
		p.emit(core.Send{To: to, Message: head})
	}
}

// requestHead asks a peer that has a newer revision for its head, unless a
// request is already open.
func (p *Part) requestHead(host core.HostID) {
	if p.headRequest.waiting {
		return
	}
	p.headRequest = headRequest{waiting: true, host: host, deadline: p.now.Add(p.cfg.RetryInterval)}
	p.announce(host)
}

// retryHeadRequest asks another peer if one did not answer. If the first peer is
// paused or its connection is dead, this process would otherwise stay on an old
// revision.
func (p *Part) retryHeadRequest() {
	if !p.headRequest.waiting || p.now < p.headRequest.deadline {
		return
	}
	last := p.headRequest.host
	p.headRequest = headRequest{}
	if p.fetch != nil {
		return
	}
	if hosts := p.peersWith(p.newest.Revision + 1); len(hosts) > 0 {
		p.requestHead(nextHost(hosts, last))
	}
}

// peersWith returns the peers that have the revision or a newer one, sorted.
func (p *Part) peersWith(revision int64) []core.HostID {
	var hosts []core.HostID
	for _, host := range core.SortedKeys(p.peers) {
		if p.peers[host].revision >= revision {
			hosts = append(hosts, host)
		}
	}
	return hosts
}

// nextHost returns the element that follows last in a sorted list, cyclically.
func nextHost(hosts []core.HostID, last core.HostID) core.HostID {
	for _, host := range hosts {
		if host > last {
			return host
		}
	}
	return hosts[0]
}

// chunksRequested sends the requested chunks that are available. If some are not
// because this process has a newer revision, it sends the full head, from which
// the peer learns what to request instead.
func (p *Part) chunksRequested(from core.HostID, want core.ConfigWant) {
	missing := false
	for _, hash := range want.Chunks[:min(len(want.Chunks), maxChunksAtOnce)] {
		chunk, ok := p.chunks[hash]
		if !ok {
			missing = true
			continue
		}
		p.emit(core.Send{To: from, Message: core.ConfigChunk{Hash: hash, Data: pack(chunk)}})
	}
	if missing {
		p.sendHead(from)
	}
}

func (p *Part) chunkReceived(from core.HostID, chunk core.ConfigChunk) {
	if p.fetch == nil || p.fetch.source.kv || !p.fetch.outstanding[chunk.Hash] {
		return
	}
	p.storeChunk(chunk.Hash, chunk.Data, sourcePeer)
}
