package quota

import (
	"slices"

	"nutmeglane.example/nutmeglane/internal/core"
)

// This file lends this router's share to loaders, and takes it back.

// SetLoaders tells which loaders can be asked, the preferred first: the same order at all
// routers. Those that keep the bounds are changed one after the other, so that most of this
// router's share is in use all the while.
func (g *Gate) SetLoaders(now core.Time, loaders []core.HostID) {
	g.start(now)
	usable := func(name core.HostID) bool { return slices.Contains(loaders, name) && now >= g.silent[name] }
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
		case g.settled(now):
			g.exchange(name, loaders)
		}
	}
}

// settled tells that each loader that keeps the bounds has had its slot for a while.
func (g *Gate) settled(now core.Time) bool {
	return now.Sub(g.lentAt) >= exchangeAfter && !slices.ContainsFunc(g.links, func(l *link) bool { return g.lent(l) != 1 })
}

// exchange puts a loader in the place of the last one that all routers prefer it to.
func (g *Gate) exchange(name core.HostID, order []core.HostID) {
	rank := func(name core.HostID) int { return slices.Index(order, name) }
	last := slices.MaxFunc(g.links, func(a, b *link) int { return rank(a.name) - rank(b.name) })
	if rank(name) < rank(last.name) {
		g.Disconnected(last.name)
		g.links = append(g.links, &link{name: name, limits: map[string]bool{}})
	}
}

// Lost forgets a loader whose connection has ended: the next one may be a new process's.
func (g *Gate) Disconnected(name core.HostID) {
	if l := g.link(name); l != nil {
		g.drop(l)
		g.links = slices.DeleteFunc(slices.Clone(g.links), func(other *link) bool { return other == l })
	}
}

// drop takes back what a loader was lent, once the loan is over.
func (g *Gate) drop(l *link) {
	for i := range g.slots {
		s := &g.slots[i]
		if s.to == l.name {
			s.to = ""
		}
		if l.adopts.number != 0 && l.mayHold(*s) {
			s.until = max(s.until, l.adopts.at.Add(returnsAfter))
		}
	}
	for _, a := range g.accounts {
		a.open = slices.DeleteFunc(a.open, func(q question) bool { return q.to == l.name })
		delete(a.left, l.name)
	}
}

// dropSilent gives up loaders that do not answer.
func (g *Gate) dropSilent(now core.Time) {
	for _, l := range slices.Clone(g.links) {
		if len(l.sent) > 0 && now.Sub(l.sent[0].at) >= silentAfter {
			g.silent[l.name] = now.Add(silentFor)
			g.Disconnected(l.name)
		}
	}
	for name, until := range g.silent {
		if now >= until {
			delete(g.silent, name)
		}
	}
}

// mayHold tells that a slot is on its way back, maybe from this loader: to whom the last
// life lent anything is not known.
func (l *link) mayHold(s slot) bool { return s.to == "" && (s.last == l.name || s.last == "") }

// beingAdopted tells that a loader that was asked may go on holding the slot.
func (g *Gate) beingAdopted(s slot) bool {
	return slices.ContainsFunc(g.links, func(l *link) bool { return l.adopts.number != 0 && l.mayHold(s) })
}

// adopted goes on with a loan of this router's last life, or of its last connection, that a
// loader holds still, and has renewed since it was last asked at the latest.
func (g *Gate) adopted(l *link, held int) {
	for i := range g.slots {
		s := &g.slots[i]
		if held > 0 && l.mayHold(*s) {
			s.to = l.name
			s.until = max(s.until, l.adopts.at.Add(returnsAfter))
			s.last, s.life = l.name, l.life
			held--
		}
	}
}

// comeBack takes back what an earlier life of a loader was lent, as soon as what that granted
// has run out.
func (g *Gate) comeBack(now core.Time, l *link) {
	for i := range g.slots {
		s := &g.slots[i]
		if s.to == "" && s.last == l.name && s.life != l.life && now < s.until {
			s.until = min(s.until, now.Add(GrantLifetime))
		}
	}
}
