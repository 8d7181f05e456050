package router

import (
	"cmp"
	"log/slog"
	"maps"
	"slices"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/fleet"
	"nutmeglane.example/nutmeglane/internal/work"
)

const (
	// relistWithin is how long after the store's return servers whose entries expired
	// meanwhile may take to register again: the platform guarantees two seconds.
	relistWithin = 2200 * time.Millisecond
	// lapseGap is how long the store must have answered no router for entries to expire
	// because of that: they expire after three heartbeats (1.2 s each) without a write, the
	// first of which may be due at once. Routers receive news of each other's reads each
	// second or more often.
	lapseGap = 2 * time.Second
	// forgetAfter is how long an unlisted server is kept for the requests that still run
	// there. It is above the longest route timeout in use.
	forgetAfter = 30 * time.Second
)

func (r *Router) readBackends(list map[string]fleet.Backend) {
	if r.registryRead {
		r.registryGapAt = r.now
	}
	r.registryRead = true
	removed := map[string]bool{}
	for instance := range r.backends {
		if _, ok := list[instance]; !ok {
			removed[instance] = true
		}
	}
	r.changeBackends(list, removed)
}

func (r *Router) changeBackends(written map[string]fleet.Backend, removed map[string]bool) {
	for _, entry := range byRegistration(written) {
		r.writeBackend(entry)
	}
	for _, instance := range slices.Sorted(maps.Keys(removed)) {
		r.removeBackend(instance)
	}
	r.recheckAllWaits()
}

// applyNews applies registry changes that another router read. They do not include the
// models that engines have, so that the known ones are kept.
func (r *Router) applyNews(news core.RegistryNews) {
	r.storeAnswersOthers()
	written := map[string]fleet.Backend{}
	for _, entry := range news.Written {
		b := fleet.Listed(entry)
		if known := r.backends[b.Instance]; known != nil {
			b.Models = known.Models
		}
		written[b.Instance] = b
	}
	removed := map[string]bool{}
	for _, instance := range news.Removed {
		removed[instance] = true
	}
	r.changeEvacuations(news.Evacuations)
	r.changeBackends(written, removed)
	r.poisonReported(news.Poison)
}

// ChangedEntries returns those of the entries that differ from the known ones, without
// their models: what the other routers must receive.
func (r *Router) ChangedEntries(written map[string]fleet.Backend) []core.ListedBackend {
	var news []core.ListedBackend
	for _, entry := range byRegistration(written) {
		b := r.backends[entry.Instance]
		same := b != nil && b.unlistedAt == 0 && !b.lapsed && !entry.Draining && b.Draining == entry.Draining &&
			b.Incarnation == entry.Incarnation && b.Service == entry.Service && b.Address == entry.Address &&
			b.Zone == entry.Zone && b.Slots == entry.Slots && b.Release == entry.Release && (b.SlowFor > 0) == (entry.SlowFor > 0)
		if !same {
			news = append(news, entry.Listed())
		}
	}
	return news
}

// byRegistration returns entries in the order in which they registered.
//
// It guards against a router that starts while the entry of a dead instance is still listed
// beside that of its successor at the same address: the entry processed last counts as
// present. Sorted by name that was the dead one in half of the cases, and all requests for
// the engine were refused for a second.
func byRegistration(written map[string]fleet.Backend) []fleet.Backend {
	return slices.SortedFunc(maps.Values(written), func(a, b fleet.Backend) int {
		return cmp.Or(cmp.Compare(a.Registered, b.Registered), cmp.Compare(a.Instance, b.Instance))
	})
}

func (r *Router) writeBackend(entry fleet.Backend) {
	b := r.backends[entry.Instance]
	if b == nil {
		b = &backend{sent: map[Key]*attempt{}, cache: work.NewCache(r.kvTokens(entry.Service)), pace: 1, foundAt: r.now, limit: r.newServerLimit(entry.Instance)}
		r.backends[entry.Instance] = b
		r.byService = nil
		r.setAddress(b, entry.Address)
		b.Backend = entry
		r.restoreDeparted(b)
		r.replaceInstances(b)
		r.log(StateChange, "backend server found", b.attrs("slots", entry.Slots, "draining", entry.Draining, "release", entry.Release.String())...)
	} else if !r.observeIncarnation(b, entry.Incarnation) {
		return
	} else if entry.Draining != b.Draining {
		r.log(StateChange, "backend server changed state", b.attrs("draining", entry.Draining)...)
	}
	if b.unlistedAt != 0 {
		r.log(StateChange, "backend server is back in the registry", b.attrs("after", r.now.Sub(b.unlistedAt).String())...)
	}
	if entry.Service != b.Service {
		r.byService = nil
		r.unindex(b)
	}
	if entry.Born == 0 {
		entry.Born = b.Born
	}
	if !entry.Release.Known {
		entry.Release = b.Release
	}
	if entry.Release != b.Release {
		r.releaseLeft(b.Service, b.Release)
	}
	r.releasesChanged = r.releasesChanged || entry.Release != b.Release || b.unlistedAt != 0 || b.foundAt == r.now
	r.setAddress(b, entry.Address)
	b.Backend, b.lapsed, b.aliveAt = entry, false, r.now
	if !b.replaced {
		b.unlistedAt = 0
	}
	if entry.Draining {
		r.noteDraining(b, byRegistry)
	}
	r.connect(b)
	r.reindex(b)
	r.limitCold(b)
}

