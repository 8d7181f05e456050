package router

import (
	"log/slog"
	"maps"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/fleet"
	"nutmeglane.example/nutmeglane/internal/work"
)

const (
	// relistWithin is how long after the store's return servers that lapsed
	// meanwhile may take to register again: the platform promises two seconds.
	relistWithin = 2200 * time.Millisecond
	// redialAfter is the pause before a loader is dialled again.
	redialAfter = 500 * time.Millisecond
	// forgetAfter is how long an unlisted server is kept for the requests that
	// still run there: above the longest route timeout in use.
	forgetAfter = 30 * time.Second
)

// loader is the connection to the loader beside an engine.
type loader struct {
	name    core.HostID
	address string
	up      bool
	dialing bool
	// nextDial is the earliest next dial.
	nextDial core.Time
	holdings *core.Holdings
	heardAt  core.Time
	// countedAt is when the engine's counts came, with the holdings or alone.
	countedAt core.Time
	// ownThen is how many requests of ours ran there when the holdings came.
	ownThen int
	// ownUnread of them had no event yet.
	ownUnread int
	// specSent is set once the engine's configuration was sent on this
	// connection.
	specSent bool
	toldAt   core.Time
	dirty    bool
	// storeLoads is the sequence of the last store load seen.
	storeLoads int
}

func (r *Router) readBackends(list map[string]fleet.Backend) {
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
	for _, instance := range slices.Sorted(maps.Keys(written)) {
		r.writeBackend(written[instance])
	}
	for _, instance := range slices.Sorted(maps.Keys(removed)) {
		r.removeBackend(instance)
	}
	r.pumpAll()
}

func (r *Router) writeBackend(entry fleet.Backend) {
	b := r.backends[entry.Instance]
	if b == nil {
		b = &backend{sent: map[Key]*attempt{}, cache: work.NewCache(r.kvTokens(entry.Service)), pace: 1}
		r.backends[entry.Instance] = b
		r.byService = nil
		b.Backend = entry
		r.replaceInstances(b)
		r.log(Belief, "backend server found", b.attrs("slots", entry.Slots, "draining", entry.Draining)...)
	} else if entry.Draining != b.Draining {
		r.log(Belief, "backend server changed state", b.attrs("draining", entry.Draining)...)
	}
	if b.unlistedAt != 0 {
		r.log(Belief, "backend server is back in the registry", b.attrs("after", r.now.Sub(b.unlistedAt).String())...)
	}
	if entry.Service != b.Service {
		r.byService = nil
	}
	b.Backend, b.lapsed = entry, false
	if !b.replaced {
		b.unlistedAt = 0
	}
	r.connect(b)
}

// kvTokens is the size of an engine's KV cache, 0 at plain services.
func (r *Router) kvTokens(service string) int {
	if engine := r.engine(service); engine != nil {
		return engine.KVTokens
	}
	return 0
}

// replaceInstances takes other instances at the address of a new one for gone.
//
// It guards against a server that crashed and started again: its old entry
// stays for some heartbeats, and may come once more with a late one. Requests
// for the old instance would be refused by the new one.
func (r *Router) replaceInstances(newest *backend) {
	for _, instance := range slices.Sorted(maps.Keys(r.backends)) {
		other := r.backends[instance]
		if other == newest || other.Address != newest.Address || other.replaced {
			continue
		}
		other.replaced = true
		if other.unlistedAt == 0 {
			r.unlist(other, "its address has another instance")
		}
	}
}

// removeBackend drops a server that the registry dropped.
//
// It guards against entries that lapsed while the store was away: the servers
// live, but could not renew. All of them would be dropped at once and every
// request be refused. They are kept for as long as they may take to register
// again.
func (r *Router) removeBackend(instance string) {
	b := r.backends[instance]
	if b == nil || b.unlistedAt != 0 {
		return
	}
	if r.mayRelist() && !r.draining(b) {
		b.lapsed = true
		r.log(Belief, "registry entry lapsed while the store was away; kept for now", b.attrs()...)
		return
	}
	r.unlist(b, "removed from the registry")
}

func (r *Router) mayRelist() bool {
	return r.storeDown != 0 || r.storeBack != 0 && r.now.Sub(r.storeBack) < relistWithin
}

func (r *Router) unlist(b *backend, why string) {
	b.unlistedAt = r.now
	r.log(Belief, "backend server is gone", b.attrs("why", why, "requests", len(b.sent))...)
}

