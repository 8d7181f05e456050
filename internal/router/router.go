package router

import (
	"cmp"
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/fleet"
	"nutmeglane.example/nutmeglane/internal/limit"
	"nutmeglane.example/nutmeglane/internal/origin"
	"nutmeglane.example/nutmeglane/internal/poison"
	"nutmeglane.example/nutmeglane/internal/quota"
	"nutmeglane.example/nutmeglane/internal/retrybudget"
	"nutmeglane.example/nutmeglane/internal/work"
)

const (
	// tickInterval is the interval at which deadlines, waits and loaders are checked. It is
	// far below the shortest objective in use (150 ms).
	tickInterval = 50 * time.Millisecond
)

// Options are fixed for the lifetime of a router.
type Options struct {
	// Host is the name under which loaders know this router.
	Host core.HostID
	Zone core.Zone
	// Processor is this process's share of a processor, 0 if unknown. The router with the
	// largest share coordinates.
	Processor float64
	// HedgeOverlap is how long two servers may work on a request, 0 for hedgeOverlap.
	HedgeOverlap time.Duration
	// LoaderPort is the port of the loader on each engine's host.
	LoaderPort int
	Bounds     fleet.Bounds
	// Crowding are the switches of the protection of engines from overload.
	Crowding CrowdingOptions
	// Seed seeds the random spread of Retry-After.
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
	// byService groups backends by service. It is nil after a change of the set and rebuilt
	// on use.
	byService map[string][]*backend
	// byAddress groups backends by address.
	byAddress map[string][]*backend
	// registryRead is set once the registry has been read.
	registryRead bool
	// evacuated are the zones that operators have evacuated, with when this router learned it.
	evacuated map[core.Zone]core.Time
	// storeDownSince is since when the store is considered unreachable, 0 while it is
	// reachable. A failed read of this router's own sets it; news that another router has
	// read the store clears it.
	storeDownSince core.Time
	// ownReadsFailSince is when this router's own reads of the store began to fail, whether
	// or not other routers can read it; 0 while they succeed.
	ownReadsFailSince core.Time
	// storeBackAt is when the store last became reachable again, 0 if it never was
	// unreachable.
	storeBackAt core.Time
	// registryAsOf is the latest time at which the registry is known to have been as it is known here.
	registryAsOf core.Time
	// registryGapAt is when the registry was last read as a whole after the first time, 0 before: what
	// came and went in between is not known.
	registryGapAt core.Time
	// awaitRegistry are the requests that wait for a read of the registry, in order of arrival.
	awaitRegistry []Key
	// storeAnsweredAt is when the store last answered this router or, according to received
	// news, another router.
	storeAnsweredAt core.Time

	loaders map[core.HostID]*loader
	// loaderList holds the loaders sorted by name, since each step iterates over them. It
	// is nil after a change of the set and rebuilt on use.
	loaderList []*loader
	// steps counts the steps. knownRouters caches the result of routers, computed in step
	// routersStep.
	steps, routersStep uint64
	knownRouters       int
	requests           map[Key]*request
	waits              map[waitKey]*wait

	// limited holds the servers that name a limit, sorted by instance.
	limited []*backend
	// departed are servers that were forgotten although what they announced still applies.
	departed map[string]departed
	// gone are servers that left the registry lately and were forgotten.
	gone map[string]goneServer

	cpuWait cpuWait
	// digests is the state of the coordinator's digests of all loads, used in a large
	// fleet.
	digests digests

	callers callers
	// announced is the newest configuration version that another process announced.
	announced announcedConfig
	// gate enforces the quotas of client accounts. accountLabels holds the accounts that
	// have metrics of their own.
	gate          *quota.Gate
	accountLabels map[string]bool
	// quotaOrder is the order of preference of the loaders that keep the quotas. It is nil
	// after a change of the loaders and rebuilt on use.
	quotaOrder []*loader

	// answerEnds counts the ways in which servers' answers ended.
	answerEnds map[answerEndKey]int

	// ledger records servers that ended while requests ran on them.
	ledger *poison.Ledger
	// published is when this router last made sure that a poison request is recorded in the
	// platform's store.
	published map[core.Fingerprint]core.Time
	// harmless are the parts that servers wrote on here and that other routers may not know
	// to be harmless.
	harmless map[core.Fingerprint]*harmlessTell
	// foundParts are the poison parts that were found here and that routers without answers of the
	// service may not have found, with for how many ticks the report has been due.
	foundParts map[core.Fingerprint]int

	// streamLives are the longest times within which callers may take up streams, by service.
	streamLives map[string]time.Duration
	// releasesChanged is set if servers' releases are to be checked with the next tick.
	releasesChanged bool
	// origins are the streams that this router began, with their releases.
	origins *origin.Table

	// retryShare is this router's share of the slack of the budgets of retries.
	retryShare *retrybudget.Share
	// withUnread are the servers that may not have read all attempts that were left there.
	withUnread map[*backend]struct{}
	// retryPart is this router's part of the budgets of retries as last logged.
	retryPart retryPart
	// startedAt is when the first step was made.
	startedAt core.Time

	// stopAt is when the process ends, Never unless it is stopping.
	stopAt core.Time
	// stoppingSince is when the signal to stop may have come, 0 before.
	stoppingSince core.Time
	nextTick      core.Time
	nextPlan      core.Time
}