// kvTokens returns the size of an engine's KV cache, 0 for plain services.
func (r *Router) kvTokens(service string) int {
	if engine := r.engine(service); engine != nil {
		return engine.KVTokens
	}
	return 0
}

// setAddress updates the index of backend servers by address; "" removes a server. At most
// a few servers share an address, and each new one looks for others at its own.
func (r *Router) setAddress(b *backend, address string) {
	if listed := slices.Contains(r.byAddress[b.Address], b); listed && b.Address == address {
		return
	}
	if rest := without(r.byAddress[b.Address], b); len(rest) > 0 {
		r.byAddress[b.Address] = rest
	} else {
		delete(r.byAddress, b.Address)
	}
	if address != "" {
		r.byAddress[address] = with(r.byAddress[address], b)
	}
}

// replaceInstances unlists other instances at the address of a new one.
//
// It guards against a server that crashed and started again: its old entry remains for some
// heartbeats, and may be written once more by a late one. Requests for the old instance
// would be refused by the new one.
func (r *Router) replaceInstances(newest *backend) {
	for _, other := range r.byAddress[newest.Address] {
		if other == newest || other.replaced {
			continue
		}
		other.replaced = true
		if other.unlistedAt == 0 {
			r.unlist(other, "its address has another instance")
		}
	}
}

// removeBackend unlists a server whose registry entry was removed.
//
// It guards against entries that expired while the store was unavailable: the servers are
// alive but could not renew them. All of them would be dropped at once and every request
// refused. They are kept for the time that they may need to register again.
func (r *Router) removeBackend(instance string) {
	b := r.backends[instance]
	if b == nil || b.unlistedAt != 0 {
		return
	}
	if r.mayRelist() && !r.draining(b) {
		b.lapsed = true
		r.log(StateChange, "registry entry lapsed while the store was away; kept for now", b.attrs()...)
		return
	}
	r.unlist(b, "removed from the registry")
}

func (r *Router) mayRelist() bool {
	return r.storeDownSince != 0 || r.storeBackAt != 0 && r.now.Sub(r.storeBackAt) < relistWithin
}

func (r *Router) unlist(b *backend, why string) {
	b.unlistedAt, r.releasesChanged = r.now, true
	r.releaseLeft(b.Service, b.Release)
	if b.replaced || r.lostLately(b) {
		r.serverEnded(b, why)
	}
	r.log(StateChange, "backend server is gone", b.attrs("why", why, "requests", len(b.sent))...)
}

// dropUnlisted forgets unlisted servers once nothing runs there.
func (r *Router) dropUnlisted() {
	relist := r.mayRelist()
	for _, b := range r.backends {
		if b.lapsed && !relist && b.unlistedAt == 0 {
			b.lapsed = false
			r.unlist(b, "did not register again after the store came back")
		}
		if b.unlistedAt == 0 || len(b.sent) > 0 && r.now.Sub(b.unlistedAt) < forgetAfter {
			continue
		}
		r.rememberDeparted(b)
		r.noteGone(b)
		r.forget(b)
	}
	r.expireDeparted()
	r.expireGone()
}

// storeAnswersOthers records that another router has read the store.
//
// It guards against a store that refuses only this router: treated as an outage, it made
// this router keep servers whose entries were withdrawn for seconds, in which they still
// got requests. If news arrived without a gap, no entry expired because of an outage; after
// a gap the store has just come back for all routers.
func (r *Router) storeAnswersOthers() {
	gap := r.now.Sub(r.storeAnsweredAt)
	r.storeAnsweredAt = r.now
	switch {
	case r.storeDownSince == 0:
	case gap < lapseGap:
		r.log(StateChange, "platform store answers other routers", slog.String("away", r.now.Sub(r.storeDownSince).String()))
		r.storeDownSince = 0
	default:
		r.setStore(true)
	}
}

// ownStoreRead records whether a read of this router's own succeeded. The store may refuse
// this router and answer others.
func (r *Router) ownStoreRead(reachable bool) {
	switch {
	case reachable:
		r.ownReadsFailSince = 0
	case r.ownReadsFailSince == 0:
		r.ownReadsFailSince = r.now
	}
	r.setStore(reachable)
}

func (r *Router) setStore(reachable bool) {
	if reachable {
		r.storeAnsweredAt = r.now
	}
	switch {
	case !reachable && r.storeDownSince == 0:
		r.storeDownSince = r.now
		r.log(StateChange, "platform store does not answer; working from what is known",
			slog.Int("backends", len(r.backends)))
	case reachable && r.storeDownSince != 0:
		r.log(StateChange, "platform store answers again", slog.String("away", r.now.Sub(r.storeDownSince).String()))
		r.storeDownSince, r.storeBackAt = 0, r.now
	}
}

// attrs returns the log attributes that identify a server, followed by more.
func (b *backend) attrs(more ...any) []slog.Attr {
	attrs := []slog.Attr{
		slog.String("instance", b.Instance), slog.String("service", b.Service),
		slog.String("address", b.Address), slog.String("zone", string(b.Zone)),
	}
	for i := 0; i+1 < len(more); i += 2 {
		attrs = append(attrs, slog.Any(more[i].(string), more[i+1]))
	}
	return attrs
}
