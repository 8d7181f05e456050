package entry

import (
	"slices"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/core/peers"
)

// load is the entry's estimate of the queue at a slot or host: the owner's last report,
// updated with what this entry has sent since.
type load struct {
	running int
	queued  int
	// sent counts Starts without an Accepted or Rejected yet. Messages of a connection
	// are ordered, so a Status covers every Start accepted before it and none counted
	// here.
	sent int
	// readyAt is when the owner predicted that a request would start.
	readyAt core.Time
	// newAccountReadyAt is the predicted start of a request from a client account that
	// has none waiting there.
	newAccountReadyAt core.Time
}

func (l *load) total() int { return l.running + l.queued + l.sent }

func (l *load) accept(startsIn time.Duration) {
	l.sent = max(0, l.sent-1)
	if startsIn > 0 {
		l.queued++
	} else {
		l.running++
	}
}

func (l *load) release(accepted bool) {
	switch {
	case !accepted:
		l.sent = max(0, l.sent-1)
	case l.running > 0:
		l.running--
	default:
		l.queued = max(0, l.queued-1)
	}
}

// agent is the entry's view of the agent process next to one backend server.
type agent struct {
	// The fields up to leaveAckPending are read for each replica in each routing
	// decision; they come first to share a cache line.
	address string
	// incarnation is that of the last connection, or the one in the roster while there is
	// none.
	incarnation       core.Incarnation
	rosterIncarnation core.Incarnation
	up                bool
	// dialFailed is set when a dial failed and none has succeeded since.
	dialFailed    bool
	rostered      bool
	rosterFenced  bool
	rosterLeaving bool
	listed        bool
	listLeaving   bool
	delisted      bool
	// announcedLeaving is set when the agent itself announced that it is leaving,
	// leaveAckPending while it waits for an answer to that.
	announcedLeaving, leaveAckPending bool

	// listAddress and rosterAddress are the last addresses in the platform's list and in
	// the roster. The one that changed last is the address.
	listAddress, rosterAddress string

	zone    core.Zone
	host    core.HostID
	kind    core.BackendKind
	service string

	// backoffUntil is when an agent of a plain service takes requests again after its
	// rejection with BackingOff; 0 if there was none.
	backoffUntil core.Time

	load           load
	replicas       []*replica
	lastStatus     *core.Status
	prefixes       map[uint64]struct{}
	requests       []*request
	pendingCancels []core.AttemptID
}

// usable reports whether the agent may get new work.
func (a *agent) usable() bool {
	if a.address == "" || a.delisted || a.dialFailed || a.listLeaving || a.announcedLeaving {
		return false
	}
	if a.rostered && a.rosterIncarnation == a.incarnation && (a.rosterFenced || a.rosterLeaving) {
		return false
	}
	return a.rostered || a.up
}

// setAddress sets the agent's address and, if the entry has requested a connection,
// requests one to the new address: at once, or as soon as the old connection is down.
//
// It guards against an agent that comes back at a new address: the manager keeps dialling
// the old address, the agent counts as failed, no request is routed to it, and so nothing
// requests a connection to the new address. The other replicas then carry its load
// permanently.
func (p *Part) setAddress(a *agent, address string) {
	if a.address != address {
		a.address, a.dialFailed = address, false
		p.refreshConnection(a)
	}
}

// setListAddress applies the address from the platform's list.
//
// It guards against a roster that is older than the list: an agent restarted at a new
// address, the first dial there failed, and the old address from the roster was dialled
// indefinitely. The roster is only rewritten once the agent is connected, so the agent
// got no configuration and never became ready.
func (p *Part) setListAddress(a *agent, address string) {
	if a.listAddress != address {
		a.listAddress = address
		p.setAddress(a, address)
	}
}

// setRosterAddress applies the address from a roster. The first roster read is ignored
// where the platform's list has been read, since it may be older.
func (p *Part) setRosterAddress(a *agent, address string) {
	before := a.rosterAddress
	a.rosterAddress = address
	if address != before && (before != "" || a.listAddress == "") {
		p.setAddress(a, address)
	}
}

func (p *Part) refreshConnection(a *agent) {
	if p.peers.AcquiredBy(peers.Entry, a.host) {
		p.connect(a)
	}
}

func (p *Part) agent(host core.HostID) *agent {
	a := p.agents[host]
	if a == nil {
		a = &agent{host: host}
		p.agents[host] = a
	}
	return a
}

// connect requests a connection; the manager redials by itself. The connection is shared
// with the steward part: one that was up before the entry learned of the agent causes no
// further PeerUp.
func (p *Part) connect(a *agent) {
	if a.up || a.address == "" || a.delisted {
		return
	}
	if p.peers.Up(a.host) {
		p.peerUp(core.PeerUp{Peer: a.host, Incarnation: p.peers.Incarnation(a.host)})
		return
	}
	p.effects = append(p.effects, p.peers.Acquire(peers.Entry, a.host, a.address)...)
}

func (p *Part) welcome(a *agent, m core.Welcome) {
	a.zone, a.announcedLeaving = m.Zone, a.announcedLeaving || m.Leaving
}

// status applies an agent's report on all its slots; a slot that is absent is unloaded.
func (p *Part) status(a *agent, m core.Status) {
	if a.lastStatus != nil && m.Sequence <= a.lastStatus.Sequence {
		return
	}
	a.lastStatus = &m
	a.announcedLeaving = a.announcedLeaving || m.Leaving
	a.load.running, a.load.queued = m.Running, m.Queued
	a.prefixes = make(map[uint64]struct{}, len(m.Prefixes))
	for _, prefix := range m.Prefixes {
		a.prefixes[prefix] = struct{}{}
	}
	for _, replica := range a.replicas {
		replica.reset()
	}
	for i := range m.Slots {
		if replica := p.replica(m.Slots[i].Slot); replica != nil && replica.agent == a {
			replica.update(p.now, &m.Slots[i])
		}
	}
}

// acknowledgeLeaving answers a leaving agent once this entry has no open request there:
// no new work is on its way, and none of the agent's earlier answers is missing.
//
// It guards against an agent that exits while its last messages are lost with a
// connection that has just broken: the outcome of its last calls could then not be
// learned.
func (p *Part) acknowledgeLeaving(a *agent) {
	if a.leaveAckPending && a.up && len(a.requests) == 0 {
		a.leaveAckPending = false
		p.send(a, core.Leaving{Host: p.config.Host})
	}
}

// attach assigns the request to the agent.
func (a *agent) attach(r *request) {
	r.agent, r.agentIndex = a, len(a.requests)
	a.requests = append(a.requests, r)
}

// detach undoes attach in constant time, by moving the last request into its position.
func (r *request) detach() {
	a := r.agent
	if a == nil {
		return
	}
	last := len(a.requests) - 1
	a.requests[r.agentIndex] = a.requests[last]
	a.requests[r.agentIndex].agentIndex = r.agentIndex
	a.requests[last] = nil
	a.requests = a.requests[:last]
	r.agent, r.replica = nil, nil
}

// maxPendingCancels bounds the cancels kept for an agent that is disconnected. An agent
// drops by itself an attempt that no entry resumes; a cancel only saves work.
const maxPendingCancels = 1024

func (a *agent) queueCancel(attempt core.AttemptID) {
	if len(a.pendingCancels) == maxPendingCancels {
		a.pendingCancels = slices.Delete(a.pendingCancels, 0, 1)
	}
	a.pendingCancels = append(a.pendingCancels, attempt)
}
