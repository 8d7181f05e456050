package entry

import (
	"strconv"

	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
)

// The same idempotency key may arrive at two entries at once, or again at
// another one after the first entry died. Entries don't talk to each other
// about requests; what makes the key run once is that both send it to the same
// agent, which remembers it. So the owner of a key is the highest rendezvous
// score among candidates that are stable: the slot indexes that the
// configuration declares (for an adapter, those that the slot table allows it),
// or the agents in the rosters, whether or not they are usable at the moment.
// Were the owner chosen among the usable ones, two entries that see an agent's
// death at different times would choose two agents and the call would run
// twice. If the owner isn't usable, a call that is not idempotent is refused:
// nothing was sent, so "not run" is true, and the caller may come back.
//
// Limits of the argument: an agent's memory of keys ends with its process. A
// retry that comes after its slot moved, after the slots that may hold its
// adapter changed, or after its roster entry was dropped
// or a new agent was added that wins the key, meets an agent that does not
// know the key. A caller that got "outcome unknown" is told just that.

func scopedKey(r *request) string { return r.arrived.ClientAccount + "\x00" + r.arrived.Key }

// chooseKeyOwner returns the place of the request's key. It leaves the
// decision open only for an idempotent request whose owner is not usable.
func (p *Part) chooseKeyOwner(r *request, t *target) (choice, bool) {
	var owner *place
	var best uint64
	key := scopedKey(r)
	for i := range t.size() {
		score := core.Score(key, strconv.Itoa(t.index(i)))
		if i == 0 || score > best {
			best, owner = score, t.place(i)
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
	return choice{candidate: candidate{agent: owner}}, true
}
