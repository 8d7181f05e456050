package agent

import (
	"nutmeglane.example/nutmeglane/internal/api"
	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/core/idle"
)

// Part is the agent's sub-reducer. It implements core.Part.
type Part struct {
	cfg Config
	now core.Time
	out []core.Effect

	timers    timers
	started   bool
	startedAt core.Time

	snapshot *api.Snapshot
	// minAdapters lists, by base model, the adapters with a Replicas.Min.
	minAdapters map[string][]string
	ready       bool

	peers     map[core.HostID]*peer
	peerOrder []core.HostID
	// lostEntries holds the entries whose connections were lost, with the time
	// until which each may reconnect and ask for outcomes.
	lostEntries map[core.HostID]core.Time

	// Authority over slots.
	tenure              tenure
	slots               map[core.SlotID]*slot
	sortedSlots         []*slot
	service             *slot
	releasedGenerations map[core.SlotID]uint64
	pendingReleases     []releasedSlot
	dirty               []*slot

	// Authority over accelerator memory.
	items         map[string]*item
	pending       map[uint64]*item
	orderCount    uint64
	totalMiB      int64
	reservedMiB   int64
	checksFencing bool
	inventory     inventoryState
	role          roleState
	settled       bool
	inventoried   bool
	foreignDirty  bool
	foreignTimer  timer
	cached        map[string]core.Tier
	cachedList    []core.CachedCheckpoint
	predictor     predictor
	prefetch      prefetchState
	permits       permitState
	// pricedPolicy is the default idle policy; nil if Config.Idle is set.
	pricedPolicy *idle.Policy

	// Requests.
	jobCount        uint64
	backlog         *backlog
	runs            map[core.AttemptID]*job
	attempts        map[core.AttemptID]*subscriber
	openSubscribers int
	past            past
	keyed           map[jobKey]*job
	// results holds the ended keyed jobs, and answers those of them whose
	// complete answer is retained, oldest first.
	results     []*job
	answers     []*job
	resultBytes int

	// Status and Report messages.
	statusSequence uint64
	statusDirty    bool
	statusTimer    timer
	reportNow      bool
	reportTimer    timer
	prefixes       []uint64

	leaving    bool
	exited     bool
	leaveBy    core.Time
	cutAt      core.Time
	leaveTimer timer
	// releaseAckBy ends the wait until the steward has acknowledged the
	// releases; 0 before the wait began.
	releaseAckBy    core.Time
	releaseAckTimer timer
	// leaveAckBy and leaveAckTimer end the wait for the answers to Leaving of
	// entries that sent no work.
	leaveAckBy    core.Time
	leaveAckTimer timer
	// lostTimer ends the wait for entries whose connections were lost.
	lostTimer timer
}

var _ core.Part = (*Part)(nil)

// New returns the agent of one process.
func New(cfg Config) *Part {
	cfg = cfg.withDefaults()
	p := &Part{
		cfg:                 cfg,
		timers:              newTimers(),
		peers:               map[core.HostID]*peer{},
		lostEntries:         map[core.HostID]core.Time{},
		slots:               map[core.SlotID]*slot{},
		releasedGenerations: map[core.SlotID]uint64{},
		items:               map[string]*item{},
		pending:             map[uint64]*item{},
		cached:              map[string]core.Tier{},
		predictor:           newPredictor(cfg.Loads),
		backlog:             newBacklog(cfg.Limits.QueueCount, cfg.Limits.QueueBytes),
		runs:                map[core.AttemptID]*job{},
		attempts:            map[core.AttemptID]*subscriber{},
		past:                newPast(cfg.Limits.PastCount),
		keyed:               map[jobKey]*job{},
		reportNow:           true,
	}
	p.prefetch.nextTry = map[string]core.Time{}
	p.prefetch.timer.fire = p.planPrefetch
	p.prefetch.beginTimer.fire = p.orderPrefetch
	p.permits.loads = map[uint64]permit{}
	if cfg.Idle == nil {
		p.pricedPolicy = idle.New(defaultPrices(), p.idleCost)
		p.cfg.Idle = p.pricedPolicy
	}
	p.tenure.sent = map[uint64]core.Time{}
	p.inventory.repeatAt, p.inventory.dropped = core.Never, map[string]bool{}
	p.tenure.endingTimer.fire = p.markAllDirty
	p.inventory.timer.fire = p.requestInventory
	p.statusTimer.fire = func() {}
	p.reportTimer.fire = func() { p.reportNow = true }
	p.leaveTimer.fire = p.leaveExpired
	p.releaseAckTimer.fire = func() {}
	p.leaveAckTimer.fire = func() {}
	p.lostTimer.fire = func() {}
	p.foreignTimer.fire = func() { p.foreignDirty = true }
	if cfg.Kind == core.BackendService {
		p.service = p.newService()
	}
	return p
}

// newService returns the single slot of a plain service, which counts as always
// loaded.
func (p *Part) newService() *slot {
	s := &slot{service: true, ready: newFairQueue(), drainUntil: core.Never}
	s.cutTimer.fire = func() { p.cutRunning(s) }
	s.base = p.newTarget(s, p.cfg.Service, false)
	s.targets = []*target{s.base}
	return s
}

// Step implements core.Part. Due timers fire before the event is processed, so
// that an event that is processed late, after a pause of the process, meets an
// up-to-date state: an expired tenure or a passed deadline.
func (p *Part) Step(now core.Time, event core.Event) []core.Effect {
	p.now = now
	if p.exited {
		return nil
	}
	if !p.started {
		p.start()
	}
	p.timers.run(now)
	if !p.exited {
		p.handle(event)
		p.reconcileAll()
	}
	out := p.out
	p.out = nil
	return out
}

func (p *Part) handle(event core.Event) {
	switch ev := event.(type) {
	case core.Received:
		p.receive(ev.From, ev.Message)
	case core.PeerUp:
		p.peerUp(ev)
	case core.PeerDown:
		p.peerDown(ev)
	case core.HostList:
		p.hostList(ev)
	case core.ConfigInForce:
		p.configure(ev.Snapshot, ev.Changed)
	case core.Stop:
		p.leave(ev.Limit)
	case core.Inventory:
		p.handleInventory(ev)
	case core.OrderDone:
		p.orderDone(ev)
	case core.EngineLoad:
		p.engineLoad(ev)
	case core.RunProgress:
		p.progress(ev)
	}
}

func (p *Part) receive(from core.HostID, message core.Message) {
	switch m := message.(type) {
	case core.Hello:
		p.hello(from, m)
	case core.Grant:
		p.grant(from, m)
	case core.PermitGrant:
		p.permitGranted(from, m)
	case core.Start:
		p.markUsed(from)
		p.startRequest(from, m)
	case core.Credit:
		p.credit(from, m)
	case core.Cancel:
		p.cancel(m)
	case core.Leaving:
		p.leavingAcked(from)
	case core.Resume:
		p.markUsed(from)
		p.resume(from, m)
	}
}

// Next implements core.Part.
func (p *Part) Next() core.Time {
	if p.exited {
		return core.Never
	}
	if !p.started {
		return 0
	}
	return p.timers.next()
}
