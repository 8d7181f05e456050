package loader

import (
	"log/slog"
	"slices"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/fleet"
	"nutmeglane.example/nutmeglane/internal/limit"
	"nutmeglane.example/nutmeglane/internal/origin"
	"nutmeglane.example/nutmeglane/internal/poison"
	"nutmeglane.example/nutmeglane/internal/quota"
)

const (
	// HeartbeatInterval is the time between two heartbeats to a router.
	HeartbeatInterval = time.Second
	// minCountsInterval is the minimum time between two messages with counts, about the
	// time that an engine takes to read a long prompt. At 250 ms, an engine that was
	// announced as idle received two long prompts before the next message.
	minCountsInterval = 100 * time.Millisecond
	// digestedCountsInterval is the same minimum in a large fleet, where few routers
	// receive counts directly but the coordinator receives those of all engines.
	digestedCountsInterval = 250 * time.Millisecond
	// intervalPerRouter is multiplied by the number of connected routers to get the
	// minimum time between two messages to all of them. It limits a loader to 125
	// messages a second. Each message costs both processes some 20 us and its bytes:
	// without a limit, 78 loaders sent 53,000 a second to 68 routers, which together had
	// 460 requests a second to route.
	intervalPerRouter = 8 * time.Millisecond
	// busyReadInterval and idleReadInterval are the pauses between two reports of an
	// engine with and without requests. Reading a report on the same host costs only the
	// two processes' time, about 0.3 ms.
	busyReadInterval = 100 * time.Millisecond
	idleReadInterval = 500 * time.Millisecond
	// finishReadInterval is the pause between reports while an order is due to end.
	finishReadInterval = 25 * time.Millisecond
	// overdueReadInterval is that pause once the order is overdue by more than
	// overdueAfter.
	overdueReadInterval = 100 * time.Millisecond
	overdueAfter        = 300 * time.Millisecond
	// orderRetryDelay is the pause after an order that was not accepted.
	orderRetryDelay = 30 * time.Millisecond
	// maxFailedReads is the number of failed reads in a row after which the engine
	// counts as down.
	maxFailedReads = 2
)

// Options configure a loader for its lifetime.
type Options struct {
	Host core.HostID
	// IdleAfter is how long after its last request a loaded model counts as idle.
	IdleAfter time.Duration
}

// Loader is the reducer. Create it with New.
type Loader struct {
	opts Options
	now  core.Time
	out  []Effect

	engine  engine
	routers map[core.HostID]*router
	// names are the connected routers' names, sorted, and connected are the routers in
	// the same order. Both are maintained because each step iterates over them: sorting
	// them for each want took two thirds of a loader's time with 27 routers.
	names     []core.HostID
	connected []*router
	// selected is the coordinator as selected in this step, once coordinatorSelected is
	// set.
	selected            core.HostID
	coordinatorSelected bool
	spec                *spec
	// nextSpecRequest is the earliest time of the next request for a newer engine
	// configuration. specRequests counts these requests.
	nextSpecRequest core.Time
	specRequests    int
	// newerSpecOffered is set while a router may have announced a newer engine
	// configuration.
	newerSpecOffered bool
	// specOffers counts the announcements of engine configurations by routers.
	specOffers int

	readPending  bool
	lastReadAt   core.Time
	nextRead     core.Time
	orderPending bool
	// acceptedAt is when the engine last accepted an order.
	acceptedAt core.Time
	// nextOrder is the earliest time of the next order after one that was not accepted.
	nextOrder core.Time
	// task is the model order that the engine is executing.
	task *task
	// startedAt is the time of the first step.
	startedAt core.Time
	// unanswered are the orders without an answer, oldest first. They may still arrive, also
	// in a later life of the engine.
	unanswered []sentOrder
	// withheldUntil is until when an order was withheld because of them.
	withheldUntil core.Time

	// keptSizes are the sizes of loaded models that the configuration in force does not
	// declare, or declares otherwise than when they were loaded.
	keptSizes map[string]size
	// loadedAt is when models were loaded while this process ran.
	loadedAt map[string]core.Time
	// retiring is when models were retired, that is, stopped taking requests.
	retiring   map[string]core.Time
	storeLoads int
	lastStore  *core.StoreLoadResult
	// ledger holds the server ends under poison requests that routers reported. Routers
	// that connect later receive them.
	ledger *poison.Ledger
	// quotas grants routers tokens of client accounts.
	quotas *quota.Granter
	// limits enforces the limits of servers that announce one.
	limits *limit.Limiter
	// budget is the engine's request-rate budget.
	budget engineBudget
	// serverBudgets are the budgets of plain services' servers, by instance.
	serverBudgets map[string]*serverBudget
	// origins are the releases that began streams.
	origins *origin.Table
	configs configRelay
	usage   usage
	merged  mergeCache
	// digested is set in a large fleet; see sendUpdates.
	digested bool
	// useSums are the uses of all routers by model and adapter.
	useSums   map[modelKey]*useSum
	announced announced
}

