package quota

import (
	"slices"

	"nutmeglane.example/nutmeglane/internal/core"
)

// This file lends the router's share to loaders and takes it back.

// SetLoaders sets the loaders that can be asked, most preferred first; the order is the
// same at all routers. The loaders that keep the bounds are replaced one at a time, so that
// most of this router's share stays in use.
func (g *Gate) SetLoaders(now core.Time, loaders []core.HostID) {
	g.start(now)
	usable := func(name core.HostID) bool { return slices.Contains(loaders, name) && now >= g.unresponsive[name] }
	for _, l := range slices.Clone(g.links) {
		if !usable(l.name) {
			g.Disconnected(l.name)
		}
	}
	for _, name := range loaders {
		switch {
		case !usable(name) || g.link(name) != nil:
		case len(g.links) < Slots:
			g.links = append(slices.Clone(g.links), &link{name: name, limits: map[string]bool{}})
		case g.stable(now):
			g.replaceLink(name, loaders)
		}
	}
}

// stable reports whether each loader that keeps the bounds has had one slot for
// exchangeAfter.
func (g *Gate) stable(now core.Time) bool {
	return now.Sub(g.lentAt) >= exchangeAfter && !slices.ContainsFunc(g.links, func(l *link) bool { return g.lentSlots(l) != 1 })
}

// replaceLink replaces the least preferred loader by the given one if that is preferred to
// it.
func (g *Gate) replaceLink(name core.HostID, order []core.HostID) {
	rank := func(name core.HostID) int { return slices.Index(order, name) }
	last := slices.MaxFunc(g.links, func(a, b *link) int { return rank(a.name) - rank(b.name) })
	if rank(name) < rank(last.name) {
		g.Disconnected(last.name)
		g.links = append(g.links, &link{name: name, limits: map[string]bool{}})
	}
}

// Disconnected removes a loader whose connection has ended: the next connection may be to a
// new process.
func (g *Gate) Disconnected(name core.HostID) {
	if l := g.link(name); l != nil {
		g.dropLink(l)
		g.links = slices.DeleteFunc(slices.Clone(g.links), func(other *link) bool { return other == l })
	}
}

// dropLink takes back the slots lent to a loader once their loans are over.
func (g *Gate) dropLink(l *link) {
	for i := range g.slots {
		s := &g.slots[i]
		if s.to == l.name {
			s.to = ""
		}
		if l.adoptRequest.number != 0 && l.mayHold(*s) {
			s.until = max(s.until, l.adoptRequest.at.Add(returnDelay))
		}
	}
	for _, a := range g.accounts {
		a.pending = slices.DeleteFunc(a.pending, func(q pendingRequest) bool { return q.to == l.name })
		delete(a.remaining, l.name)
	}
}

// dropUnresponsive removes loaders that do not answer.
func (g *Gate) dropUnresponsive(now core.Time) {
	for _, l := range slices.Clone(g.links) {
		if len(l.sent) > 0 && now.Sub(l.sent[0].at) >= unresponsiveAfter {
			g.unresponsive[l.name] = now.Add(unresponsivePause)
			g.Disconnected(l.name)
		}
	}
	for name, until := range g.unresponsive {
		if now >= until {
			delete(g.unresponsive, name)
		}
	}
}

// mayHold reports whether a slot is returning and this loader may hold it: to which loaders
// the previous process lent its slots is not known.
func (l *link) mayHold(s slot) bool { return s.to == "" && (s.last == l.name || s.last == "") }

// beingAdopted reports whether a loader that was asked may continue to hold the slot.
func (g *Gate) beingAdopted(s slot) bool {
	return slices.ContainsFunc(g.links, func(l *link) bool { return l.adoptRequest.number != 0 && l.mayHold(s) })
}

// adoptSlots continues the loans of this router's previous process or previous connection
// that a loader still holds. Their renewal counts from no later than the time of the last
// adoption request.
func (g *Gate) adoptSlots(l *link, held int) {
	for i := range g.slots {
		s := &g.slots[i]
		if held > 0 && l.mayHold(*s) {
			s.to = l.name
			s.until = max(s.until, l.adoptRequest.at.Add(returnDelay))
			s.last, s.life = l.name, l.life
			held--
		}
	}
}

// shortenReturn takes back the slots lent to a previous process of a loader as soon as the
// tokens which that process granted have expired.
func (g *Gate) shortenReturn(now core.Time, l *link) {
	for i := range g.slots {
		s := &g.slots[i]
		if s.to == "" && s.last == l.name && s.life != l.life && now < s.until {
			s.until = min(s.until, now.Add(GrantLifetime))
		}
	}
}
