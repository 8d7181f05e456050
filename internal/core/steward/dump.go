package steward

import "nutmeglane.example/nutmeglane/internal/core"

// State is the part's state dump, which the operators' API and metrics read.
type State struct {
	InOffice   bool   `json:"inOffice"`
	Collecting bool   `json:"collecting"`
	Steward    string `json:"steward,omitempty"`
	KVUp       bool   `json:"kvUp"`
	// Agents holds the agents by host, from the rosters and the host list.
	Agents map[core.HostID]AgentState `json:"agents,omitempty"`
	Slots  []core.Slot                `json:"slots,omitempty"`
}

// AgentState is the dump of one agent.
type AgentState struct {
	Zone        core.Zone        `json:"zone"`
	Listed      bool             `json:"listed"`
	Up          bool             `json:"up"`
	Leaving     bool             `json:"leaving,omitempty"`
	Fenced      bool             `json:"fenced,omitempty"`
	Incarnation core.Incarnation `json:"incarnation,omitempty"`
	Sequence    uint64           `json:"sequence,omitempty"`
	Reported    uint64           `json:"reported,omitempty"`
	// Evictions are those of the fenced agent's models from its engine.
	Evictions []EvictionState `json:"evictions,omitempty"`
}

// Dump implements core.Part.
func (p *Part) Dump() any {
	state := State{
		InOffice:   p.election.held,
		Collecting: p.election.collecting,
		Steward:    string(p.election.record.Host),
		KVUp:       p.kvUp,
		Agents:     make(map[core.HostID]AgentState, len(p.hosts)),
	}
	for id, h := range p.hosts {
		state.Agents[id] = AgentState{
			Zone: h.zone, Listed: h.listed, Up: h.up, Leaving: h.leaving(), Fenced: h.entry.Fenced,
			Incarnation: h.entry.Incarnation, Sequence: h.entry.Sequence, Reported: h.report.Sequence,
			Evictions: p.evictionsOf(id),
		}
	}
	for _, c := range p.chunks {
		state.Slots = append(state.Slots, c.table.Slots...)
	}
	return state
}
