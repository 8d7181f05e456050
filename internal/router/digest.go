package router

import (
	"log/slog"
	"slices"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
)

// This file keeps the routers of a large fleet informed without a message from each loader
// to each router every second.
//
// 600 loaders that report to 385 routers each second that they are alive send 231,000
// messages, most of them before the first caller arrives. Each router and each loader
// spends a quarter of its processor on them, and reports of counts, limited to what a
// loader can send, are three seconds old. A router with two requests a second uses only a
// few of these messages.
//
// The coordinator receives the reports of all loaders that follow it. Four times a second
// it sends the other routers a digest of the loaders that are silent and of the counts that
// have changed. A few loaders relay the digest, each to a part of the routers. A loader
// reports to a router directly if something waits or runs there. Nothing depends on the
// coordinator alone: a router that receives no digests asks the loaders for direct reports.

const (
	// digestInterval is the time between two digests.
	digestInterval = 250 * time.Millisecond
	// digestLate is how long a router waits for a digest before it asks for direct reports:
	// five digests in a row were lost. It leaves time to ask (demandInterval) and for the
	// next heartbeat before the last reports expire (holdingsMaxAge).
	digestLate = 1250 * time.Millisecond
	// digestSilent is how long the coordinator may receive nothing from a loader, which
	// reports every second, before the loader counts as silent.
	digestSilent = 2 * time.Second
	// relayPart is how many routers one loader relays a message to: 2 ms of its time.
	relayPart = 100
	// digestRounds is the number of digests in which all counts are sent once, changed or
	// not, for routers that missed a change.
	digestRounds = 32
)

// digests is the state of sent and received digests.
type digests struct {
	// nextAt is when the next own digest is due, sent counts the own digests.
	nextAt core.Time
	sent   int
	// receivedAt is when the last digest was received.
	receivedAt core.Time
	// direct is set while no digests arrive and the loaders are asked for direct reports.
	direct bool
}

// digested is what the coordinator has sent of one loader.
type digested struct {
	counts core.Counts
	// resend is set if the counts are to be sent once more, for routers that missed them.
	resend bool
}

// sendDigest sends the other routers a digest of the loaders that follow this router.
func (r *Router) sendDigest() {
	d := &r.digests
	if r.now < d.nextAt {
		return
	}
	d.nextAt = r.now.Add(digestInterval)
	digest := core.LoadDigest{From: r.opts.Host, Config: r.ConfigVersion(), Parts: r.Parts()}
	followers := 0
	for i, l := range r.sortedLoaders() {
		if !r.producesDigestFor(l) {
			continue
		}
		followers++
		if !l.up || r.now.Sub(l.directAt) > digestSilent {
			digest.Silent = append(digest.Silent, l.name)
		} else if r.needsDigest(l, i) {
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
			r.emit(RelayDigest{Loader: relays[i%len(relays)], Digest: digest})
		}
	}
}

// Parts returns the number of parts into which all routers are divided when several loaders
// relay a message; 1 in all but large fleets.
func (r *Router) Parts() int { return (r.routers() + relayPart - 1) / relayPart }

// producesDigestFor reports whether this router makes the digests that cover a loader.
func (r *Router) producesDigestFor(l *loader) bool {
	return l.holdings != nil && l.holdings.Digested && l.holdings.Coordinator == r.opts.Host
}

// needsDigest reports whether a loader's counts belong in the next digest: they have
// changed, changed in the last one, or are due in the round.
func (r *Router) needsDigest(l *loader, place int) bool {
	counts := l.holdings.Counts()
	if changed := !counts.ApproxEqual(l.digested.counts); changed || place%digestRounds == r.digests.sent%digestRounds {
		l.digested = digested{counts: counts, resend: changed}
		return true
	}
	again := l.digested.resend
	l.digested.resend = false
	return again
}

// digestReceived applies the coordinator's digest of the loaders that follow it.
func (r *Router) digestReceived(digest core.LoadDigest) {
	if digest.From == r.opts.Host {
		return
	}
	r.digests.receivedAt = r.now
	silent := make(map[core.HostID]bool, len(digest.Silent))
	for _, name := range digest.Silent {
		silent[name] = true
	}
	for _, l := range r.sortedLoaders() {
		if l.holdings != nil && l.holdings.Digested && l.holdings.Coordinator == digest.From && !silent[l.name] {
			l.lastMessageAt = r.now
		}
	}
	for _, e := range digest.Engines {
		if l := r.loaders[e.Loader]; l != nil && l.holdings != nil {
			r.applyCounts(l, e.Counts, r.now.Add(-e.Age))
		}
	}
}

// checkDigests checks whether digests arrive.
func (r *Router) checkDigests() {
	d := &r.digests
	switch late := r.now.Sub(d.receivedAt) > digestLate; {
	case late == d.direct:
	case late && !slices.ContainsFunc(r.sortedLoaders(), r.coveredByDigest):
		d.receivedAt = r.now // no digests are due
	default:
		d.direct = late
		r.log(StateChange, "digests of loads", slog.Bool("come", !late), slog.String("last", r.now.Sub(d.receivedAt).String()))
	}
}

// coveredByDigest reports whether this router receives a loader's steady state by digests.
func (r *Router) coveredByDigest(l *loader) bool {
	return l.up && l.holdings != nil && l.holdings.Digested && l.holdings.Coordinator != r.opts.Host
}

// directExpectedSince returns since when a loader must send this router direct reports at
// least each second, Never if it need not.
func (r *Router) directExpectedSince(l *loader) core.Time {
	switch {
	case !r.coveredByDigest(l):
		return 0
	case l.lastDemand.ExpectsUpdates():
		return l.expectedSince
	default:
		return core.Never
	}
}
