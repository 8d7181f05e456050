// Package observe is the sub-reducer of an entry that keeps each agent's last report for
// operators: resource status and the status page are computed from it. It makes no
// decisions and has no effects.
package observe

import "nutmeglane.example/nutmeglane/internal/core"

// Agent is the last report of one connected agent.
type Agent struct {
	// Kind and Service are empty until the agent has sent Welcome.
	Kind    core.BackendKind `json:"kind,omitempty"`
	Service string           `json:"service,omitempty"`
	Leaving bool             `json:"leaving,omitempty"`
	FreeMiB int64            `json:"freeMiB"`
	// Slots are those that the agent owns by its own report.
	Slots []core.SlotLoad `json:"slots,omitempty"`

	sequence uint64
}

// State is the part's state dump: the connected agents.
type State map[core.HostID]Agent

// Part implements core.Part.
type Part struct{ agents State }

// New returns the part.
func New() *Part { return &Part{agents: State{}} }

// Step implements core.Part.
func (p *Part) Step(_ core.Time, event core.Event) []core.Effect {
	switch ev := event.(type) {
	case core.PeerUp:
		p.agents[ev.Peer] = Agent{}
	case core.PeerDown:
		delete(p.agents, ev.Peer)
	case core.Received:
		p.received(ev)
	}
	return nil
}

func (p *Part) received(ev core.Received) {
	agent, up := p.agents[ev.From]
	if !up {
		return
	}
	switch m := ev.Message.(type) {
	case core.Welcome:
		agent.Kind, agent.Service, agent.Leaving = m.Kind, m.Service, m.Leaving
	case core.Leaving:
		agent.Leaving = true
	case core.Status:
		if m.Sequence <= agent.sequence {
			return
		}
		agent.sequence, agent.Slots, agent.FreeMiB = m.Sequence, m.Slots, m.FreeMiB
		agent.Leaving = agent.Leaving || m.Leaving
	}
	p.agents[ev.From] = agent
}

// Next implements core.Part.
func (p *Part) Next() core.Time { return core.Never }

// Dump implements core.Part. Slots are replaced whole and never modified in place, so the
// copy may share them.
func (p *Part) Dump() any {
	dump := make(State, len(p.agents))
	for host, agent := range p.agents {
		dump[host] = agent
	}
	return dump
}
