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
	// lost are the entries whose connections were lost lately, with the time from which
	// on they ask no more.
	lost map[core.HostID]core.Time

	// Authority over slots.
	tenure   tenure
	slots    map[core.SlotID]*slot
	ordered  []*slot
	service  *slot
	released map[core.SlotID]uint64
	releases []releasedSlot
	dirty    []*slot

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
	leftoverTimer timer
	cached        map[string]core.Tier
	cachedList    []core.CachedCheckpoint
	predictor     predictor
	prefetch      prefetchState
	permits       permitState
	// priced is the idle policy unless the Config names another.
	priced *idle.Policy

	// Requests.
	jobCount    uint64
	backlog     *backlog
	runs        map[core.AttemptID]*job
	attempts    map[core.AttemptID]*viewer
	openViewers int
	past        past
	keyed       map[jobKey]*job
	// results are the ended keyed jobs, and answers those of them whose
	// answer is kept whole, oldest first.
	results     []*job
	answers     []*job
	resultBytes int

	// What is said to others.
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
	// noteBy ends the wait for the steward's note of the last releases.
	noteBy    core.Time
	noteTimer timer
	// partBy and partTimer end the wait for the entries' answers to Leaving.
	partBy    core.Time
	partTimer timer
	// lostTimer ends the wait for entries that lost their connection.
	lostTimer timer
}

var _ core.Part = (*Part)(nil)

// New returns the agent of one process.
func New(cfg Config) *Part {
	cfg = cfg.withDefaults()
	p := &Part{
		cfg:       cfg,
		timers:    newTimers(),
		peers:     map[core.HostID]*peer{},
		lost:      map[core.HostID]core.Time{},
		slots:     map[core.SlotID]*slot{},
		released:  map[core.SlotID]uint64{},
		items:     map[string]*item{},
		pending:   map[uint64]*item{},
		cached:    map[string]core.Tier{},
		predictor: newPredictor(cfg.Loads),
		backlog:   newBacklog(cfg.Limits.QueueCount, cfg.Limits.QueueBytes),
		runs:      map[core.AttemptID]*job{},
		attempts:  map[core.AttemptID]*viewer{},
		past:      newPast(cfg.Limits.PastCount),
		keyed:     map[jobKey]*job{},
		reportNow: true,
	}
	p.prefetch.tried = map[string]core.Time{}
	p.prefetch.timer.fire = p.lookAhead
	p.prefetch.begin.fire = p.orderPrefetch
	p.permits.loads = map[uint64]notice{}
	if cfg.Idle == nil {
		p.priced = idle.New(defaultPrices(), p.idleCost)
		p.cfg.Idle = p.priced
	}
	p.tenure.sent = map[uint64]core.Time{}
	p.inventory.again, p.inventory.dropped = core.Never, map[string]bool{}
	p.tenure.ending.fire = p.markAll
	p.inventory.timer.fire = p.takeInventory
	p.statusTimer.fire = func() {}
	p.reportTimer.fire = func() { p.reportNow = true }
	p.leaveTimer.fire = p.leaveOver
	p.noteTimer.fire = func() {}
	p.partTimer.fire = func() {}
	p.lostTimer.fire = func() {}
	p.leftoverTimer.fire = func() { p.foreignDirty = true }
	if cfg.Kind == core.BackendService {
		p.service = p.newService()
	}
	return p
}

// newService returns the one place of a plain service, always loaded.
func (p *Part) newService() *slot {
	s := &slot{service: true, ready: newFairQueue(), drainUntil: core.Never}
	s.cut.fire = func() { p.cutRunning(s) }
	s.base = p.newTarget(s, p.cfg.Service, false)
	s.targets = []*target{s.base}
	return s
}

// Step implements core.Part. Timers that are due fire first, so that an event
// that is handled late, after a pause of the process, meets a state that knows
// how late it is: a tenure that is over, a deadline that has passed.
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
		p.settle()
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
		p.takeStock(ev)
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
		p.uses(from)
		p.startRequest(from, m)
	case core.Credit:
		p.credit(from, m)
	case core.Cancel:
		p.cancel(m)
	case core.Leaving:
		p.parted(from)
	case core.Resume:
		p.uses(from)
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
