package steward

import (
	"cmp"
	"slices"

	"nutmeglane.example/nutmeglane/internal/core"
)

// roster is the view of one zone's roster.
type roster struct {
	keyView
	zone    core.Zone
	entries []core.RosterEntry // sorted by host
	// dueAt is when the roster is next checked for changes to write.
	dueAt core.Time
}

// rosterOf returns the zone's roster and creates it if it does not exist.
func (p *Part) rosterOf(zone core.Zone) *roster {
	at, found := slices.BinarySearchFunc(p.rosters, zone, func(r *roster, z core.Zone) int {
		return cmp.Compare(r.zone, z)
	})
	if found {
		return p.rosters[at]
	}
	r := &roster{zone: zone}
	r.key = core.KeyRosterPrefix + string(zone)
	r.wroteAt = -core.Time(minWriteInterval)
	r.apply = func(now core.Time, value []byte) error { return p.applyRoster(now, r, value) }
	r.retry = func(now core.Time) { r.dueAt = min(r.dueAt, now.Add(p.jitter(minWriteInterval))) }
	p.rosters = slices.Insert(p.rosters, at, r)
	return r
}

// rosterSoon schedules a write after a short delay, at most one per minWriteInterval.
func (p *Part) rosterSoon(now core.Time, zone core.Zone) {
	r := p.rosterOf(zone)
	r.dueAt = min(r.dueAt, max(now.Add(urgentDelay), r.wroteAt.Add(minWriteInterval)))
}

func (p *Part) applyRoster(now core.Time, r *roster, value []byte) error {
	var decoded core.Roster
	if len(value) > 0 {
		if err := core.DecodeValue(value, &decoded); err != nil {
			return err
		}
	}
	slices.SortFunc(decoded.Entries, func(a, b core.RosterEntry) int { return cmp.Compare(a.Host, b.Host) })
	old := r.entries
	r.entries = decoded.Entries
	p.dropEntries(now, old, r.entries)
	for _, e := range r.entries {
		p.observe(now, r.zone, e)
	}
	return nil
}

// dropEntries clears the entries of hosts that were removed from the roster.
func (p *Part) dropEntries(now core.Time, old, entries []core.RosterEntry) {
	for _, e := range old {
		if _, found := findEntry(entries, e.Host); !found {
			h := p.hostOf(e.Host)
			h.hasEntry, h.entry = false, core.RosterEntry{}
			p.planSoon(now)
			if !h.listed {
				p.disconnect(h)
			}
		}
	}
}

func findEntry(entries []core.RosterEntry, host core.HostID) (int, bool) {
	return slices.BinarySearchFunc(entries, host, func(e core.RosterEntry, h core.HostID) int {
		return cmp.Compare(e.Host, h)
	})
}

// observe stores a roster entry and answers the report that it records.
func (p *Part) observe(now core.Time, zone core.Zone, e core.RosterEntry) {
	h := p.hostOf(e.Host)
	if h.zone == "" {
		h.zone = zone
	}
	if !h.listed && h.absentSince == 0 {
		h.absentSince = now
	}
	newer := !h.hasEntry || h.entry.Incarnation != e.Incarnation
	if newer {
		h.entryStep = p.step
	}
	if newer || h.entry.Sequence != e.Sequence || h.entry.Fenced != e.Fenced {
		h.unchangedSince = now
	}
	if newer || h.entry.Fenced != e.Fenced || h.entry.Leaving != e.Leaving {
		p.planSoon(now)
	}
	h.entry, h.hasEntry = e, true
	p.grant(now, h)
}

// writeRoster writes all changes from reports and proofs as one value.
func (p *Part) writeRoster(now core.Time, r *roster) {
	r.dueAt = now.Add(p.config.Timings.RosterInterval)
	next := make([]core.RosterEntry, 0, len(r.entries))
	for _, id := range core.SortedKeys(p.hosts) {
		h := p.hosts[id]
		if h.zone != r.zone {
			continue
		}
		if e, keep := p.nextEntry(now, h); keep {
			next = append(next, e)
		}
	}
	if !slices.Equal(next, r.entries) {
		p.write(now, &r.keyView, core.Roster{Zone: r.zone, Entries: next}, 0)
	}
}

// nextEntry returns the host's intended roster entry; false for none.
func (p *Part) nextEntry(now core.Time, h *hostState) (core.RosterEntry, bool) {
	e := h.entry
	switch {
	case !h.hasEntry:
		return entryFrom(h.report), h.listed && h.reporting()
	case h.reporting() && h.report.Incarnation != e.Incarnation:
		if p.provedNewest(now, h) {
			return entryFrom(h.report), true
		}
		return e, true
	case e.Fenced:
		// No renewal after the fence: the slots may be assigned elsewhere.
		return e, !p.removable(now, h)
	case h.reporting() && h.report.Sequence > e.Sequence:
		// Sequences only increase: an older report that was kept through a pause
		// must not make the entry look renewed, nor hide a renewal.
		return entryFrom(h.report), true
	}
	if proof := p.fenceProof(now, h); proof != "" {
		p.note("agent fenced", "host", string(h.id), "proof", proof)
		p.count(counterFences, proof)
		e.Fenced = true
	}
	return e, true
}

func entryFrom(r core.Report) core.RosterEntry {
	return core.RosterEntry{
		Host: r.Host, Incarnation: r.Incarnation, Sequence: r.Sequence, Leaving: r.Leaving,
		Address: r.Address, Kind: r.Kind, Service: r.Service, MemoryMiB: r.MemoryMiB,
		ChecksFencing: r.ChecksFencing, Backend: r.Backend,
	}
}
