package entry

import (
	"math/rand/v2"

	"nutmeglane.example/nutmeglane/internal/api"
	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/core/peers"
)

// Part is the entry's sub-reducer. It implements core.Part.
type Part struct {
	config Config
	limits Limits
	peers  *peers.Manager
	rand   *rand.Rand

	snapshot  *api.Snapshot
	revisions map[string]int64 // newest revision applied of each KV key
	models    map[string]*model
	chunks    map[string][]string // models with slots under each slot table key
	adapters  map[string]adapterOrder
	agents    map[core.HostID]*agent
	zones     map[core.Zone][]core.HostID // agents in the roster of each availability zone
	services  map[string][]*agent

	requests map[core.RequestID]*request
	timers   timerHeap
	queue    queueUsage
	retries  retryBudget
	stop     stopState

	now     core.Time
	effects []core.Effect
	scratch []option
	ends    endCounts
}

// New returns the part. The manager is shared with other parts; its Step must run on each
// event before this part's.
func New(config Config, manager *peers.Manager) *Part {
	config.Limits = config.Limits.withDefaults()
	return &Part{
		config:    config,
		limits:    config.Limits,
		peers:     manager,
		rand:      rand.New(rand.NewPCG(config.Seed, 0x656e747279)),
		revisions: map[string]int64{},
		models:    map[string]*model{},
		chunks:    map[string][]string{},
		adapters:  map[string]adapterOrder{},
		agents:    map[core.HostID]*agent{},
		zones:     map[core.Zone][]core.HostID{},
		services:  map[string][]*agent{},
		requests:  map[core.RequestID]*request{},
		queue:     queueUsage{byAccount: map[string]int{}},
		retries:   retryBudget{tokens: retryBurst},
		ends:      endCounts{},
	}
}

// Step implements core.Part.
func (p *Part) Step(now core.Time, event core.Event) []core.Effect {
	p.now, p.effects = now, nil
	switch ev := event.(type) {
	case core.Tick:
		p.expire()
	case core.RequestArrived:
		p.admit(ev)
	case core.CallerGone:
		p.callerGone(ev.ID)
	case core.CallerTook:
		p.callerTook(ev)
	case core.Received:
		p.received(ev.From, ev.Message)
	case core.PeerUp:
		p.peerUp(ev)
	case core.PeerDown:
		p.peerDown(ev)
	case core.HostList:
		p.hostList(ev)
	case core.KVValue:
		p.kvValue(ev)
	case core.KVResult:
		p.kvResult(ev)
	case core.ConfigInForce:
		p.configInForce(ev.Snapshot)
	case core.Stop:
		p.beginStop(ev)
	}
	p.exitWhenEmpty()
	return p.effects
}

// Next implements core.Part.
func (p *Part) Next() core.Time {
	next := p.stop.next(p.now)
	if len(p.timers) > 0 {
		next = min(next, p.timers[0].timer)
	}
	return next
}

func (p *Part) received(from core.HostID, message core.Message) {
	a := p.agents[from]
	if a == nil {
		return
	}
	switch m := message.(type) {
	case core.Welcome:
		p.welcome(a, m)
	case core.Status:
		p.status(a, m)
	case core.Leaving:
		a.announcedLeaving, a.leaveAckPending = true, true
		p.acknowledgeLeaving(a)
	case core.Accepted:
		p.accepted(a, m)
	case core.Rejected:
		p.rejected(a, m)
	case core.Frame:
		p.frame(a, m)
	case core.NotStarted:
		p.notStarted(a, m)
	}
}

func (p *Part) configInForce(snapshot *api.Snapshot) {
	if snapshot == nil || p.snapshot != nil && snapshot.Revision < p.snapshot.Revision {
		return
	}
	first := p.snapshot == nil
	p.snapshot = snapshot
	if first && !p.stop.stopping {
		p.emit(core.Ready{Ready: true})
	}
}

// effectsCapacity is the capacity reserved for the effects of a typical step.
const effectsCapacity = 4

func (p *Part) emit(effect core.Effect) {
	if p.effects == nil {
		p.effects = make([]core.Effect, 0, effectsCapacity)
	}
	p.effects = append(p.effects, effect)
}

func (p *Part) send(a *agent, message core.Message) {
	p.emit(core.Send{To: a.host, Message: message})
}