// service is the state of one service.
type service struct {
	name string
	// budget is this router's budget of retries.
	budget *retrybudget.Budget
	// retries counts the retries since this process started.
	retries retryCounts
	// backoffRetries schedules the retries of callers that were refused because all servers
	// want a backoff.
	backoffRetries limit.RetrySchedule
	// latency is the moving average over all servers of a plain service, streaming that of the time
	// from the first event of a stream to its end.
	latency, streaming time.Duration
	speed              speed
	// work estimates how fast the engines read prompts. meanReading is the moving average
	// of the time that reading a prompt takes.
	work        work.Speed
	meanReading time.Duration
	// rates holds the arrival rates by model and adapter.
	rates map[modelKey]*rate
	// ratesPrunedAt is when the adapters were last removed from rates that are not called any more.
	ratesPrunedAt core.Time
	// all is the arrival rate for all models together.
	all rate
	// firstArrival is when this process received its first generation request.
	firstArrival core.Time
	store        storeState
	// withoutLoader is set while no engine has a loader that answers.
	withoutLoader bool
	// busyUntil is the time until which each model counts as busy.
	busyUntil map[string]core.Time
	// releases is what is known of its servers' releases.
	releases releaseHistory
	// crowding are the switches in force for it, set with each configuration.
	crowding CrowdingOptions
	// budgetObjective is the shortest objective of the routes to a plain service whose servers
	// get budgets, 0 for others.
	budgetObjective time.Duration
	// spec is the configuration of its engines that loaders receive, nil for a plain
	// service.
	spec *core.EngineSpec
	// models indexes engines by model.
	models map[string]*modelEngines
	// needs caches the number of copies that each model needs.
	needs map[string]copyNeed
	// copies is the state of its copy plan.
	copies copyPlanState
}

// modelKey identifies a model, or an adapter of it.
type modelKey struct{ model, adapter string }

// New returns a router without configuration or known backend servers.
func New(opts Options) *Router {
	opts.HedgeOverlap = cmp.Or(opts.HedgeOverlap, hedgeOverlap)
	return &Router{
		opts:     opts,
		rand:     rand.New(rand.NewPCG(opts.Seed, opts.Seed)),
		routes:   routeTable{},
		services: map[string]*service{},
		backends: map[string]*backend{}, byAddress: map[string][]*backend{}, evacuated: map[core.Zone]core.Time{},
		loaders:  map[core.HostID]*loader{},
		requests: map[Key]*request{},
		waits:    map[waitKey]*wait{}, answerEnds: map[answerEndKey]int{},
		callers: newCallers(),
		gate:    quota.NewGate(quotaBounds(opts.Bounds)),
		ledger:  poison.New(), published: map[core.Fingerprint]core.Time{}, harmless: map[core.Fingerprint]*harmlessTell{}, foundParts: map[core.Fingerprint]int{}, departed: map[string]departed{},
		gone:    map[string]goneServer{},
		origins: origin.NewTable(maxOrigins),
		stopAt:  core.Never, withUnread: map[*backend]struct{}{},
	}
}

