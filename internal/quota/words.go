package quota

import (
	"maps"
	"slices"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
)

// This file holds what a router tells the loaders that count, and hears of them.

const (
	// ackDelay is how long after a report a level may still be without it: a loader's
	// word that crossed the report.
	ackDelay = 100 * time.Millisecond
	// untoldSpan is for how long a router whose life ended had not told what it admitted:
	// until the next word that was due, and the way.
	untoldSpan = WordInterval + 100*time.Millisecond
	// untoldShare is the part of its even part of a bucket that a router takes before it
	// tells so soon: of all routers together a tenth of the bucket may be untold.
	untoldShare = 0.1
)

// Report returns what loaders are to be told now, nil if nothing is due.
func (g *Gate) Report(now core.Time) *core.QuotaUses {
	since := now.Sub(g.reportedAt)
	if g.way == Even || len(g.accounts) == 0 || since < WordInterval || !g.due && since < QuietInterval {
		return nil
	}
	uses := &core.QuotaUses{First: !g.told}
	g.told = true
	for _, name := range slices.Sorted(maps.Keys(g.accounts)) {
		a := g.accounts[name]
		if a.untold == 0 && a.untoldAsked == 0 && (a.limitTold || !a.everAsked) {
			a.sent = 0
			continue
		}
		use := core.QuotaUse{Account: name, Used: a.untold, Asked: a.untoldAsked}
		if !a.limitTold {
			use.Limit = &core.QuotaLimit{Version: g.version, Rate: a.rate, Depth: a.depth, Most: a.most, Window: g.bounds.Window}
			use.Recent = g.recentParts(now, a)
			a.limitTold = true
		}
		uses.Uses = append(uses.Uses, use)
		for from, l := range a.levels {
			l.unheard += a.untold
			a.levels[from] = l
		}
		a.sent, a.untold, a.untoldAsked = a.untold, 0, 0
	}
	g.reportedAt, g.due = now, false
	return uses
}

// recentParts is what this router admitted within the last window and has told, by parts,
// with what an earlier life may have.
func (g *Gate) recentParts(now core.Time, a *account) []float64 {
	parts := a.recent.Parts(now, recentParts)
	parts[len(parts)-1] -= a.untold
	part := g.bounds.Window / time.Duration(len(parts))
	for i := range parts {
		newer := time.Duration(len(parts)-1-i) * part
		parts[i] += bornUsed * (g.unseen(now, a, newer) - g.unseen(now, a, newer+part))
	}
	return parts
}

// Hear takes in a loader's word.
func (g *Gate) Hear(now core.Time, from core.HostID, levels core.QuotaLevels) {
	g.words[from] = &word{at: now, members: levels.Members}
	crossed := now.Sub(g.reportedAt) < ackDelay
	if levels.All {
		for _, a := range g.accounts {
			delete(a.levels, from)
		}
	} else {
		g.farBelow(now, from, crossed)
	}
	for _, name := range levels.Unknown {
		if a := g.accounts[name]; a != nil {
			a.limitTold = false
		}
	}
	for _, told := range levels.Levels {
		if a := g.accounts[told.Account]; a != nil {
			a.levels[from] = level{at: now, left: float64(told.Level), asked: float64(told.Asked), unheard: a.crossed(crossed)}
			if levels.All {
				a.share.note(a.asked.rate(now), float64(told.Asked))
			}
		}
	}
}

// crossed is what a word can't have in it yet.
func (a *account) crossed(crossed bool) float64 {
	if crossed {
		return a.sent
	}
	return 0
}

// farBelow takes in that accounts which a word does not list have at least the level below
// which they would be.
func (g *Gate) farBelow(now core.Time, from core.HostID, crossed bool) {
	for _, a := range g.accounts {
		if l, told := a.levels[from]; told {
			l.at, l.left, l.unheard = now, max(closeLevel*a.depth, min(l.left, a.depth)), a.crossed(crossed)
			a.levels[from] = l
		}
	}
}

// Connected makes the limits known to a loader that is new to this router, and what was
// asked lately.
//
// It guards against a loader that has just begun to count: by what was asked since, each
// router's part of it would seem to be the whole.
func (g *Gate) Connected() {
	g.due = true
	for _, a := range g.accounts {
		a.limitTold, a.untoldAsked = false, a.asked.sum
	}
}

// Lost forgets what a loader told.
func (g *Gate) Lost(from core.HostID) {
	delete(g.words, from)
	for _, a := range g.accounts {
		delete(a.levels, from)
	}
}
