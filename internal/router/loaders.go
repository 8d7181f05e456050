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

// This file maintains the connections to the loaders beside engines and processes their
// reports.

// redialAfter is the pause before a loader is dialled again. It is below the time of a
// load, so that a loader that restarts misses at most one.
const redialAfter = 500 * time.Millisecond

// loader is the connection to the loader beside an engine.
type loader struct {
	name    core.HostID
	address string
	up      bool
	dialing bool
	// nextDial is the earliest time of the next dial.
	nextDial core.Time
	holdings *core.Holdings
	// lastMessageAt is when the loader was last known to be alive, by a report of its own
	// or by a digest. holdingsAt is when the last holdings arrived; durations in them count
	// from then.
	lastMessageAt, holdingsAt core.Time
	// directAt is when the loader last sent a report itself, or connected.
	directAt core.Time
	// expectedSince is since when the loader has been asked for direct reports. It is valid
	// only while lastDemand expects them.
	expectedSince core.Time
	// digested is what this router has sent to the others of the loader's counts.
	digested digested
	// countedAt is when the engine's counts were taken, with the holdings or alone.
	countedAt core.Time
	// ownRequests is how many of this router's requests ran at the engine when the counts
	// were taken.
	ownRequests int
	// ownUnread is how many of those had no event yet.
	ownUnread int
	// specHashSent is the hash of the engine's configuration that was last announced on
	// this connection, 0 before. specRequested is set once the loader has asked for the
	// configuration.
	specHashSent  uint64
	specRequested bool
	// originsTold is set once the loader has been told, on this connection, the origins of streams
	// that it is to keep: its process may be a new one.
	originsTold bool
	// engines are the backend servers beside the loader, including unlisted ones.
	engines []*backend
	// lastDemand is the last Demand, sent at demandSentAt. demandCheckedAt is when it was
	// last checked whether another is due. dirty is set after a change that the loader must
	// receive at once.
	lastDemand                    core.Demand
	demandSentAt, demandCheckedAt core.Time
	dirty                         bool
	// storeLoadSeq is the sequence number of the last store load result that was processed.
	storeLoadSeq int
	// storeLoad is the load from the weight store that the engine executes.
	storeLoad observedStoreLoad
}

