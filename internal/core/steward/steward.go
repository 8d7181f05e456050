package steward

import (
	"math/rand/v2"
	"strings"
	"time"

	"nutmeglane.example/nutmeglane/internal/api"
	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/core/peers"
)

// Delays of writes. Changes that a start-up waits for are written after
// urgentDelay, which collects the changes of other agents; minWriteInterval
// limits the write rate of each key in all cases.
const (
	urgentDelay      = 50 * time.Millisecond
	minWriteInterval = 500 * time.Millisecond
)

// Config is the configuration of a steward part.
type Config struct {
	Host        core.HostID
	Incarnation core.Incarnation
	Zone        core.Zone
	// Address is the "IP:port" of this process for other processes.
	Address string
	Timings core.Timings
	// Seed seeds the jitter.
	Seed uint64
}

// Part is the steward sub-reducer. It implements core.Part.
type Part struct {
	config Config
	peers  *peers.Manager
	rand   *rand.Rand

	// step counts events; it orders the observations of this process.
	step     uint64
	tag      uint64
	ops      map[uint64]*keyView
	kvUp     bool
	election election

	snapshot  *api.Snapshot
	listSeen  bool
	hosts     map[core.HostID]*hostState
	rosters   []*roster // sorted by zone
	chunks    [core.SlotChunks]*chunk
	planAt    core.Time
	plannedAt core.Time
	evictions map[evictionKey]*eviction
	// cooldowns holds the slots that rebalancing moved recently.
	cooldowns map[core.SlotID]cooldown

	out []core.Effect
}

// New returns the part. Package machine passes each event to the manager
// before it passes it to this part.
func New(config Config, manager *peers.Manager) *Part {
	p := &Part{
		config: config,
		peers:  manager,
		rand:   rand.New(rand.NewPCG(config.Seed, uint64(config.Incarnation))),
		ops:    map[uint64]*keyView{},
		kvUp:   true,
		hosts:  map[core.HostID]*hostState{},
		planAt: core.Never,

		evictions: map[evictionKey]*eviction{},
		cooldowns: map[core.SlotID]cooldown{},
	}
	p.plannedAt = -core.Time(minWriteInterval)
	p.election = newElection()
	p.election.apply = p.applyRecord
	p.election.retry = func(now core.Time) { p.election.retryAt = now.Add(p.jitter(claimWindow)) }
	for i := range p.chunks {
		p.chunks[i] = p.newChunk(i)
	}
	return p
}

// Step implements core.Part.
func (p *Part) Step(now core.Time, event core.Event) []core.Effect {
	p.step++
	p.out = nil
	switch ev := event.(type) {
	case core.Received:
		p.onReceived(now, ev)
	case core.PeerUp:
		p.onPeerUp(now, ev)
	case core.PeerDown:
		p.onPeerDown(now, ev.Peer)
	case core.HostList:
		p.onHostList(now, ev)
	case core.ConfigInForce:
		p.snapshot = ev.Snapshot
		p.planSoon(now)
	case core.KVValue:
		p.onWatched(now, ev)
	case core.KVReachable:
		p.onReachable(now, ev.Up)
	case core.KVResult:
		p.onResult(now, ev)
	case core.EvictDone:
		p.onEvictDone(now, ev)
	case core.Stop:
		p.election.stopping = true
	}
	p.advance(now)
	return p.out
}

func (p *Part) onReceived(now core.Time, ev core.Received) {
	switch m := ev.Message.(type) {
	case core.Report:
		if m.Host == ev.From {
			p.onReport(now, m)
		}
	case core.Status:
		p.onStatus(ev.From, m)
	}
}

// advance performs all actions that are due.
func (p *Part) advance(now core.Time) {
	p.advanceElection(now)
	if !p.isSteward(now) {
		return
	}
	for _, r := range p.rosters {
		if p.ready(now, &r.keyView) && now >= r.dueAt {
			p.writeRoster(now, r)
		}
	}
	for _, c := range p.chunks {
		p.ready(now, &c.keyView)
	}
	if now >= p.planAt {
		p.plan(now)
	}
}

// Next implements core.Part.
func (p *Part) Next() core.Time {
	next := p.nextElection()
	if !p.election.held {
		return next
	}
	for _, r := range p.rosters {
		next = min(next, p.nextRead(&r.keyView), p.earliestCall(&r.keyView, r.dueAt))
	}
	for _, c := range p.chunks {
		next = min(next, p.nextRead(&c.keyView))
	}
	return min(next, p.planAt)
}

func (p *Part) emit(effects ...core.Effect) { p.out = append(p.out, effects...) }

func (p *Part) note(name string, fields ...string) {
	p.emit(core.Note{Name: name, Fields: fields})
}

func (p *Part) count(name core.Counter, labels ...string) {
	p.emit(core.Count{Name: name, Labels: labels, Add: 1})
}

// jitter returns a uniformly random duration below window (full jitter).
func (p *Part) jitter(window time.Duration) time.Duration {
	return time.Duration(p.rand.Int64N(int64(window)))
}

// onWatched handles a value of the KV watch.
func (p *Part) onWatched(now core.Time, ev core.KVValue) {
	c := p.keyViewOf(ev.Key)
	switch {
	case c == nil:
	case c.known && ev.Revision == 0:
		// A deletion carries no revision, so a late one can't be distinguished
		// from a new one, and would hide a record written since. The key is
		// read to decide; the jitter spreads the reads of all entries.
		c.mustRead, c.retryAt = true, now.Add(p.jitter(claimWindow))
	default:
		p.applyValue(now, c, ev.Value, ev.Revision)
	}
}

func (p *Part) keyViewOf(key string) *keyView {
	if key == core.KeySteward {
		return &p.election.keyView
	}
	if zone, ok := strings.CutPrefix(key, core.KeyRosterPrefix); ok {
		return &p.rosterOf(core.Zone(zone)).keyView
	}
	for _, c := range p.chunks {
		if c.key == key {
			return &c.keyView
		}
	}
	return nil
}

// onReachable handles the start and the end of an outage of the KV service.
// During an outage no roster entry is renewed. It may last longer than the tenure
// although the agents live, so they get Grace to renew before any is fenced.
func (p *Part) onReachable(now core.Time, up bool) {
	if up && !p.kvUp {
		p.election.graceUntil = now.Add(p.config.Timings.Grace)
		p.election.onKVUp(now)
		for _, r := range p.rosters {
			r.retryAt, r.dueAt = now, now
		}
		for _, c := range p.chunks {
			c.retryAt = now
		}
		p.planSoon(now)
	}
	p.kvUp = up
}
