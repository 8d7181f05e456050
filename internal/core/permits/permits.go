// Package permits shares the weight store's lanes among all agents. The entry that is
// the steward counts the loads that agents report, and grants permits for background
// reads (prefetches) only while lanes are free.
//
// A load that a caller waits for never waits for a permit: its request is only a
// notification, counted at once. So a missing steward, or two of them, can slow loads
// down but never block a cold start. An agent that reaches no steward does not prefetch.
package permits

import (
	"cmp"
	"slices"
	"time"

	"nutmeglane.example/nutmeglane/internal/api"
	"nutmeglane.example/nutmeglane/internal/core"
)

const (
	// GrantLifetime bounds a grant whose agent never sends PermitDone.
	GrantLifetime = 15 * time.Minute
	// reservedLanes is the number of lanes that background reads leave free, for the next
	// cold start.
	reservedLanes = 1
	// maxWaiting bounds the background requests that are queued; agents repeat their
	// requests, one at a time.
	maxWaiting = 4096
)

// Part is the sub-reducer. It implements core.Part.
type Part struct {
	now   core.Time
	lanes int
	rate  float64
	// active holds the end of the grant of each read in progress, by host and sequence.
	active map[id]core.Time
	// waiting holds the queued background requests, the next one first.
	waiting []request
	// nextStart is the earliest start of the next background read.
	nextStart core.Time
	arrivals  uint64
	out       []core.Effect
}

type id struct {
	host     core.HostID
	sequence uint64
}

type request struct {
	id       id
	deadline core.Time
	order    uint64
}

var _ core.Part = (*Part)(nil)

// New returns a part that uses the default limits until a configuration is in force.
func New() *Part {
	return &Part{
		lanes: api.DefaultStoreLanes, rate: api.DefaultStoreLoadsPerSecond,
		active: map[id]core.Time{},
	}
}

// Step implements core.Part.
func (p *Part) Step(now core.Time, event core.Event) []core.Effect {
	p.now, p.out = now, nil
	switch ev := event.(type) {
	case core.ConfigInForce:
		if d := ev.Snapshot.Deployment; d != nil {
			p.lanes, p.rate = d.StoreLanes, d.StoreLoadsPerSecond
		}
	case core.Received:
		p.receive(ev)
	case core.PeerDown:
		p.forget(ev.Peer)
	case core.PeerUp:
		// The agent's process or connection is new: it repeats its requests.
		p.forget(ev.Peer)
	case core.Tick:
		p.expire()
	default:
		return nil
	}
	p.grant()
	return p.out
}

func (p *Part) receive(ev core.Received) {
	switch m := ev.Message.(type) {
	case core.PermitRequest:
		p.ask(id{ev.From, m.Sequence}, m)
	case core.PermitDone:
		p.drop(id{ev.From, m.Sequence})
	}
}

func (p *Part) ask(key id, m core.PermitRequest) {
	if m.Priority == api.PriorityInteractive {
		p.active[key] = p.now.Add(GrantLifetime)
		return
	}
	if len(p.waiting) == maxWaiting {
		return
	}
	p.arrivals++
	r := request{id: key, deadline: p.now.Add(m.Remaining), order: p.arrivals}
	at, _ := slices.BinarySearchFunc(p.waiting, r, compare)
	p.waiting = slices.Insert(p.waiting, at, r)
}

func compare(a, b request) int {
	return cmp.Or(cmp.Compare(a.deadline, b.deadline), cmp.Compare(a.order, b.order))
}

func (p *Part) drop(key id) {
	delete(p.active, key)
	p.waiting = slices.DeleteFunc(p.waiting, func(r request) bool { return r.id == key })
}

func (p *Part) forget(host core.HostID) {
	for key := range p.active { // independent deletions: order has no effect
		if key.host == host {
			delete(p.active, key)
		}
	}
	p.waiting = slices.DeleteFunc(p.waiting, func(r request) bool { return r.id.host == host })
}

func (p *Part) expire() {
	for key, end := range p.active { // independent deletions: order has no effect
		if end <= p.now {
			delete(p.active, key)
		}
	}
}

// grant sends permits for background reads while lanes are free. A read whose deadline has
// passed would take a lane for nothing.
func (p *Part) grant() {
	expired := func(r request) bool { return r.deadline <= p.now }
	p.waiting = slices.DeleteFunc(p.waiting, expired)
	for len(p.waiting) > 0 && len(p.active) < max(1, p.lanes-reservedLanes) {
		next := p.waiting[0]
		p.waiting = p.waiting[1:]
		p.active[next.id] = p.now.Add(GrantLifetime)
		p.nextStart = max(p.nextStart, p.now)
		p.out = append(p.out, core.Send{To: next.id.host, Message: core.PermitGrant{
			Sequence: next.id.sequence, ValidFor: GrantLifetime, StartIn: p.nextStart.Sub(p.now),
		}})
		p.nextStart = p.nextStart.Add(time.Duration(float64(time.Second) / max(p.rate, 1)))
	}
}

// Next implements core.Part.
func (p *Part) Next() core.Time {
	next := core.Never
	for _, end := range p.active { // a minimum: order has no effect
		next = min(next, end)
	}
	return next
}

// State is the part's state dump.
type State struct {
	Lanes   int `json:"lanes"`
	Active  int `json:"active"`
	Waiting int `json:"waiting"`
}

// Dump implements core.Part.
func (p *Part) Dump() any {
	return State{Lanes: p.lanes, Active: len(p.active), Waiting: len(p.waiting)}
}
