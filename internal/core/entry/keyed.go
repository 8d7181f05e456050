package entry

import (
	"strconv"

	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
)

// The same idempotency key may arrive at two entries at once, or again at another one
// after the first entry failed. Entries don't coordinate requests among themselves; the
// key runs once because all of them send it to the same agent, which remembers it. The
// owner of a key is therefore the candidate with the highest rendezvous hash score among
// a stable set: the slot indexes that the configuration declares (for an adapter, those
// that the slot table allows it), or the agents in the rosters, usable at the moment or
// not. Were the owner chosen among the usable ones, two entries that learn of an agent's
// failure at different times would choose two agents and the call would run twice. If the
// owner isn't usable, a call that is not idempotent is refused: nothing was sent, so "not
// run" is true, and the caller may retry.
//
// Limits: an agent's record of keys ends with its process. A retry reaches an agent
// without that record if the slot moved, if the slots that may hold the adapter changed,
// if the first agent's roster entry was dropped, or if a new agent with a higher score
// for the key was added. OutcomeUnknown informs a caller that its call may have
// run.

func scopedKey(r *request) string { return r.arrived.ClientAccount + "\x00" + r.arrived.Key }

// chooseKeyOwner returns the replica that owns the request's key. It leaves the decision
// open (false) only for an idempotent request whose owner is not usable or too late.
func (p *Part) chooseKeyOwner(r *request, t *target) (choice, bool) {
	var owner *replica
	var best uint64
	key := scopedKey(r)
	for i := range t.size() {
		score := core.Score(key, strconv.Itoa(t.index(i)))
		if i == 0 || score > best {
			best, owner = score, t.replica(i)
		}
	}
	if !owner.usable() || r.isTried(owner.agent.host) {
		return r.refused(code.NoBackend, 0), !r.arrived.Idempotent
	}
	wait := owner.wait(p.now, t)
	if owner.warm() && wait > r.deadline.Sub(p.now) {
		return r.refused(code.DeadlineUnmet, wait), !r.arrived.Idempotent
	}
	c := choice{candidate: candidate{owner.agent, owner, wait}}
	c.cold = !owner.warm()
	return c, true
}

// serviceKeyOwner is chooseKeyOwner for plain services.
func (p *Part) serviceKeyOwner(r *request, agents []*agent) (choice, bool) {
	var owner *agent
	var best uint64
	key := scopedKey(r)
	for _, a := range agents {
		if score := core.Score(key, string(a.host)); owner == nil || score > best {
			best, owner = score, a
		}
	}
	if owner == nil || !owner.usable() || r.isTried(owner.host) {
		return r.refused(code.NoBackend, 0), !r.arrived.Idempotent
	}
	if left := owner.backoffUntil.Sub(p.now); left > 0 {
		return r.refused(code.BackingOff, left), !r.arrived.Idempotent
	}
	return choice{candidate: candidate{agent: owner}}, true
}
