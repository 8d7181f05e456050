package router

import (
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/fleet"
	"nutmeglane.example/nutmeglane/internal/poison"
	"nutmeglane.example/nutmeglane/internal/quota"
	"nutmeglane.example/nutmeglane/internal/work"
)

const (
	// tickInterval is how often deadlines, waits and loaders are looked at. It
	// is far below the shortest objective in use (150 ms).
	tickInterval = 50 * time.Millisecond
)

// Options are fixed for the life of a router.
type Options struct {
	// Host is this router's name to loaders.
	Host core.HostID
	Zone core.Zone
	// Processor is this process's share of a processor, 0 if not told. The strongest
	// coordinates.
	Processor float64
	// LoaderPort is the port of the loader on each engine's host.
	LoaderPort int
	Bounds     fleet.Bounds
	// Seed of the spread of Retry-After.
	Seed uint64
}

// Router is the reducer. Create it with New.
type Router struct {
	opts Options
	now  core.Time
	out  []Effect
	rand *rand.Rand

	config   *fleet.Config
	routes   routeTable
	services map[string]*service
	backends map[string]*backend
	// byService groups backends; nil after a change of their set, until used.
	byService map[string][]*backend
	// byAddress lists them by address.
	byAddress map[string][]*backend
	// registryRead is set once the registry was read.
	registryRead bool
	// storeDown is since when the store does not answer, 0 while it does.
	storeDown core.Time
	// turnedAway is since when it does not answer this router, whomever else it answers;
	// 0 while it does.
	turnedAway core.Time
	// storeBack is when it last came back, 0 if it never was away.
	storeBack core.Time
	// storeHeard is when it last answered this router or, by its news, another.
	storeHeard core.Time

	loaders map[core.HostID]*loader
	// loaderList are they in the order of their names; nil after a change of the
	// set, until used. Each step goes through them.
	loaderList []*loader
	// steps counts the steps, knownRouters is routers as worked out in the step
	// routersAt.
	steps, routersAt uint64
	knownRouters     int
	requests         map[Key]*request
	waits            map[waitKey]*wait

	// limited are the servers that name a limit, in the order of their instances.
	limited []*backend

	lag lag
	// digests are the coordinator's words on all loads, in a large fleet.
	digests digests

	callers callers
	// heard is the newest configuration that was heard of.
	heard heardConfig
	// gate bounds what client accounts use, and accountLabels are the accounts that have
	// metrics of their own.
	gate          *quota.Gate
	accountLabels map[string]bool
	// quotaOrder is the order in which loaders are to keep the bounds; nil after a change of
	// the loaders, until used.
	quotaOrder []*loader

	// ledger is what is known of servers that ended while requests ran there.
	ledger *poison.Ledger
	// published is when this router last saw to it that a poison request is kept in
	// the platform's store.
	published map[core.Fingerprint]core.Time

	// stopAt is when the process ends, Never unless it is stopping.
	stopAt   core.Time
	nextTick core.Time
	nextPlan core.Time
}

// service is the state of one service.
type service struct {
	name   string
	budget budget
	// latency is the moving average over the servers of a plain service.
	latency time.Duration
	speed   speed
	// work is how fast its engines read, meanReading the moving average of the
	// time that a generation takes to be read.
	work        work.Speed
	meanReading time.Duration
	// rates are recent arrivals by model and adapter.
	rates map[modelKey]*rate
	// all are the arrivals for all models.
	all rate
	// firstArrival is when the first generation arrived in this process's life.
	firstArrival core.Time
	store        storeState
	// withoutLoader is set while no engine has a loader that answers.
	withoutLoader bool
	// busyUntil is until when models count as busy.
	busyUntil map[string]core.Time
	// spec is what loaders are to know of its engines, nil for a plain service.
	spec *core.EngineSpec
	// models is the index of engines by model.
	models map[string]*modelEngines
	// needs are the copies of models, as worked out last.
	needs map[string]copyNeed
}

// modelKey names a model, or an adapter of it.
type modelKey struct{ model, adapter string }

// New returns a router that knows nothing yet.
func New(opts Options) *Router {
	return &Router{
		opts:     opts,
		rand:     rand.New(rand.NewPCG(opts.Seed, opts.Seed)),
		routes:   routeTable{},
		services: map[string]*service{},
		backends: map[string]*backend{}, byAddress: map[string][]*backend{},
		loaders:  map[core.HostID]*loader{},
		requests: map[Key]*request{},
		waits:    map[waitKey]*wait{},
		callers:  newCallers(),
		gate:     quota.NewGate(quotaBounds(opts.Bounds)),
		ledger:   poison.New(), published: map[core.Fingerprint]core.Time{},
		stopAt: core.Never,
	}
}