// engine is the loader's view of the engine.
type engine struct {
	// life is the engine's current life. Its instance is "" until a router or the engine
	// itself has reported it.
	life fleet.Incarnation
	// number counts the engine's lives that this process has seen. former is the instance of
	// the life before the present one, "" if there was none or its instance was not known.
	number int
	former string
	// report is the last report, nil before the first.
	report      *fleet.Report
	failedReads int
	// answered is set once the current life has answered. draining is set if its last
	// report said that it drains. ended is set once its port has refused connections
	// since.
	//
	// They guard against reporting an end by mistake: an engine that has only registered
	// does not listen yet, and an engine that replaces another did not refuse the
	// earlier connections.
	answered, draining, ended bool
	// instanceSince is when the instance last changed. A report that was requested before
	// may be one of the earlier instance.
	instanceSince core.Time
}

// New returns a loader without any state of the engine or routers.
func New(opts Options) *Loader {
	return &Loader{opts: opts, routers: map[core.HostID]*router{}, loadedAt: map[string]core.Time{}, keptSizes: map[string]size{}, retiring: map[string]core.Time{}, ledger: poison.New(), quotas: quota.NewGranter(), limits: limit.NewLimiter(), origins: origin.NewTable(maxOrigins), configs: configRelay{waiting: map[core.HostID]int64{}}, useSums: map[modelKey]*useSum{}, serverBudgets: map[string]*serverBudget{}}
}

// Step handles an event. The effects are valid until the next step.
func (l *Loader) Step(now core.Time, event Event) []Effect {
	l.now, l.out = now, l.out[:0]
	if l.startedAt == 0 {
		l.startedAt = now
	}
	l.merged.invalidate()
	l.coordinatorSelected = false
	l.logShareChanges()
	switch e := event.(type) {
	case Tick:
	case ReportRead:
		l.reportRead(e)
	case OrderDone:
		l.orderDone(e)
	case RouterUp:
		l.addRouter(e.Router)
		l.sendPoisonEnds(e.Router)
		l.sendLimits(e.Router)
	case RouterDown:
		l.dropRouter(e.Router)
		delete(l.configs.waiting, e.Router)
		l.log("router disconnected", slog.String("router", string(e.Router)))
	case RegistryNewsReceived:
		l.noteConfigVersion(e.Router, e.News.Config)
		l.forwardToOthers(e.Router, e.News)
		return l.out
	case ConfigRequested:
		l.handleConfigRequest(e.Router, e.Above)
		return l.out
	case ConfigReceived:
		l.handleConfig(e.Router, e.Config)
		return l.out
	case DigestReceived:
		l.forwardToPart(e.Router, e.Digest.Part, e.Digest.Parts, e.Digest)
		return l.out
	case ConfigSpreadReceived:
		l.handleConfig(e.Router, e.Spread.Config)
		l.forwardToPart(e.Router, e.Spread.Part, e.Spread.Parts, e.Spread.Config)
		return l.out
	case DrainingReceived:
		l.forwardToOthers(e.Router, e.News)
		return l.out
	case PoisonNewsReceived:
		l.ledger.AddNews(now, e.News)
		l.forwardToOthers(e.Router, e.News)
		return l.out
	case QuotaRequested:
		l.emit(SendQuota{Router: e.Router, Answer: *l.quotas.HandleRequest(now, e.Router, e.Request)})
		return l.out
	case LimitRequested:
		l.countMalformedFields(e.Request)
		l.handleLimitRequest(e)
		return l.out
	case OriginsTold:
		l.originsTold(e.News)
		return l.out
	case OriginAsked:
		l.originAsked(e.Router, e.Query)
		return l.out
	case DemandReceived:
		if before := l.handleDemand(e); !l.needsAction(before, e.Demand) {
			return l.out
		}
	}
	l.requestSpec()
	l.expireOrders()
	l.sendNextOrder()
	l.sendUpdates()
	l.renewBudget()
	l.advanceServerBudgets()
	l.scheduleRead()
	l.emit(Wake{At: l.nextWake()})
	return l.out
}