// Step handles an event. The returned effects are valid until the next step.
func (r *Router) Step(now core.Time, event Event) []Effect {
	r.now, r.out = now, r.out[:0]
	if r.steps == 0 {
		r.startedAt, r.retryShare = now, r.newRetryShare(r.opts.Bounds)
	}
	r.steps++
	switch e := event.(type) {
	case Tick:
	case ConfigRead:
		r.setConfig(e.Config)
	case ConfigAnnounced:
		r.configAnnounced(e.Version)
	case ConfigConfirmed:
		r.configConfirmed(e.AsOf)
	case RegistryConfirmed:
		r.registryConfirmed(e.AsOf)
	case BackendsRead:
		r.readBackends(e.Backends)
	case StoreRestored:
		r.storeRestored(e.To)
	case BackendsRestored:
		r.restoreBackends(e.Backends)
	case BackendsChanged:
		r.releasesPassed(e.Passed)
		r.changeBackends(e.Written, e.Removed)
	case EvacuationsRead:
		r.evacuationsRead(e.Zones)
	case EvacuationsRestored:
		r.evacuationsRestored(e.Zones)
	case EvacuationsChanged:
		r.changeEvacuations(e.Zones)
	case PoisonReported:
		r.poisonReported(e.News)
	case LiftPoison:
		r.liftPoison(e.Fingerprint)
	case NewsReceived:
		r.applyNews(e.News)
	case StoreState:
		r.ownStoreRead(e.Reachable)
	case Stopping:
		r.stop(e)
	case LoaderUp:
		r.loaderUp(e.Loader)
	case LoaderDown:
		r.loaderDown(e.Loader)
	case LoaderReported:
		r.loaderReported(e.Loader, e.Holdings)
	case LoaderCountsReported:
		r.loaderCountsReported(e.Loader, e.Counts)
	case DigestReceived:
		r.digestReceived(e.Digest)
	case LoaderSpecRequested:
		r.loaderSpecRequested(e.Loader)
	case LoaderAnsweredQuota:
		r.gate.HandleAnswer(now, e.Loader, e.Answer)
	case LoaderAnsweredLimit:
		r.limitAnswered(e)
	case LoaderAnsweredOrigin:
		r.originAnswered(e)
	case ReleasesNoted:
		r.releasesNoted(e.Notes)
	case Arrived:
		r.admit(e.Key, e.Request, now)
	case AttemptFailed:
		r.attemptFailed(e)
	case Stalled:
		r.stalled(e)
	case Resumed:
		r.resumed(e)
	case Answered:
		r.answered(e)
	case ServerAnnounced:
		r.serverAnnounced(e)
	case DrainingReported:
		r.drainingReported(e.News)
	case FirstEvent:
		r.firstEvent(e)
	case Done:
		r.done(e)
	case CallerLeft:
		r.callerLeft(e.Key)
	case CPUWaitMeasured:
		r.cpuWaitMeasured(e)
	}
	if now >= r.nextTick {
		r.nextTick = now.Add(tickInterval)
		r.tick()
	}
	r.applyQuotaDecisions()
	r.sendDemands()
	r.emit(Wake{At: r.nextTick})
	return r.out
}

func (r *Router) emit(effect Effect) { r.out = append(r.out, effect) }

func (r *Router) log(about Subject, message string, attrs ...slog.Attr) {
	r.emit(Log{About: about, Message: message, Attrs: attrs})
}

// Ready reports whether the router can handle requests: it has a configuration and has read
// the registry.
func (r *Router) Ready() bool { return r.config != nil && r.registryRead }

// Limits returns the limits on what clients may send, zero before a configuration is known.
func (r *Router) Limits() fleet.Limits {
	if r.config == nil {
		return fleet.Limits{}
	}
	return r.config.Limits
}

// ConfigVersion returns the version of the configuration in force, 0 without one.
func (r *Router) ConfigVersion() int64 {
	if r.config == nil {
		return 0
	}
	return r.config.Version
}

// SetBounds replaces the bounds after a change of the settings.
func (r *Router) SetBounds(bounds fleet.Bounds) {
	r.setRetryBounds(bounds)
	r.opts.Bounds = bounds
	r.gate.SetBounds(quotaBounds(bounds))
}

func (r *Router) setConfig(config *fleet.Config) {
	// Guards against reverting to an older version: a read that was in progress during a
	// change may deliver the older version after the newer one.
	if r.config != nil && config.Version <= r.config.Version {
		return
	}
	r.config = config
	r.routes = newRouteTable(config)
	for name := range config.Services {
		r.service(name)
	}
	r.setStreamLives()
	r.setCrowding()
	r.setSpecs()
	r.setQuotas(config.Accounts)
	r.setAccounts(config.Accounts)
	r.log(StateChange, "configuration in force", slog.Int64("version", config.Version),
		slog.Int("routes", len(config.Routes)), slog.Int("services", len(config.Services)))
	r.refitServers()
	r.dropRemoved()
	r.recheckAllWaits()
}

func (r *Router) service(name string) *service {
	s := r.services[name]
	if s == nil {
		s = &service{name: name, budget: retrybudget.New(retryBounds(r.opts.Bounds)), rates: map[modelKey]*rate{}, speed: newSpeed(), busyUntil: map[string]core.Time{}, models: map[string]*modelEngines{}, needs: map[string]copyNeed{}}
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

// serversOf returns the known servers of a service, sorted by instance.
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
	r.requestConfig()
	r.checkHeld()
	r.checkReleases()
	r.tickQuotas()
	r.checkRequests()
	r.expireBudgets()
	r.expireUnread()
	r.reportSilentServers()
	r.updateRetryShare()
	r.logLimitedSends()
	r.tellHarmless()
	r.tellAnswered()
	r.findPoison()
	if r.now >= r.nextPlan {
		r.nextPlan = r.now.Add(planInterval)
		r.expirePoison()
		r.plan()
	}
	r.recheckAllWaits()
}
