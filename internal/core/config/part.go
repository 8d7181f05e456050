// Package config is the sub-reducer that distributes the operators'
// configuration to every process and brings it into force.
//
// A revision is a list of 64 content-addressed chunks of resources. In the KV
// service the chunks are written first. The head, which lists their hashes, is
// written last and by compare-and-swap, so that a change of many resources is
// atomic. Entries watch the head and read each missing chunk once. All
// processes announce their revision to their peers and send the chunks that a
// peer lacks. Agents, which do not call the KV service, and entries that start
// during an outage of it get the configuration from peers. A revision is never
// replaced by an older one.
//
// The exchange between peers uses two forms of core.ConfigHead. Without chunks
// it announces the sender's revision. A receiver that has a newer revision
// answers with its full head; one that has an older revision answers with its
// own announcement, and so receives the full head. Announcements are a few
// bytes, so that many entries connected to one agent do not each send it a
// full head.
//
// Chunks that no revision references any more are not deleted from the KV
// service.
package config

import (
	"time"

	"nutmeglane.example/nutmeglane/internal/api"
	"nutmeglane.example/nutmeglane/internal/core"
)

// Defaults for unset fields of Config.
const (
	DefaultRetryInterval = 500 * time.Millisecond
	DefaultApplyTimeout  = 10 * time.Second
)

// Config is the part's configuration.
type Config struct {
	// KV is true at entries, which call the KV service.
	KV bool
	// Incarnation identifies this process in the writes that it makes.
	Incarnation core.Incarnation
	// RetryInterval is how long an answer of the KV service or of a peer is
	// awaited before another source is tried. Default DefaultRetryInterval.
	RetryInterval time.Duration
	// ApplyTimeout limits the duration of an operator's change. Default
	// DefaultApplyTimeout.
	ApplyTimeout time.Duration
}

// Names of the counters.
const (
	countBadChunks core.Counter = "config_bad_chunks_total"
	countReads     core.Counter = "config_kv_reads_total"
	countWrites    core.Counter = "config_kv_writes_total"
	countApplies   core.Counter = "config_applies_total"
	countFetches   core.Counter = "config_revisions_fetched_total"
)

// Counters returns the definitions of the counters that the part emits.
func Counters() []core.CounterDef {
	return []core.CounterDef{
		{Name: countBadChunks, Help: "Chunks or heads refused because they were corrupted, by source.", Labels: []string{"source"}},
		{Name: countReads, Help: "Reads of configuration from the KV service."},
		{Name: countWrites, Help: "Writes of configuration to the KV service."},
		{Name: countApplies, Help: "Operators' changes, by result code.", Labels: []string{"code"}},
		{Name: countFetches, Help: "Revisions assembled from chunks, by the source of the last chunk.", Labels: []string{"source"}},
	}
}

// Part is the sub-reducer. It implements core.Part.
type Part struct {
	cfg Config
	now core.Time
	out []core.Effect

	// newest is the newest revision assembled here. chunks holds, by hash, its
	// chunks and those collected for the revision that is being fetched.
	newest core.ConfigHead
	chunks map[string][]byte
	// inForce is the revision that the process last reported in force, and
	// snapshot its content.
	inForce   int64
	snapshot  *api.Snapshot
	delivered deliveredRevisions

	kvUp        bool
	peers       map[core.HostID]*peer
	headRequest headRequest
	fetch       *fetch

	jobs     []*job
	sequence uint64
	lastTag  uint64
	calls    map[uint64]call
}

// New returns a part; unset durations of cfg get their defaults.
func New(cfg Config) *Part {
	if cfg.RetryInterval == 0 {
		cfg.RetryInterval = DefaultRetryInterval
	}
	if cfg.ApplyTimeout == 0 {
		cfg.ApplyTimeout = DefaultApplyTimeout
	}
	return &Part{
		cfg:    cfg,
		kvUp:   cfg.KV,
		chunks: map[string][]byte{},
		peers:  map[core.HostID]*peer{},
		calls:  map[uint64]call{},
	}
}

// Step implements core.Part.
func (p *Part) Step(now core.Time, event core.Event) []core.Effect {
	p.now, p.out = now, nil
	switch ev := event.(type) {
	case core.Tick:
		p.tick()
	case core.PeerUp:
		p.peerUp(ev.Peer)
	case core.PeerDown:
		delete(p.peers, ev.Peer)
	case core.Received:
		p.received(ev.From, ev.Message)
	case core.KVValue:
		p.headWatched(ev)
	case core.KVReachable:
		p.kvReachable(ev.Up)
	case core.KVResult:
		p.result(ev)
	case core.ConfigInForce:
		p.confirmed(ev.Snapshot)
	case core.ApplyRequested:
		p.applyRequested(ev)
	}
	return p.out
}

func (p *Part) emit(effects ...core.Effect) { p.out = append(p.out, effects...) }

func (p *Part) count(name core.Counter, labels ...string) {
	p.emit(core.Count{Name: name, Labels: labels, Add: 1})
}

func (p *Part) tick() {
	p.retryHeadRequest()
	p.retryFetch()
	p.jobTick()
}

// Next implements core.Part.
func (p *Part) Next() core.Time {
	next := core.Never
	if p.headRequest.waiting {
		next = min(next, p.headRequest.deadline)
	}
	if p.fetch != nil {
		next = min(next, p.fetch.deadline)
	}
	if len(p.jobs) > 0 {
		next = min(next, p.jobs[0].retryAt)
	}
	for _, j := range p.jobs {
		next = min(next, j.deadline)
	}
	return next
}

// confirmed records that the process put a revision in force, and announces it
// to the peers that are not known to have it. An agent announces it to all its
// peers: the entry that sent the revision would otherwise not learn that it is
// in force at the agent.
func (p *Part) confirmed(snapshot *api.Snapshot) {
	revision := snapshot.Revision
	if revision <= p.inForce {
		return
	}
	p.inForce, p.snapshot = revision, snapshot
	p.delivered.confirm(revision)
	p.forgetChunks()
	for _, host := range core.SortedKeys(p.peers) {
		if !p.cfg.KV || p.peers[host].revision < revision {
			p.announce(host)
		}
	}
}

// adopt hands a completely assembled revision to the process. It is offered to
// peers only once the process has checked it and put it in force.
//
// An older or equal revision, from a stale peer or a late answer, is ignored:
// it would revert settings. newest changes only here, so the revisions of
// ConfigApplied always increase.
func (p *Part) adopt(head core.ConfigHead) {
	if head.Revision <= p.newest.Revision {
		return
	}
	p.newest = head
	p.emit(p.configApplied(head))
	p.forgetChunks()
	p.emit(core.Note{Name: "configuration assembled", Fields: []string{"revision", itoa(head.Revision)}})
	if p.fetch != nil && p.fetch.head.Revision <= head.Revision {
		p.fetch = nil
	}
	p.headRequest = headRequest{}
	p.jobResume()
}

// forgetChunks drops the chunks that are referenced neither by the newest
// revision, nor by the one being fetched, nor by one that the next difference
// may build on.
func (p *Part) forgetChunks() {
	named := map[string]bool{}
	heads := []core.ConfigHead{p.newest, p.delivered.base.ConfigHead}
	for _, given := range p.delivered.unconfirmed {
		heads = append(heads, given.ConfigHead)
	}
	if p.fetch != nil {
		heads = append(heads, p.fetch.head)
	}
	for _, head := range heads {
		for _, hash := range head.Chunks {
			named[hash] = true
		}
	}
	for hash := range p.chunks {
		if !named[hash] {
			delete(p.chunks, hash)
		}
	}
}
