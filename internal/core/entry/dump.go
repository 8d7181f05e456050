package entry

import "nutmeglane.example/nutmeglane/internal/core"

// State is the part's state dump.
type State struct {
	ConfigRevision int64                      `json:"configRevision"`
	Revisions      map[string]int64           `json:"revisions"`
	Requests       int                        `json:"requests"`
	Waiting        int                        `json:"waiting"`
	BodyBytes      int64                      `json:"bodyBytes"`
	RetryTokens    float64                    `json:"retryTokens"`
	Stopping       bool                       `json:"stopping,omitempty"`
	Agents         map[core.HostID]AgentState `json:"agents"`
}

// AgentState is the dump of one agent.
type AgentState struct {
	Zone        core.Zone        `json:"zone"`
	Service     string           `json:"service,omitempty"`
	Incarnation core.Incarnation `json:"incarnation"`
	Up          bool             `json:"up"`
	Usable      bool             `json:"usable"`
	Slots       int              `json:"slots"`
	Requests    int              `json:"requests"`
	Running     int              `json:"running"`
	Queued      int              `json:"queued"`
}

// Dump implements core.Part.
func (p *Part) Dump() any {
	state := State{
		ConfigRevision: p.configRevision(),
		Revisions:      map[string]int64{},
		Requests:       len(p.requests),
		Waiting:        p.queue.requests,
		BodyBytes:      p.queue.bytes,
		RetryTokens:    p.retries.tokens,
		Stopping:       p.stop.stopping,
		Agents:         map[core.HostID]AgentState{},
	}
	for key, revision := range p.revisions {
		state.Revisions[key] = revision
	}
	for host, a := range p.agents {
		state.Agents[host] = AgentState{
			Zone: a.zone, Service: a.service, Incarnation: a.incarnation,
			Up: a.up, Usable: a.usable(), Slots: len(a.replicas),
			Requests: len(a.requests), Running: a.load.running, Queued: a.load.queued,
		}
	}
	return state
}
