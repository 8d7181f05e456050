package router

import (
	"cmp"
	"log/slog"
	"maps"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/fleet"
)

// This file keeps the connections to the loaders beside engines, and takes their
// words.

// redialAfter is the pause before a loader is dialled again: below the time of a
// load, so that a loader that restarts misses one at the most.
const redialAfter = 500 * time.Millisecond

// loader is the connection to the loader beside an engine.
type loader struct {
	name    core.HostID
	address string
	up      bool
	dialing bool
	// nextDial is the earliest next dial.
	nextDial core.Time
	holdings *core.Holdings
	// heardAt is when its last word came, saidAt when the last holdings did: the times
	// in them count from then.
	heardAt, saidAt core.Time
	// directAt is when its last word came from itself, or it connected.
	directAt core.Time
	// expectedSince is since when it knows that its own words are waited for; counts only
	// while told expects them.
	expectedSince core.Time
	// digested is what this router has told the others of its counts.
	digested digested
	// countedAt is when the engine's counts came, with the holdings or alone.
	countedAt core.Time
	// ownThen is how many requests of ours ran there when the holdings came.
	ownThen int
	// ownUnread of them had no event yet.
	ownUnread int
	// specNamed is the hash of the engine's configuration that was named last on this
	// connection, 0 before. specWanted is set once the loader has asked for it.
	specNamed  uint64
	specWanted bool
	// engines are the backend servers beside it, gone ones included.
	engines []*backend
	// told is the last Demand, at toldAt; lookedAt is when it was last seen whether
	// another is due. dirty is set after a change that it must know at once.
	told             core.Demand
	toldAt, lookedAt core.Time
	dirty            bool
	// storeLoads is the sequence of the last store load seen.
	storeLoads int
}

// connect makes sure that the loader beside an engine is being dialled.
func (r *Router) connect(b *backend) {
	if r.engine(b.Service) == nil {
		return
	}
	address, err := netip.ParseAddrPort(b.Address)
	if err != nil {
		return // platform.DecodeBackend lets no such entry through
	}
	name := core.HostID(address.Addr().String())
	l := r.loaders[name]
	if l == nil {
		l = &loader{name: name, address: string(name) + ":" + strconv.Itoa(r.opts.LoaderPort)}
		r.loaders[name] = l
		r.loaderList, r.quotaOrder = nil, nil
	}
	if b.loader == l {
		return
	}
	b.loader = l
	l.engines = with(l.engines, b)
	r.reindex(b)
}

// forget takes a backend server out of all lists.
func (r *Router) forget(b *backend) {
	r.unindex(b)
	r.dropLimit(b)
	if b.loader != nil {
		b.loader.engines = without(b.loader.engines, b)
	}
	delete(r.backends, b.Instance)
	r.byService = nil
	r.setAddress(b, "")
}

// engineAt returns the listed engine beside a loader, nil if there is none.
func (r *Router) engineAt(l *loader) *backend {
	var found *backend
	for _, b := range l.engines {
		if b.unlistedAt != 0 {
			continue
		}
		if found == nil || found.Draining || found.Draining == b.Draining && b.Instance > found.Instance {
			found = b
		}
	}
	return found
}

// checkLoaders dials the loaders of listed engines and drops the others.
func (r *Router) checkLoaders() {
	for _, b := range r.backends {
		if b.loader == nil && b.unlistedAt == 0 {
			r.connect(b)
		}
	}
	for _, l := range r.sortedLoaders() {
		if len(l.engines) == 0 {
			delete(r.loaders, l.name)
			r.loaderList, r.quotaOrder = nil, nil
			r.emit(Hangup{Loader: l.name})
			continue
		}
		r.checkLoader(l)
	}
}

// sortedLoaders are all loaders in the order of their names. The caller must not
// change the slice.
func (r *Router) sortedLoaders() []*loader {
	if r.loaderList == nil {
		byName := func(a, b *loader) int { return cmp.Compare(a.name, b.name) }
		r.loaderList = slices.SortedFunc(maps.Values(r.loaders), byName)
	}
	return r.loaderList
}

func (r *Router) checkLoader(l *loader) {
	// Guards against a connection that went silent: the loader would seem to
	// hold what it held minutes ago, and wants would reach nobody. Its
	// heartbeats stop, so it is dialled anew.
	if silent := r.now.Sub(max(l.directAt, r.awaitedSince(l))); l.up && silent > holdingsFresh {
		r.log(Belief, "loader is silent; dialling it again", slog.String("loader", string(l.name)),
			slog.String("silent", silent.String()))
		r.emit(Hangup{Loader: l.name})
		l.up, l.dialing = false, false
		r.gate.Lost(l.name)
	}
	if !l.up && !l.dialing && r.now >= l.nextDial {
		l.dialing = true
		r.emit(Dial{Loader: l.name, Address: l.address})
	}
}

