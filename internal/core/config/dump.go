package config

import "nutmeglane.example/nutmeglane/internal/core"

// Dump is the part's state dump, which the operators' API and metrics read.
type Dump struct {
	// Assembled is the newest revision assembled, InForce the one in use.
	Assembled int64 `json:"assembled"`
	InForce   int64 `json:"inForce"`
	// Fetching is the revision being fetched, from Source; 0 if none.
	Fetching int64  `json:"fetching,omitempty"`
	Source   string `json:"source,omitempty"`
	// Peers holds the newest revision that each peer has announced.
	Peers   map[core.HostID]int64 `json:"peers,omitempty"`
	Applies []ApplyState          `json:"applies,omitempty"`
}

// ApplyState is the dump of an operator's change in progress.
type ApplyState struct {
	ID    uint64 `json:"id"`
	Phase string `json:"phase"`
	Redos int    `json:"redos,omitempty"`
}

// Dump implements core.Part.
func (p *Part) Dump() any {
	dump := Dump{Assembled: p.newest.Revision, InForce: p.inForce, Peers: map[core.HostID]int64{}}
	if p.fetch != nil {
		dump.Fetching = p.fetch.head.Revision
		dump.Source = p.fetch.source.label() + string(p.fetch.source.peer)
	}
	for host, peer := range p.peers {
		dump.Peers[host] = peer.revision
	}
	for _, j := range p.jobs {
		dump.Applies = append(dump.Applies, ApplyState{ID: j.request.ID, Phase: string(j.phase), Redos: j.planAttempts})
	}
	return dump
}
