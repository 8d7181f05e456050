package loader

import (
	"log/slog"
	"slices"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/fleet"
	"nutmeglane.example/nutmeglane/internal/limit"
	"nutmeglane.example/nutmeglane/internal/poison"
	"nutmeglane.example/nutmeglane/internal/quota"
)

const (
	// HeartbeatInterval is the longest time between two Holdings to a router.
	HeartbeatInterval = time.Second
	// leastCountsInterval is the least time between two words on counts: about the
	// time in which a long prompt is read. At 250 ms an engine that was free when it
	// was heard of had two of them before the next word.
	leastCountsInterval = 100 * time.Millisecond
	// digestedCountsInterval is that time in a large fleet, where few routers hear of
	// counts by the loader itself, but one of them hears of all engines.
	digestedCountsInterval = 250 * time.Millisecond
	// wordPause is the time that a loader leaves for each connected router between
	// two words to all of them, which bounds it to 125 messages a second. Each
	// message costs both processes some 20 us and its bytes: without a bound,
	// 78 loaders sent 53,000 a second to 68 routers, which together had 460
	// requests a second to decide on.
	wordPause = 8 * time.Millisecond
	// busyRead and idleRead are the pauses between two reports of an engine
	// with and without requests. A report from its own host costs nothing but
	// the two processes' time, about 0.3 ms.
	busyRead = 100 * time.Millisecond
	idleRead = 500 * time.Millisecond
	// endRead is the pause between reports while the end of an order is due.
	endRead = 25 * time.Millisecond
	// lateRead is that pause once the order is late by more than lateAfter.
	lateRead  = 100 * time.Millisecond
	lateAfter = 300 * time.Millisecond
	// retryOrder is the pause after an order that was not accepted.
	retryOrder = 30 * time.Millisecond
	// failedReads in a row, the engine counts as down.
	failedReads = 2
)

// Options are fixed for the life of a loader.
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
	// names are those of the connected routers, sorted, and connected are they in the same
	// order. Kept, since each step goes through them: sorted anew for each want, they
	// took two thirds of a loader's time beside 27 routers.
	names     []core.HostID
	connected []*router
	// followed is the coordinator as worked out in this step, once followedKnown is set.
	followed      core.HostID
	followedKnown bool
	spec          *spec
	// nextSpec is the earliest next question for a newer one, specAsks counts them.
	nextSpec core.Time
	specAsks int
	// specNamed is set while a router may have named a newer one.
	specNamed bool

	reading  bool
	readAt   core.Time
	nextRead core.Time
	ordering bool
	// acceptedAt is when the engine last accepted an order.
	acceptedAt core.Time
	// nextOrder is the earliest next order, after one that was not accepted.
	nextOrder core.Time
	// task is the order for a model that the engine carries out.
	task *task
	// stray is an order to an earlier life of the engine that may still arrive.
	stray *strayOrder

	// loadedAt is when models were loaded in this process's life.
	loadedAt map[string]core.Time
	// retiring models take no more requests, since the time.
	retiring   map[string]core.Time
	storeLoads int
	lastStore  *core.StoreLoadResult
	// ledger is what routers told of poison requests, for those that start later.
	ledger *poison.Ledger
	// quotas grants what routers use of client accounts.
	quotas *quota.Keeper
	// limits counts what routers send to servers that name a limit.
	limits  *limit.Keeper
	configs configs
	usage   usage
	merged  merged
	// digested is set in a large fleet; see tellRouters.
	digested bool
	// useSums are the uses of all routers, by what is used.
	useSums map[modelKey]*useSum
	told    told
}

// engine is what is known of the engine.
type engine struct {
	// life is the engine's present life; its instance is "" until a router or the
	// engine itself has told it.
	life fleet.Incarnation
	// report is nil before the first.
	report *fleet.Report
	failed int
	// answered is set once this life has answered, leaving is its last word that it
	// leaves, and ended that its port has refused connections since.
	//
	// They guard against an end that is none: an engine that has only registered does not
	// listen yet, and one that follows another is not what was refused before it.
	answered, leaving, ended bool
}

// New returns a loader that knows nothing yet.
func New(opts Options) *Loader {
	return &Loader{opts: opts, routers: map[core.HostID]*router{}, loadedAt: map[string]core.Time{}, retiring: map[string]core.Time{}, ledger: poison.New(), quotas: quota.NewKeeper(), limits: limit.NewKeeper(), configs: configs{waiting: map[core.HostID]int64{}}, useSums: map[modelKey]*useSum{}}
}

