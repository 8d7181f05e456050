package entry

import (
	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
)

// loadTolerance is the difference in requests up to which loads count as equal, because
// load reports lag.
const loadTolerance = 1

// chooseService chooses an agent of a plain service by load, from a subset that is stable
// for this entry so that the number of connections stays bounded.
func (p *Part) chooseService(r *request, t *target) choice {
	agents := p.services[t.service]
	if r.arrived.Key != "" {
		if c, decided := p.serviceKeyOwner(r, agents); decided {
			return c
		}
	}
	p.scratch = p.scratch[:0]
	anyUp := false
	backoff := core.Never
	for i, a := range agents {
		if len(p.scratch) == p.limits.ServiceSubset {
			break
		}
		if !a.usable() || r.isTried(a.host) {
			continue
		}
		if p.now < a.backoffUntil {
			backoff = min(backoff, a.backoffUntil)
			continue
		}
		p.connect(a)
		anyUp = anyUp || a.up
		p.scratch = append(p.scratch, option{number: i, load: a.load.total(), sameZone: a.zone == p.config.Zone})
	}
	if len(p.scratch) == 0 && backoff != core.Never {
		return choice{result: code.BackingOff, retryAfter: backoff.Sub(p.now)}
	}
	if len(p.scratch) == 0 {
		return r.refused(code.NoBackend, 0)
	}
	return choice{candidate: candidate{agent: agents[p.leastLoaded(agents, anyUp)]}}
}

// leastLoaded chooses from the scratch list, connected agents first.
func (p *Part) leastLoaded(agents []*agent, anyUp bool) int {
	all := partition(p.scratch, func(o *option) bool { return agents[o.number].up == anyUp })
	least := all[0].load
	for i := range all {
		least = min(least, all[i].load)
	}
	near := partition(all, func(o *option) bool { return o.load <= least+loadTolerance })
	return p.twoChoices(near)
}