// connect assigns an engine to the loader beside it, which checkLoaders dials.
func (r *Router) connect(b *backend) {
	if r.engine(b.Service) == nil {
		return
	}
	address, err := netip.ParseAddrPort(b.Address)
	if err != nil {
		return // platform.DecodeBackend rejects such entries
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

// forget removes a backend server from all lists.
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
		if found == nil || found.announced.draining() || !b.announced.draining() && b.Instance > found.Instance {
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

// sortedLoaders returns all loaders sorted by name. The caller must not modify the slice.
func (r *Router) sortedLoaders() []*loader {
	if r.loaderList == nil {
		byName := func(a, b *loader) int { return cmp.Compare(a.name, b.name) }
		r.loaderList = slices.SortedFunc(maps.Values(r.loaders), byName)
	}
	return r.loaderList
}

func (r *Router) checkLoader(l *loader) {
	// Guards against a connection that fails silently: the loader would seem to hold what
	// it held minutes ago, and wants would not reach it. Its heartbeats stop, so that it is
	// dialled again.
	if silent := r.now.Sub(max(l.directAt, r.directExpectedSince(l))); l.up && silent > holdingsMaxAge {
		r.log(StateChange, "loader is silent; dialling it again", slog.String("loader", string(l.name)),
			slog.String("silent", silent.String()))
		r.emit(Hangup{Loader: l.name})
		l.up, l.dialing = false, false
		r.gate.Disconnected(l.name)
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
	l.up, l.dialing, l.specHashSent, l.specRequested, l.dirty, l.lastMessageAt, l.directAt = true, false, 0, false, true, r.now, r.now
	l.originsTold = false
	l.lastDemand = core.Demand{}
	r.log(StateChange, "loader connected", slog.String("loader", string(name)))
	r.sendLimits(l)
}

func (r *Router) loaderDown(name core.HostID) {
	l := r.loaders[name]
	if l == nil {
		return
	}
	r.gate.Disconnected(name)
	if l.up {
		r.log(StateChange, "loader lost", slog.String("loader", string(name)))
	}
	l.up, l.dialing, l.nextDial = false, false, r.now.Add(redialAfter)
}

func (r *Router) loaderReported(name core.HostID, holdings core.Holdings) {
	l := r.loaders[name]
	if l == nil {
		return
	}
	if (fleet.Incarnation{Born: holdings.Born}).Compare(l.incarnation()) < 0 {
		r.log(StateChange, "report on an earlier incarnation of an engine ignored", slog.String("loader", string(name)), slog.Int64("born", holdings.Born))
		return
	}
	if holdings.NearAsBefore && l.holdings != nil {
		holdings.InMemory, holdings.OnDisk = l.holdings.InMemory, l.holdings.OnDisk
	}
	if b := r.engineAt(l); b != nil {
		r.recountStoreLoads(b.Service, l.holdings, &holdings)
	}
	l.holdings, l.lastMessageAt, l.holdingsAt, l.countedAt, l.directAt = &holdings, r.now, r.now, r.now, r.now
	for _, b := range l.engines {
		if b.unlistedAt == 0 && b.Instance == holdings.Instance && r.observeIncarnation(b, l.incarnation()) {
			b.aliveAt = r.now
			if holdings.Leaving {
				r.noteDraining(b, byLoader)
			}
			if holdings.Ended {
				r.serverEnded(b, "its loader finds it gone")
			}
		}
		r.reindex(b)
	}
	if !l.originsTold && l.keepsOrigins() {
		l.originsTold = true
		if r.anySeveral() {
			r.tellOrigins(l)
		}
	}
	if b := r.engineAt(l); b != nil {
		l.ownRequests, l.ownUnread = len(b.sent), b.queue.Len()
		b.cache.RetainModels(func(model string) bool { has, _ := r.loaded(b, model, ""); return has })
		r.learnStoreLoad(b, l)
		r.recheckWaitsFor(b)
	}
}

// loaderCountsReported processes an engine's counts. They do not affect waiting requests,
// so that queues are not checked: in a large fleet most messages are of this kind.
func (r *Router) loaderCountsReported(name core.HostID, counts core.Counts) {
	l := r.loaders[name]
	if l == nil || l.holdings == nil {
		return
	}
	l.lastMessageAt, l.directAt = r.now, r.now
	r.applyCounts(l, counts, r.now)
}

// applyCounts records an engine's counts as of a time, unless newer ones are known.
func (r *Router) applyCounts(l *loader, counts core.Counts, at core.Time) {
	if at < l.countedAt {
		return
	}
	l.holdings.SetCounts(counts)
	l.countedAt = at
	if b := r.engineAt(l); b != nil {
		if l.incarnation().Compare(b.Incarnation) == 0 {
			b.aliveAt = max(b.aliveAt, at)
		}
		l.ownRequests = b.sentBy(at)
		l.ownUnread = min(l.ownRequests, b.queue.Len())
	}
}

// Relays returns at most the given number of connected loaders, chosen at random, that
// relay news to other routers.
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

// Routers returns the number of routers, including this one, as far as known.
func (r *Router) Routers() int { return r.routers() }

// assumedRouters is the number of routers that a router assumes while it reaches no loader that
// could tell it: more than the largest fleet has.
const assumedRouters = 512

// sharers returns the number of routers among which the limit of a server is divided while no
// loader counts: the largest known lately, since a router that has ended may have sent its part,
// and a restarted loader counts only those that have connected to it.
func (r *Router) sharers() int {
	if known := r.retryShare.Routers(r.now); known > 0 {
		return known
	}
	if len(r.loaders) > 0 {
		return assumedRouters
	}
	return r.routers()
}

// routers returns the number of routers, as far as known: 1 before a loader has reported it. It is
// for estimates; for bounds over all routers see sharers. The result is cached within a step.
func (r *Router) routers() int {
	if r.routersStep == r.steps && r.knownRouters > 0 {
		return r.knownRouters
	}
	known := 1
	for _, l := range r.sortedLoaders() {
		if l.holdings != nil {
			known = max(known, l.holdings.Routers)
		}
	}
	r.routersStep, r.knownRouters = r.steps, known
	return known
}