// Step handles an event. The effects are valid until the next step.
func (l *Loader) Step(now core.Time, event Event) []Effect {
	l.now, l.out = now, l.out[:0]
	l.merged.forget()
	l.followedKnown = false
	switch e := event.(type) {
	case Tick:
	case ReportRead:
		l.reportRead(e)
	case OrderDone:
		l.orderDone(e)
	case RouterUp:
		l.addRouter(e.Router)
		l.tellPoison(e.Router)
		l.tellLimits(e.Router)
	case RouterDown:
		l.dropRouter(e.Router)
		delete(l.configs.waiting, e.Router)
		l.log("router lost", slog.String("router", string(e.Router)))
	case RegistryNewsReceived:
		l.heardOfConfig(e.Router, e.News.Config)
		l.passOn(e.Router, e.News)
		return l.out
	case ConfigRequested:
		l.configWanted(e.Router, e.Above)
		return l.out
	case ConfigReceived:
		l.configPassed(e.Router, e.Config)
		return l.out
	case DigestReceived:
		l.passToPart(e.Router, e.Digest.Part, e.Digest.Parts, e.Digest)
		return l.out
	case ConfigSpreadReceived:
		l.configPassed(e.Router, e.Spread.Config)
		l.passToPart(e.Router, e.Spread.Part, e.Spread.Parts, e.Spread.Config)
		return l.out
	case PoisonNewsReceived:
		l.ledger.Hear(now, e.News)
		l.passOn(e.Router, e.News)
		return l.out
	case QuotaRequested:
		l.emit(SendQuota{Router: e.Router, Answer: *l.quotas.Ask(now, e.Router, e.Ask)})
		return l.out
	case LimitRequested:
		l.limitAsked(e)
		return l.out
	case DemandReceived:
		if before := l.routerSaid(e); !l.actsOn(before, e.Demand) {
			return l.out
		}
	}
	l.askSpec()
	l.act()
	l.tellRouters()
	l.scheduleRead()
	l.emit(Wake{At: l.nextWake()})
	return l.out
}

func (l *Loader) emit(effect Effect) { l.out = append(l.out, effect) }

func (l *Loader) log(message string, attrs ...slog.Attr) {
	l.emit(Log{Message: message, Attrs: attrs})
}

// routerSaid takes a router's demand and returns the one before.
func (l *Loader) routerSaid(e DemandReceived) core.Demand {
	r := l.routers[e.Router]
	if r == nil {
		return core.Demand{}
	}
	if e.Demand.Processor > 0 {
		r.processor = e.Demand.Processor
	}
	if e.Demand.Spec.Hash != 0 {
		r.spec, l.specNamed = e.Demand.Spec, true
	}
	if e.Demand.Engine != nil {
		l.setSpec(e.Demand.Engine)
	}
	l.askSpec()
	before := r.demand
	if e.Demand.Instance != before.Instance || e.Demand.Born != before.Born {
		l.learnInstance(fleet.Incarnation{Instance: e.Demand.Instance, Born: e.Demand.Born})
	}
	l.removeUses(before.Uses, r.heardAt)
	l.addUses(e.Demand.Uses)
	r.demand, r.heardAt = e.Demand, l.now
	return before
}

// passOn sends a router's news to all others.
func (l *Loader) passOn(from core.HostID, news core.Message) {
	others := slices.DeleteFunc(slices.Clone(l.names), func(name core.HostID) bool { return name == from })
	if len(others) > 0 {
		l.emit(Forward{Routers: others, Message: news})
	}
}

// passToPart sends a router's news to one of so many parts of the others.
func (l *Loader) passToPart(from core.HostID, part, parts int, news core.Message) {
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
		l.emit(Forward{Routers: to, Message: news})
	}
}

// tellPoison tells a router that has just connected what others have told of poison
// requests. It may have started a moment ago, and would let them end three servers
// more before it knew them.
func (l *Loader) tellPoison(router core.HostID) {
	l.ledger.Forget(l.now)
	if ends := l.ledger.All(l.now); len(ends) > 0 {
		l.emit(Forward{Routers: []core.HostID{router}, Message: core.PoisonNews{Ends: ends}})
	}
}

// learnInstance takes a router's word on what the engine's life is called.
//
// It guards against an old word: a router that starts reads the registry's entry of
// a life that is over. Taken for the present one, the next order was refused, and
// the callers who waited for it lost the time of an order and a report.
func (l *Loader) learnInstance(life fleet.Incarnation) {
	if life.Instance == "" || life.Compare(l.engine.life) < 0 {
		return
	}
	if l.engine.ended && l.engine.life.Instance != life.Instance {
		l.engine.answered, l.engine.leaving, l.engine.ended = false, false, false
	}
	l.engine.life.Instance = life.Instance
}

// actsOn tells whether a demand may change what is ordered or told now. Most only
// tell uses, which the next report's step reads: to look at all routers' demands
// for each of them took a loader beside 100 routers 17 ms a second.
func (l *Loader) actsOn(before, demand core.Demand) bool {
	asks := func(d core.Demand) bool { return len(d.Wants)+len(d.Permits) > 0 }
	return asks(before) || asks(demand) || demand.Engine != nil || demand.Instance != before.Instance ||
		demand.Born != before.Born || len(l.retiring) > 0
}

func (l *Loader) nextWake() core.Time {
	wake := l.now.Add(leastCountsInterval)
	if !l.reading {
		wake = min(wake, l.nextRead)
	}
	if l.nextOrder > l.now {
		wake = min(wake, l.nextOrder)
	}
	return wake
}
