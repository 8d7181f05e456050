package router

import (
	"log/slog"
	"slices"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
)

// This file keeps routers of a large fleet informed without a word from each loader to each
// router each second.
//
// It answers this pattern: 600 loaders tell 385 routers each second that they are alive,
// 231,000 messages, most of them before the first caller comes; each router and each loader
// spends a quarter of its processor on them, and words on counts, bounded to what a loader
// can send, are three seconds old. Of all these words a router with two requests a second
// uses a few.
//
// The coordinator hears all loaders that follow it. Four times a second it tells the others
// which of them are silent and whose counts have changed, by way of a few loaders, each of
// which passes it on to a part of the routers. A router hears a loader itself where
// something waits or runs there. Nothing depends on the coordinator alone: where no digests
// come, a router asks the loaders for their own words.

const (
	// digestInterval is the time between two digests.
	digestInterval = 250 * time.Millisecond
	// digestLate is how long no digest may come before a router asks for the loaders' own
	// words: five in a row were lost. It leaves time to ask (demandInterval) and for the next
	// heartbeat before the last words lapse (holdingsFresh).
	digestLate = 1250 * time.Millisecond
	// digestSilent is how long the coordinator may hear nothing of a loader that speaks
	// each second before it counts as silent.
	digestSilent = 2 * time.Second
	// relayPart is how many routers one loader passes a message on to: 2 ms of its time.
	relayPart = 100
	// digestRounds is the number of digests in which all counts come once, changed or
	// not, for those who missed a change.
	digestRounds = 32
)

// digests is what a router sends and hears of digests.
type digests struct {
	// nextAt is when the next own one is due, sent counts them.
	nextAt core.Time
	sent   int
	// heardAt is when the last one came.
	heardAt core.Time
	// direct is set while none come and the loaders are asked for their own words.
	direct bool
}

// digested is what the coordinator has told of one loader.
type digested struct {
	counts core.Counts
	// again is set if it is to be told once more, for those who missed it.
	again bool
}

// sendDigest tells the other routers of the loaders that follow this one.
func (r *Router) sendDigest() {
	d := &r.digests
	if r.now < d.nextAt {
		return
	}
	d.nextAt = r.now.Add(digestInterval)
	digest := core.LoadDigest{From: r.opts.Host, Config: r.ConfigVersion(), Parts: r.Parts()}
	followers := 0
	for i, l := range r.sortedLoaders() {
		if !r.leads(l) {
			continue
		}
		followers++
		if !l.up || r.now.Sub(l.directAt) > digestSilent {
			digest.Silent = append(digest.Silent, l.name)
		} else if r.worthDigesting(l, i) {
			digest.Engines = append(digest.Engines, core.EngineCounts{Loader: l.name, Age: r.now.Sub(l.countedAt), Counts: l.holdings.Counts()})
		}
	}
	if followers == 0 {
		return
	}
	d.sent++
	relays := r.Relays(digest.Parts)
	for i := range digest.Parts {
		if len(relays) > 0 {
			digest.Part = i
			r.emit(TellDigest{Loader: relays[i%len(relays)], Digest: digest})
		}
	}
}

// Parts is into how many parts all routers are divided where several loaders pass a message
// on; 1 in all but large fleets.
func (r *Router) Parts() int { return (r.routers() + relayPart - 1) / relayPart }

// leads tells whether this router makes the digests that tell of a loader.
func (r *Router) leads(l *loader) bool {
	return l.holdings != nil && l.holdings.Digested && l.holdings.Coordinator == r.opts.Host
}

// worthDigesting tells whether a loader's counts belong into the next digest: they have
// changed, changed in the last one, or have their turn.
func (r *Router) worthDigesting(l *loader, place int) bool {
	counts := l.holdings.Counts()
	if changed := !counts.ApproxEqual(l.digested.counts); changed || place%digestRounds == r.digests.sent%digestRounds {
		l.digested = digested{counts: counts, again: changed}
		return true
	}
	again := l.digested.again
	l.digested.again = false
	return again
}

// digestHeard takes in the coordinator's word on the loaders that follow it.
func (r *Router) digestHeard(digest core.LoadDigest) {
	if digest.From == r.opts.Host {
		return
	}
	r.digests.heardAt = r.now
	silent := make(map[core.HostID]bool, len(digest.Silent))
	for _, name := range digest.Silent {
		silent[name] = true
	}
	for _, l := range r.sortedLoaders() {
		if l.holdings != nil && l.holdings.Digested && l.holdings.Coordinator == digest.From && !silent[l.name] {
			l.heardAt = r.now
		}
	}
	for _, e := range digest.Engines {
		if l := r.loaders[e.Loader]; l != nil && l.holdings != nil {
			r.takeCounts(l, e.Counts, r.now.Add(-e.Age))
		}
	}
}

// checkDigests notes whether digests come.
func (r *Router) checkDigests() {
	d := &r.digests
	switch late := r.now.Sub(d.heardAt) > digestLate; {
	case late == d.direct:
	case late && !slices.ContainsFunc(r.sortedLoaders(), r.byDigest):
		d.heardAt = r.now // none are due
	default:
		d.direct = late
		r.log(Belief, "digests of loads", slog.Bool("come", !late), slog.String("last", r.now.Sub(d.heardAt).String()))
	}
}

// byDigest tells whether steady times of a loader are told to this router by digests.
func (r *Router) byDigest(l *loader) bool {
	return l.up && l.holdings != nil && l.holdings.Digested && l.holdings.Coordinator != r.opts.Host
}

// awaitedSince is since when a loader is to speak to this router itself at least each
// second, Never if it need not.
func (r *Router) awaitedSince(l *loader) core.Time {
	switch {
	case !r.byDigest(l):
		return 0
	case l.told.ExpectsUpdates():
		return l.expectedSince
	default:
		return core.Never
	}
}
