package steward

import (
	"time"

	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
)

// Windows of full jitter before an attempt to become the steward. Several hundred
// entries see at once that there is none; the others stop when the watch shows
// the record of the first one to write.
const (
	claimWindow    = 500 * time.Millisecond
	maxClaimWindow = 8 * time.Second
)

// keepAlivesPerTTL is how many times the lease is renewed within its time to live.
const keepAlivesPerTTL = 3

// settleTime is how long a new steward waits for the reports of all listed
// hosts before it places slots that have no owner.
const settleTime = 2 * time.Second

// election is the state of the KV lease on core.KeySteward.
type election struct {
	keyView
	record   core.StewardRecord
	stopping bool

	// lease is the lease that this process has or had; 0 for none.
	lease    int64
	claimAt  core.Time
	failures int

	// leaseTag is the tag of the open call for a lease or keep-alive; 0 for none.
	leaseTag    uint64
	calledAt    core.Time
	keepAliveAt core.Time

	held bool
	// validUntil is when the lease ends by the local clock: its time to live after
	// the sending of the last successful keep-alive.
	validUntil core.Time
	heldSince  core.Time
	graceUntil core.Time
	// collecting is set while this process asks agents for reports. It stays set
	// when the lease ends, so that reports continue in a KV outage.
	collecting bool
}

func newElection() election {
	return election{
		keyView:     keyView{key: core.KeySteward},
		claimAt:     core.Never,
		keepAliveAt: core.Never,
	}
}

func (p *Part) isSteward(now core.Time) bool {
	return p.election.held && now < p.election.validUntil
}

// inGrace reports whether fencing must wait.
func (p *Part) inGrace(now core.Time) bool { return now < p.election.graceUntil }

// onKVUp makes the calls due that failed during an outage.
func (o *election) onKVUp(now core.Time) {
	o.retryAt = now
	if o.lease != 0 {
		o.keepAliveAt = now
	}
}

func (p *Part) advanceElection(now core.Time) {
	o := &p.election
	if o.held && now >= o.validUntil {
		p.stepDown("lease over by own clock")
	}
	if !p.ready(now, &o.keyView) || o.leaseTag != 0 {
		return
	}
	ttl := p.config.Timings.StewardLease
	switch {
	case o.lease != 0 && o.revision == 0 && now < o.validUntil:
		// The claim failed, or the record was read back as not written.
		p.write(now, &o.keyView, p.ownRecord(), o.lease)
	case o.lease != 0 && o.revision == 0:
		o.lease = 0
		p.claimLater(now)
	case o.lease != 0 && now >= o.keepAliveAt:
		p.callLease(now, core.KVKeepAlive{Tag: p.leaseCall(), Lease: o.lease})
		o.keepAliveAt = now.Add(ttl / keepAlivesPerTTL)
	case o.lease == 0 && now >= o.claimAt && !o.stopping:
		o.claimAt = core.Never
		p.callLease(now, core.KVLease{Tag: p.leaseCall(), TTL: ttl})
	}
}

func (p *Part) leaseCall() uint64 {
	p.tag++
	p.election.leaseTag = core.TagSteward + p.tag
	return p.election.leaseTag
}

func (p *Part) callLease(now core.Time, effect core.Effect) {
	p.election.calledAt = now
	p.emit(effect)
}

func (p *Part) nextElection() core.Time {
	o := &p.election
	next := p.nextRead(&o.keyView)
	if o.held {
		next = min(next, o.validUntil)
	}
	if o.leaseTag != 0 {
		return next
	}
	if o.lease != 0 && o.revision == 0 {
		return min(next, p.earliestCall(&o.keyView, o.retryAt))
	}
	if o.lease != 0 {
		return min(next, p.earliestCall(&o.keyView, o.keepAliveAt))
	}
	if o.claimAt != core.Never && !o.stopping {
		next = min(next, p.earliestCall(&o.keyView, o.claimAt))
	}
	return next
}

// onLeaseResult handles the answer to a lease call; false if it answers another call.
func (p *Part) onLeaseResult(now core.Time, ev core.KVResult) bool {
	o := &p.election
	if o.leaseTag == 0 || ev.Tag != o.leaseTag {
		return false
	}
	o.leaseTag = 0
	switch {
	case ev.Code == code.OK && o.lease == 0:
		p.claim(now, ev.Lease)
	case ev.Code == code.OK:
		o.validUntil = o.calledAt.Add(p.config.Timings.StewardLease)
		p.becomeSteward(now)
	case o.lease == 0:
		p.claimLater(now)
	case ev.Code == code.KVUnavailable || ev.Code == code.KVUnknown:
		o.keepAliveAt = now.Add(p.jitter(retryWindow))
	default: // the lease has expired
		o.lease, o.mustRead = 0, true
		p.stepDown("lease lapsed")
	}
	return true
}

// claim writes the record with a new lease, if there still is no steward.
func (p *Part) claim(now core.Time, lease int64) {
	o := &p.election
	if o.revision != 0 {
		return // another process was first; the lease expires unused
	}
	if o.pending != idle {
		p.claimLater(now)
		return
	}
	o.lease = lease
	o.validUntil = o.calledAt.Add(p.config.Timings.StewardLease)
	o.keepAliveAt = now.Add(p.config.Timings.StewardLease / keepAlivesPerTTL)
	p.write(now, &o.keyView, p.ownRecord(), lease)
}

func (p *Part) ownRecord() core.StewardRecord {
	return core.StewardRecord{
		Host: p.config.Host, Incarnation: p.config.Incarnation, Address: p.config.Address,
	}
}

func (p *Part) claimLater(now core.Time) {
	window := min(claimWindow<<min(p.election.failures, 8), maxClaimWindow)
	p.election.failures++
	p.election.claimAt = now.Add(p.jitter(window))
}

func (p *Part) applyRecord(_ core.Time, value []byte) error {
	var record core.StewardRecord
	if len(value) > 0 {
		if err := core.DecodeValue(value, &record); err != nil {
			return err
		}
	}
	p.election.record = record
	return nil
}

// onRecord handles a change of core.KeySteward.
func (p *Part) onRecord(now core.Time) {
	o := &p.election
	switch {
	case o.revision == 0:
		o.lease, o.failures = 0, 0
		p.stepDown("record gone")
		p.claimLater(now)
	case o.record == p.ownRecord():
		o.failures = 0
		p.becomeSteward(now)
	default:
		o.lease, o.claimAt = 0, core.Never
		p.stepDown("another steward")
		p.stopCollecting()
	}
}

// becomeSteward makes this process the steward if it has written the record, has
// the lease, and the lease is valid by the local clock.
func (p *Part) becomeSteward(now core.Time) {
	o := &p.election
	if o.held || o.lease == 0 || o.record != p.ownRecord() || now >= o.validUntil {
		return
	}
	o.held, o.heldSince = true, now
	o.graceUntil = now.Add(p.config.Timings.Grace)
	p.note("steward in office")
	p.count(counterElections)
	p.startCollecting(now)
	for _, r := range p.rosters {
		r.mustRead, r.dueAt = true, now
	}
	for _, c := range p.chunks {
		c.mustRead = true
	}
	p.evictions = map[evictionKey]*eviction{}
	p.planAt = now.Add(urgentDelay)
}

func (p *Part) stepDown(why string) {
	if p.election.held {
		p.election.held = false
		p.note("steward out of office", "why", why)
	}
}
