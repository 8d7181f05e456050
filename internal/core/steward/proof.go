package steward

import (
	"slices"

	"nutmeglane.example/nutmeglane/internal/core"
)

// Proofs that an agent can't have a slot loaded, for counters and log notes.
const (
	proofHostGone   = "host gone"
	proofTenureOver = "tenure over"
)

// fenceProof returns the proof by which the agent may be marked fenced, or "".
func (p *Part) fenceProof(now core.Time, h *hostState) string {
	switch {
	case p.inGrace(now):
		// After an outage, or a change of the steward, the entries are old because
		// no process wrote them, not because the agents died.
		return ""
	case p.hostGone(now, h):
		return proofHostGone
	case p.tenureOver(now, h):
		return proofTenureOver
	default:
		return ""
	}
}

// hostGone reports whether the host was reclaimed. The host list is relied on only
// while the agent is silent: a list that was read incorrectly must not remove
// slots from agents that report.
func (p *Part) hostGone(now core.Time, h *hostState) bool {
	if !p.listSeen || h.listed || h.up && !p.silent(now, h) {
		return false
	}
	return h.everListed || now.Sub(h.absentSince) >= neverListedTimeout
}

// tenureOver reports whether the agent's tenure has ended, by this process's clock
// since it first saw the entry in its current state. The tenure began before the
// entry was written, so it has ended by then, including clock drift and late orders
// (TenureMargin). If another steward writes a renewal in the meantime, the
// compare-and-swap of the fence fails.
func (p *Part) tenureOver(now core.Time, h *hostState) bool {
	t := p.config.Timings
	return now.Sub(h.unchangedSince) >= t.Tenure+t.TenureMargin
}

// removable reports whether the entry of a fenced agent can be removed: the host
// is gone, no slot refers to it, and its tenure has ended.
func (p *Part) removable(now core.Time, h *hostState) bool {
	return !h.listed && !h.up && p.tenureOver(now, h) && !p.namedInTables(h.id)
}

// ownerStatus is the status of a slot's owner according to the roster.
type ownerStatus uint8

const (
	// ownerMayHold: no proof; the owner may have the slot loaded.
	ownerMayHold ownerStatus = iota
	// ownerUnknown: the roster last seen may be older than the slot table.
	ownerUnknown
	// ownerReleased: the owner released this generation.
	ownerReleased
	// ownerFencedNotUnloaded: the roster marks the owner fenced, but its engine
	// may still have the slot loaded.
	ownerFencedNotUnloaded
	// ownerFencedUnloaded: the owner is fenced, and its engine is gone or holds
	// nothing of the model.
	ownerFencedUnloaded
	// ownerReplaced: another incarnation runs on the owner's host.
	ownerReplaced
)

func (p *Part) ownerStatusOf(now core.Time, c *chunk, s core.Slot) ownerStatus {
	h := p.hosts[s.Owner]
	if h == nil {
		h = &hostState{}
	}
	if h.hasEntry && h.entry.Incarnation == s.Incarnation {
		switch {
		case released(h, s):
			return ownerReleased
		case h.entry.Fenced && (p.hostGone(now, h) || p.evicted(s)):
			return ownerFencedUnloaded
		case h.entry.Fenced:
			return ownerFencedNotUnloaded
		default:
			return ownerMayHold
		}
	}
	// The roster last seen names another incarnation, or none, perhaps because it
	// is older than the chunk. See rule 2(3) of the package comment.
	if !p.rosterReadSince(h.zone, c.seenStep) {
		return ownerUnknown
	}
	if !h.hasEntry {
		return ownerFencedUnloaded // entries are removed only after the fence
	}
	return ownerReplaced
}

func released(h *hostState, s core.Slot) bool {
	return h.report.Incarnation == s.Incarnation &&
		slices.ContainsFunc(h.report.Released, func(r core.Slot) bool {
			return r.ID == s.ID && r.Generation == s.Generation
		})
}

// rosterReadSince reports whether the zone's roster was read after a step, and
// schedules a read if not. A host of unknown zone is in none of the rosters, so
// all of them must have been read.
func (p *Part) rosterReadSince(zone core.Zone, step uint64) bool {
	fresh := true
	for _, r := range p.rosters {
		if (zone == "" || r.zone == zone) && r.readStep <= step {
			r.mustRead, fresh = true, false
		}
	}
	return fresh
}
