package entry

import (
	"cmp"
	"slices"
	"strings"

	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/core/peers"
)

// kvValue applies a slot table or roster. The last value read stays in force while the KV
// service is unreachable or answers with an older revision; a deleted key (revision 0) is
// older than any.
func (p *Part) kvValue(ev core.KVValue) {
	isSlots := strings.HasPrefix(ev.Key, core.KeySlotsPrefix)
	isRoster := strings.HasPrefix(ev.Key, core.KeyRosterPrefix)
	if !isSlots && !isRoster || ev.Revision <= p.revisions[ev.Key] {
		return
	}
	var err error
	if isSlots {
		err = p.slotTable(ev)
	} else {
		err = p.roster(ev)
	}
	if err != nil {
		p.emit(core.Note{Name: "KV value not readable", Fields: []string{"key", ev.Key}})
		return
	}
	p.revisions[ev.Key] = ev.Revision
}

// kvResult applies a value that this process itself has read or written.
//
// It guards against a status that is ahead of routing: the steward in this process has a
// value as soon as it is written, and operators see that a model has an owner, while the
// watch delivers the same value up to its coalescing time later. A request that came in
// between was refused with NoBackend.
func (p *Part) kvResult(ev core.KVResult) {
	if ev.Code == code.OK || ev.Code == code.KVConflict {
		p.kvValue(core.KVValue{Key: ev.Key, Value: ev.Value, Revision: ev.Revision})
	}
}

func (p *Part) roster(ev core.KVValue) error {
	var roster core.Roster
	if err := core.DecodeValue(ev.Value, &roster); err != nil {
		return err
	}
	for _, host := range p.zones[roster.Zone] {
		p.agents[host].rostered = false
	}
	hosts := make([]core.HostID, 0, len(roster.Entries))
	for i := range roster.Entries {
		p.rosterEntry(roster.Zone, &roster.Entries[i])
		hosts = append(hosts, roster.Entries[i].Host)
	}
	p.zones[roster.Zone] = hosts
	p.rebuildServices()
	return nil
}

func (p *Part) rosterEntry(zone core.Zone, e *core.RosterEntry) {
	a := p.agent(e.Host)
	a.rostered, a.zone = true, zone
	p.setRosterAddress(a, e.Address)
	a.kind, a.service = e.Kind, e.Service
	a.rosterIncarnation, a.rosterFenced, a.rosterLeaving = e.Incarnation, e.Fenced, e.Leaving
	if !a.up && a.incarnation != e.Incarnation {
		p.resetProcess(a, e.Incarnation)
	}
}

// rebuildServices orders each service's agents by rendezvous hash score with this entry,
// so that the entry's subset is stable and entries spread evenly over the agents.
func (p *Part) rebuildServices() {
	p.services = map[string][]*agent{}
	for _, host := range core.SortedKeys(p.agents) {
		if a := p.agents[host]; a.rostered && a.kind == core.BackendService {
			p.services[a.service] = append(p.services[a.service], a)
		}
	}
	self := string(p.config.Host)
	for _, agents := range p.services {
		slices.SortFunc(agents, func(a, b *agent) int {
			byScore := cmp.Compare(core.Score(self, string(b.host)), core.Score(self, string(a.host)))
			return cmp.Or(byScore, cmp.Compare(a.host, b.host))
		})
	}
}

// hostList applies the platform's list. An empty list is treated as a failed read, not as
// an empty fleet. A host that was never listed is new, not reclaimed.
func (p *Part) hostList(ev core.HostList) {
	if len(ev.Hosts) == 0 {
		return
	}
	listed := make(map[core.HostID]bool, len(ev.Hosts))
	for _, host := range ev.Hosts {
		if host.Role != core.RoleBackend {
			continue
		}
		listed[host.ID] = true
		a := p.agent(host.ID)
		a.listed, a.delisted, a.listLeaving = true, false, host.State == core.HostLeaving
		if !a.rostered {
			a.zone = host.Zone
		}
		p.setListAddress(a, host.Address)
	}
	for _, host := range core.SortedKeys(p.agents) {
		if a := p.agents[host]; a.listed && !listed[host] {
			p.hostGone(a)
		}
	}
}

// hostGone handles a host that the platform reclaimed with all its processes. While its
// connection is up, the rest of an answer may still arrive: then only new work stops, and
// PeerDown completes the removal.
func (p *Part) hostGone(a *agent) {
	a.delisted, a.listed = true, false
	if a.up {
		return
	}
	p.effects = append(p.effects, p.peers.Release(peers.Entry, a.host)...)
	p.handleLostAgent(a)
}