func (l *Loader) emit(effect Effect) { l.out = append(l.out, effect) }

func (l *Loader) log(message string, attrs ...slog.Attr) {
	l.emit(Log{Message: message, Attrs: attrs})
}

// handleDemand stores a router's demand and returns the previous one.
func (l *Loader) handleDemand(e DemandReceived) core.Demand {
	r := l.routers[e.Router]
	if r == nil {
		return core.Demand{}
	}
	if e.Demand.Processor > 0 {
		r.processor = e.Demand.Processor
	}
	if e.Demand.Spec.Hash != 0 {
		l.specOffers++
		r.spec, r.specOffer, l.newerSpecOffered = e.Demand.Spec, l.specOffers, true
	}
	if e.Demand.Engine != nil {
		l.setSpec(e.Demand.Engine, r.specOffer)
	}
	l.requestSpec()
	before := r.demand
	if e.Demand.Instance != before.Instance || e.Demand.Born != before.Born {
		l.updateInstance(fleet.Incarnation{Instance: e.Demand.Instance, Born: e.Demand.Born})
	}
	l.removeUses(before.Uses, r.demandAt)
	l.addUses(e.Demand.Uses)
	r.demand, r.demandAt = e.Demand, l.now
	return before
}

// forwardToOthers sends a router's message to all other routers.
func (l *Loader) forwardToOthers(from core.HostID, message core.Message) {
	others := slices.DeleteFunc(slices.Clone(l.names), func(name core.HostID) bool { return name == from })
	if len(others) > 0 {
		l.emit(Forward{Routers: others, Message: message})
	}
}

// forwardToPart sends a router's message to one part of the other routers, which are
// divided into parts.
func (l *Loader) forwardToPart(from core.HostID, part, parts int, message core.Message) {
	if parts <= 0 {
		return
	}
	var to []core.HostID
	for i, name := range l.names {
		if i%parts == part && name != from {
			to = append(to, name)
		}
	}
	if len(to) > 0 {
		l.emit(Forward{Routers: to, Message: message})
	}
}

// sendPoisonEnds sends a router that has just connected the server ends that others
// reported, and what is known to be harmless. A router that has just started would otherwise let such
// a request end three more servers before it knew the request.
func (l *Loader) sendPoisonEnds(router core.HostID) {
	l.ledger.Expire(l.now)
	if news := l.ledger.All(l.now); len(news.Ends) > 0 {
		l.emit(Forward{Routers: []core.HostID{router}, Message: news})
	}
}

// updateInstance sets the engine's instance to the one that a router reports.
//
// It guards against outdated reports: a router that starts reads the registry entry of an
// earlier life. Taken for the current one, the next order was refused, and the requests
// that waited for it lost the time of an order and a report.
func (l *Loader) updateInstance(life fleet.Incarnation) {
	if life.Instance == "" || life.Compare(l.engine.life) < 0 {
		return
	}
	if before := l.engine.life.Instance; before != "" && before != life.Instance {
		l.engine.answered, l.engine.draining, l.engine.ended = false, false, false
		l.engine.instanceSince, l.nextOrder = l.now, l.now
	}
	l.engine.life.Instance = life.Instance
}

// needsAction reports whether a demand may change the orders or the messages to routers
// at once. Most demands only update uses, which the step of the next report reads:
// examining all routers' demands for each of them took a loader with 100 routers 17 ms a
// second.
func (l *Loader) needsAction(before, demand core.Demand) bool {
	hasRequests := func(d core.Demand) bool { return len(d.Wants)+len(d.Permits) > 0 }
	return hasRequests(before) || hasRequests(demand) || demand.Engine != nil || demand.Instance != before.Instance ||
		demand.Born != before.Born || len(l.retiring) > 0
}

func (l *Loader) nextWake() core.Time {
	wake := l.now.Add(minCountsInterval)
	if !l.readPending {
		wake = min(wake, l.nextRead)
	}
	if l.nextOrder > l.now {
		wake = min(wake, l.nextOrder)
	}
	return wake
}