// dropUnlisted forgets servers that left, once nothing runs there.
func (r *Router) dropUnlisted() {
	relist := r.mayRelist()
	for instance, b := range r.backends {
		if b.lapsed && !relist && b.unlistedAt == 0 {
			b.lapsed = false
			r.unlist(b, "did not register again after the store came back")
		}
		if b.unlistedAt == 0 || len(b.sent) > 0 && r.now.Sub(b.unlistedAt) < forgetAfter {
			continue
		}
		delete(r.backends, instance)
		r.byService = nil
	}
}

func (r *Router) setStore(reachable bool) {
	switch {
	case !reachable && r.storeDown == 0:
		r.storeDown = r.now
		r.log(Belief, "platform store does not answer; working from what is known",
			slog.Int("backends", len(r.backends)))
	case reachable && r.storeDown != 0:
		r.log(Belief, "platform store answers again", slog.String("away", r.now.Sub(r.storeDown).String()))
		r.storeDown, r.storeBack = 0, r.now
	}
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
		r.loaderNames = nil
	}
	b.loader = l
}

// engineAt returns the listed engine beside a loader, nil if there is none.
func (r *Router) engineAt(l *loader) *backend {
	var found *backend
	for _, b := range r.backends {
		if b.loader != l || b.unlistedAt != 0 {
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
	for _, name := range r.sortedLoaders() {
		l := r.loaders[name]
		if r.engineAt(l) == nil && !r.servesAnyone(l) {
			delete(r.loaders, name)
			r.loaderNames = nil
			r.emit(Hangup{Loader: name})
			continue
		}
		r.checkLoader(l)
	}
}

// sortedLoaders are the names of all loaders, sorted. The caller must not change
// the slice.
func (r *Router) sortedLoaders() []core.HostID {
	if r.loaderNames == nil {
		r.loaderNames = slices.Sorted(maps.Keys(r.loaders))
	}
	return r.loaderNames
}

func (r *Router) servesAnyone(l *loader) bool {
	for _, b := range r.backends {
		if b.loader == l {
			return true
		}
	}
	return false
}

func (r *Router) checkLoader(l *loader) {
	// Guards against a connection that went silent: the loader would seem to
	// hold what it held minutes ago, and wants would reach nobody. Its
	// heartbeats stop, so it is dialled anew.
	if l.up && r.now.Sub(l.heardAt) > holdingsFresh {
		r.log(Belief, "loader is silent; dialling it again", slog.String("loader", string(l.name)),
			slog.String("silent", r.now.Sub(l.heardAt).String()))
		r.emit(Hangup{Loader: l.name})
		l.up, l.dialing = false, false
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
	l.up, l.dialing, l.specSent, l.dirty, l.heardAt = true, false, false, true, r.now
	r.log(Belief, "loader connected", slog.String("loader", string(name)))
}

func (r *Router) loaderDown(name core.HostID) {
	l := r.loaders[name]
	if l == nil {
		return
	}
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
	l.holdings, l.heardAt, l.countedAt = &holdings, r.now, r.now
	if b := r.engineAt(l); b != nil {
		l.ownThen, l.ownUnread = len(b.sent), b.queue.Len()
		b.cache.Keep(func(model string) bool { has, _ := r.loaded(b, model, ""); return has })
		r.learnStoreLoad(b, l)
	}
	r.pumpAll()
}

// loaderCounted takes an engine's counts. They change nothing that is waited for,
// so that queues are not looked at: of a large fleet's messages these are most.
func (r *Router) loaderCounted(name core.HostID, counts core.Counts) {
	l := r.loaders[name]
	if l == nil || l.holdings == nil {
		return
	}
	l.holdings.Running, l.holdings.Waiting, l.holdings.Unread = counts.Running, counts.Waiting, counts.Unread
	l.countedAt = r.now
	if b := r.engineAt(l); b != nil {
		l.ownThen, l.ownUnread = len(b.sent), b.queue.Len()
	}
}

// routers is the number of routers that share bounds, as far as known.
func (r *Router) routers() int {
	known := 1
	for _, l := range r.loaders {
		if l.holdings != nil {
			known = max(known, l.holdings.Routers)
		}
	}
	return known
}

// attrs are the attributes that lines on a server have, and more.
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