func (r *Router) loaderUp(name core.HostID) {
	l := r.loaders[name]
	if l == nil {
		r.emit(Hangup{Loader: name})
		return
	}
	l.up, l.dialing, l.specNamed, l.specWanted, l.dirty, l.heardAt, l.directAt = true, false, 0, false, true, r.now, r.now
	l.told = core.Demand{}
	r.log(Belief, "loader connected", slog.String("loader", string(name)))
	r.tellLimits(l)
}

func (r *Router) loaderDown(name core.HostID) {
	l := r.loaders[name]
	if l == nil {
		return
	}
	r.gate.Lost(name)
	if l.up {
		r.log(Belief, "loader lost", slog.String("loader", string(name)))
	}
	l.up, l.dialing, l.nextDial = false, false, r.now.Add(redialAfter)
}

func (r *Router) loaderSaid(name core.HostID, holdings core.Holdings) {
	l := r.loaders[name]
	if l == nil {
		return
	}
	if (fleet.Incarnation{Born: holdings.Born}).Compare(l.life()) < 0 {
		r.log(Belief, "word on an earlier life of an engine left out", slog.String("loader", string(name)), slog.Int64("born", holdings.Born))
		return
	}
	if holdings.NearAsBefore && l.holdings != nil {
		holdings.InMemory, holdings.OnDisk = l.holdings.InMemory, l.holdings.OnDisk
	}
	if b := r.engineAt(l); b != nil {
		r.recountStoreLoads(b.Service, l.holdings, &holdings)
	}
	l.holdings, l.heardAt, l.saidAt, l.countedAt, l.directAt = &holdings, r.now, r.now, r.now, r.now
	for _, b := range l.engines {
		if b.unlistedAt == 0 && b.Instance == holdings.Instance && r.newLife(b, l.life()) {
			b.aliveAt = r.now
			if holdings.Ended {
				r.serverEnded(b, "its loader finds it gone")
			}
		}
		r.reindex(b)
	}
	if b := r.engineAt(l); b != nil {
		l.ownThen, l.ownUnread = len(b.sent), b.queue.Len()
		b.cache.RetainModels(func(model string) bool { has, _ := r.loaded(b, model, ""); return has })
		r.learnStoreLoad(b, l)
		r.pumpFor(b)
	}
}

// loaderCounted takes an engine's counts. They change nothing that is waited for,
// so that queues are not looked at: of a large fleet's messages these are most.
func (r *Router) loaderCounted(name core.HostID, counts core.Counts) {
	l := r.loaders[name]
	if l == nil || l.holdings == nil {
		return
	}
	l.heardAt, l.directAt = r.now, r.now
	r.takeCounts(l, counts, r.now)
}

// takeCounts takes an engine's counts as of a time, unless newer ones are known.
func (r *Router) takeCounts(l *loader, counts core.Counts, at core.Time) {
	if at < l.countedAt {
		return
	}
	l.holdings.SetCounts(counts)
	l.countedAt = at
	if b := r.engineAt(l); b != nil {
		if l.life().Compare(b.Incarnation) == 0 {
			b.aliveAt = max(b.aliveAt, at)
		}
		l.ownThen = b.sentBy(at)
		l.ownUnread = min(l.ownThen, b.queue.Len())
	}
}

// Relays returns loaders, by chance, that pass news of the registry on: connected
// ones, so many at the most.
func (r *Router) Relays(most int) []core.HostID {
	var up []core.HostID
	for _, l := range r.sortedLoaders() {
		if l.up {
			up = append(up, l.name)
		}
	}
	r.rand.Shuffle(len(up), func(i, j int) { up[i], up[j] = up[j], up[i] })
	return up[:min(most, len(up))]
}

// Routers is the number of routers, this one included, as far as known.
func (r *Router) Routers() int { return r.routers() }

// routers is the number of routers that share bounds, as far as known.
func (r *Router) routers() int {
	if r.routersAt == r.steps && r.knownRouters > 0 {
		return r.knownRouters
	}
	known := 1
	for _, l := range r.sortedLoaders() {
		if l.holdings != nil {
			known = max(known, l.holdings.Routers)
		}
	}
	r.routersAt, r.knownRouters = r.steps, known
	return known
}