// Step handles an event. The effects are valid until the next step.
func (r *Router) Step(now core.Time, event Event) []Effect {
	r.now, r.out = now, r.out[:0]
	r.steps++
	switch e := event.(type) {
	case Tick:
	case ConfigRead:
		r.setConfig(e.Config)
	case ConfigAnnounced:
		r.configHeard(e.Version)
	case ConfigConfirmed:
		r.configConfirmed(e.AsOf)
	case BackendsRead:
		r.readBackends(e.Backends)
	case StoreRestored:
		r.storeWentBack(e.To)
	case BackendsRestored:
		r.restoreBackends(e.Backends)
	case BackendsChanged:
		r.changeBackends(e.Written, e.Removed)
	case PoisonReported:
		r.poisonHeard(e.News)
	case LiftPoison:
		r.lift(e.Fingerprint)
	case NewsReceived:
		r.changedByNews(e.News)
	case StoreState:
		r.ownRead(e.Reachable)
	case Stopping:
		r.stop(e.Until)
	case LoaderUp:
		r.loaderUp(e.Loader)
	case LoaderDown:
		r.loaderDown(e.Loader)
	case LoaderReported:
		r.loaderSaid(e.Loader, e.Holdings)
	case LoaderCountsReported:
		r.loaderCounted(e.Loader, e.Counts)
	case DigestReceived:
		r.digestHeard(e.Digest)
	case LoaderSpecRequested:
		r.loaderWantsSpec(e.Loader)
	case LoaderAnsweredQuota:
		r.gate.Hear(now, e.Loader, e.Answer)
	case LoaderAnsweredLimit:
		r.limitTold(e)
	case Arrived:
		r.judge(e.Key, e.Request, now)
	case AttemptFailed:
		r.attemptFailed(e)
	case Stalled:
		r.stalled(e)
	case Answered:
		r.answered(e)
	case FirstEvent:
		r.firstEvent(e)
	case Done:
		r.done(e)
	case CallerLeft:
		r.gone(e.Key)
	case CPUWaitMeasured:
		r.lagged(e)
	}
	if now >= r.nextTick {
		r.nextTick = now.Add(tickInterval)
		r.tick()
	}
	r.settleQuotas()
	r.tellLoaders()
	r.emit(Wake{At: r.nextTick})
	return r.out
}

func (r *Router) emit(effect Effect) { r.out = append(r.out, effect) }

func (r *Router) log(about Subject, message string, attrs ...slog.Attr) {
	r.emit(Log{About: about, Message: message, Attrs: attrs})
}

// Ready reports whether the router can judge requests: it knows a
// configuration and has read the registry.
func (r *Router) Ready() bool { return r.config != nil && r.registryRead }

// Limits returns what clients may send; zero before a configuration is known.
func (r *Router) Limits() fleet.Limits {
	if r.config == nil {
		return fleet.Limits{}
	}
	return r.config.Limits
}

// ConfigVersion is the version of the configuration in force, 0 without one.
func (r *Router) ConfigVersion() int64 {
	if r.config == nil {
		return 0
	}
	return r.config.Version
}

// SetBounds replaces the bounds, after a change of the settings.
func (r *Router) SetBounds(bounds fleet.Bounds) {
	r.opts.Bounds = bounds
	r.gate.SetBounds(quotaBounds(bounds))
}

func (r *Router) setConfig(config *fleet.Config) {
	// Guards against going back: a read that was under way during a change may
	// deliver the older version after the newer one.
	if r.config != nil && config.Version <= r.config.Version {
		return
	}
	r.config = config
	r.routes = newRouteTable(config)
	for name := range config.Services {
		r.service(name)
	}
	r.setSpecs()
	r.setQuotas(config.Accounts)
	r.setAccounts(config.Accounts)
	r.log(StateChange, "configuration in force", slog.Int64("version", config.Version),
		slog.Int("routes", len(config.Routes)), slog.Int("services", len(config.Services)))
	r.pumpAll()
}

func (r *Router) service(name string) *service {
	s := r.services[name]
	if s == nil {
		s = &service{name: name, rates: map[modelKey]*rate{}, speed: newSpeed(), busyUntil: map[string]core.Time{}, models: map[string]*modelEngines{}, needs: map[string]copyNeed{}}
		r.services[name] = s
	}
	return s
}

func (r *Router) engine(service string) *fleet.Engine {
	if r.config == nil || r.config.Services[service] == nil {
		return nil
	}
	return r.config.Services[service].Engine
}

// serversOf returns the known servers of a service in a fixed order.
func (r *Router) serversOf(service string) []*backend {
	if r.byService == nil {
		r.byService = map[string][]*backend{}
		for _, instance := range slices.Sorted(maps.Keys(r.backends)) {
			b := r.backends[instance]
			r.byService[b.Service] = append(r.byService[b.Service], b)
		}
	}
	return r.byService[service]
}

func (r *Router) tick() {
	r.dropUnlisted()
	r.checkDigests()
	r.checkLoaders()
	r.sendDigest()
	r.askConfig()
	r.checkHeld()
	r.tickQuotas()
	r.checkRequests()
	r.tellLimited()
	if r.now >= r.nextPlan {
		r.nextPlan = r.now.Add(planInterval)
		r.forgetPoison()
		r.plan()
	}
	r.pumpAll()
}
