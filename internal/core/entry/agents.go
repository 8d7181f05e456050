package entry

import (
	"slices"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/core/peers"
)

// load is what the entry knows of the queue at a slot or host: the owner's
// last word, brought forward by what this entry sent since.
type load struct {
	running int
	queued  int
	// sent counts Starts without an Accepted or Rejected yet. Messages of a
	// connection are in order, so a Status covers every Start that was
	// accepted before it and none that is counted here.
	sent int
	// readyAt is when the owner predicted that a request would start.
	readyAt core.Time
	// firstAt is the same for a client account that has no request waiting there.
	firstAt core.Time
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

// agent is one process beside a backend server, as far as the entry knows it.
type agent struct {
	// The fields up to noticed are read for each place of each routing
	// decision; they come first to share a cache line.
	address string
	// incarnation is that of the last connection, or the roster's while
	// there is none.
	incarnation       core.Incarnation
	rosterIncarnation core.Incarnation
	up                bool
	// failed is set when a dial failed and none succeeded since.
	failed        bool
	rostered      bool
	rosterFenced  bool
	rosterLeaving bool
	listed        bool
	listLeaving   bool
	gone          bool
	// noticed is set by the agent's own word that it is leaving, partAsked while it waits
	// for an answer to that.
	noticed, partAsked bool

	// listAddress and rosterAddress are what the platform's list and the roster
	// said last. The one that changed last is the address.
	listAddress, rosterAddress string

	zone    core.Zone
	host    core.HostID
	kind    core.BackendKind
	service string

	load     load
	places   []*place
	lastWord *core.Status
	prefixes map[uint64]struct{}
	requests []*request
	orphans  []core.AttemptID
}

// usable tells whether the agent may get new work.
func (a *agent) usable() bool {
	if a.address == "" || a.gone || a.failed || a.listLeaving || a.noticed {
		return false
	}
	if a.rostered && a.rosterIncarnation == a.incarnation && (a.rosterFenced || a.rosterLeaving) {
		return false
	}
	return a.rostered || a.up
}

// moveTo takes the agent's address.
//
// It guards against an agent that comes back at a new address: the manager
// dials the old one on and on, the agent counts as failed, no request is routed
// to it, and so nobody asks for a connection to the new address. The other
// replicas then carry its load for good. Whoever wanted the old address asks
// for the new one at once, or as soon as the old connection is down.
func (p *Part) moveTo(a *agent, address string) {
	if a.address != address {
		a.address, a.failed = address, false
		p.follow(a)
	}
}

// listedAt takes the address that the platform's list tells.
//
// It guards against a roster that is older than the list: an agent started again
// at a new address, the first dial there failed, and the roster's old one was
// dialled for good. The roster is written anew only once the agent is connected,
// so that the agent stayed without a configuration, not ready.
func (p *Part) listedAt(a *agent, address string) {
	if a.listAddress != address {
		a.listAddress = address
		p.moveTo(a, address)
	}
}

// rosteredAt takes the address that a roster tells. The first one that is read
// says nothing new where the list has been read.
func (p *Part) rosteredAt(a *agent, address string) {
	before := a.rosterAddress
	a.rosterAddress = address
	if address != before && (before != "" || a.listAddress == "") {
		p.moveTo(a, address)
	}
}

func (p *Part) follow(a *agent) {
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

// connect asks for a connection; the manager redials by itself. It is shared with the steward's part: a
// connection that stood before the entry knew the agent sends no PeerUp again.
func (p *Part) connect(a *agent) {
	if a.up || a.address == "" || a.gone {
		return
	}
	if p.peers.Up(a.host) {
		p.peerUp(core.PeerUp{Peer: a.host, Incarnation: p.peers.Incarnation(a.host)})
		return
	}
	p.effects = append(p.effects, p.peers.Acquire(peers.Entry, a.host, a.address)...)
}

func (p *Part) welcome(a *agent, m core.Welcome) {
	a.zone, a.noticed = m.Zone, a.noticed || m.Leaving
}

// status takes an agent's word on all its slots; a slot absent is unloaded.
func (p *Part) status(a *agent, m core.Status) {
	if a.lastWord != nil && m.Sequence <= a.lastWord.Sequence {
		return
	}
	a.lastWord = &m
	a.noticed = a.noticed || m.Leaving
	a.load.running, a.load.queued = m.Running, m.Queued
	a.prefixes = make(map[uint64]struct{}, len(m.Prefixes))
	for _, prefix := range m.Prefixes {
		a.prefixes[prefix] = struct{}{}
	}
	for _, place := range a.places {
		place.forget()
	}
	for i := range m.Slots {
		if place := p.place(m.Slots[i].Slot); place != nil && place.agent == a {
			place.learn(p.now, &m.Slots[i])
		}
	}
}

// partIfDone answers a leaving agent once nothing of this entry's is open there: no new
// work is on its way, and nothing of what it said last is missing.
//
// It guards against an agent that exits while its last words are lost with a connection
// that has just broken: nobody could tell then what became of its last calls.
func (p *Part) partIfDone(a *agent) {
	if a.partAsked && a.up && len(a.requests) == 0 {
		a.partAsked = false
		p.send(a, core.Leaving{Host: p.config.Host})
	}
}

// attach makes the agent the one that the request waits for.
func (a *agent) attach(r *request) {
	r.agent, r.agentIndex = a, len(a.requests)
	a.requests = append(a.requests, r)
}

// detach undoes attach in constant time, by moving the last request up.
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
	r.agent, r.place = nil, nil
}

// maxOrphans bounds the cancels kept for an agent that is cut off. An agent
// drops an attempt that nobody resumes by itself; a cancel only saves work.
const maxOrphans = 1024

func (a *agent) orphan(attempt core.AttemptID) {
	if len(a.orphans) == maxOrphans {
		a.orphans = slices.Delete(a.orphans, 0, 1)
	}
	a.orphans = append(a.orphans, attempt)
}
