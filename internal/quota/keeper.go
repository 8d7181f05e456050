package quota

import (
	"math"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
)

// recountInterval is the time between two counts of the same routers.
const recountInterval = time.Second

// shareOff is by how much sums of the same shares may differ.
const shareOff = 1e-9

// Keeper grants tokens, in a loader, from the shares that routers lend it. The zero value is
// not usable; see NewKeeper.
type Granter struct {
	holder  holder
	members map[core.HostID]*member
	// began is when the first router was heard of.
	began core.Time
	// known is the number of routers among which shares are even, 0 if it can't be told yet,
	// as of countedAt.
	known     int
	countedAt core.Time
	// nextEnd is before the end of any loan, before tokens are made at all, and before a loan
	// has lasted for a window.
	nextEnd core.Time
	// queues are the refused of each account, in the order in which they are to return.
	queues map[string]*queue
}

// member is a router that the keeper knows.
type member struct {
	heardAt core.Time
	// slots are what the router lends until a time, routers among how many it knows shares
	// to be even. since is when the last of them was lent.
	slots, routers int
	since, until   core.Time
	// leaving is set once the router stops for good.
	leaving bool
}

// NewKeeper returns a keeper that holds nothing.
func NewGranter() *Granter {
	return &Granter{members: map[core.HostID]*member{}, queues: map[string]*queue{}, nextEnd: core.Never}
}

// Ask takes in a router's word and returns the answer.
func (k *Granter) HandleAsk(now core.Time, from core.HostID, ask core.QuotaAsk) *core.QuotaTold {
	k.endLoans(now)
	if ask.Window > 0 {
		k.holder.setWindow(now, ask.Window)
	}
	for _, l := range ask.Limits {
		k.holder.setBound(now, l.Account, l.Most, l.Version)
	}
	m := k.member(now, from)
	m.leaving = ask.Leaving
	k.recount(now)
	told := &core.QuotaTold{Number: ask.Number, Stamp: k.stamp(now)}
	if ask.Stamp == 0 {
		told.Life = k.began
	}
	if until := k.timeOf(ask.Stamp).Add(LoanDuration); ask.Stamp != 0 && until > now {
		told.Held = k.lend(now, m, ask, until)
	}
	for _, need := range ask.Needs {
		k.answer(now, need, told)
	}
	told.Members = k.known
	return told
}

// stamp is a time as messages have it, a little before it at the most.
func (k *Granter) stamp(now core.Time) core.QuotaStamp {
	return core.QuotaStamp(now.Sub(k.began)/time.Millisecond) + 1
}

func (k *Granter) timeOf(stamp core.QuotaStamp) core.Time {
	return k.began.Add(time.Duration(stamp-1) * time.Millisecond)
}

func (k *Granter) member(now core.Time, name core.HostID) *member {
	m := k.members[name]
	if m == nil {
		m = &member{}
		k.members[name] = m
		k.countedAt = 0
	}
	if k.began == 0 {
		k.began = now
		k.nextEnd = min(k.nextEnd, now.Add(GrantLifetime))
	}
	m.heardAt = now
	return m
}

// lend takes in what a router lends until a time. It returns the slots of the router that
// the keeper holds already, if the router asks that it goes on holding them.
func (k *Granter) lend(now core.Time, m *member, ask core.QuotaAsk, until core.Time) (held int) {
	changed := false
	switch {
	case ask.Slots > 0 && ask.Routers > 0:
		changed = m.slots != min(Slots, ask.Slots) || m.routers != ask.Routers
		if ask.Slots > m.slots {
			m.since = now
			k.nextEnd = min(k.nextEnd, k.lastsFrom(m))
		}
		m.slots, m.routers = min(Slots, ask.Slots), ask.Routers
	case ask.Adopt && m.slots > 0:
		held = m.slots
	default:
		return 0
	}
	m.until = max(m.until, until)
	k.nextEnd = min(k.nextEnd, m.until)
	if changed {
		k.sumShares(now)
	}
	return held
}

// endLoans ends the loans that were not renewed, each at its time.
func (k *Granter) endLoans(now core.Time) {
	for k.nextEnd <= now {
		at := k.nextEnd
		k.nextEnd = core.Never
		for _, m := range k.members {
			if m.slots == 0 {
				continue
			}
			if m.until <= at {
				m.slots = 0
				continue
			}
			k.nextEnd = min(k.nextEnd, m.until)
			if lasts := k.lastsFrom(m); lasts > at {
				k.nextEnd = min(k.nextEnd, lasts)
			}
		}
		k.sumShares(at)
	}
	k.holder.advance(now)
}

// lastsFrom is when what a router lends has been held for a window.
func (k *Granter) lastsFrom(m *member) core.Time {
	return m.since.Add(k.holder.window + GrantLifetime)
}

// sumShares adds up what is lent.
func (k *Granter) sumShares(now core.Time) {
	sum, lasting := 0.0, 0.0
	for _, name := range sortedKeys(k.members) {
		m := k.members[name]
		share := float64(m.slots) / Slots / float64(max(1, m.routers, k.known))
		sum += share
		if now >= k.lastsFrom(m) {
			lasting += share
		}
	}
	if now < k.began.Add(GrantLifetime) {
		// What the last life granted may still be used.
		sum, lasting = 0, 0
	}
	if math.Abs(sum-k.holder.share) > shareOff {
		k.holder.setShare(now, sum)
	}
	k.holder.lasting = lasting
}

// recount works out from time to time how many routers shares are even among. A router that
// was lost counts for memberKept.
func (k *Granter) recount(now core.Time) {
	if now.Sub(k.countedAt) < recountInterval || now.Sub(k.began) < settleTime {
		return
	}
	k.countedAt = now
	for name, m := range k.members {
		silent := now.Sub(m.heardAt)
		if silent > memberKept || m.leaving && silent > returnsAfter+k.holder.window {
			delete(k.members, name)
		}
	}
	if len(k.members) != k.known {
		k.known = len(k.members)
		k.sumShares(now)
	}
}

// answer grants what a router needs, or tells when there will be room.
func (k *Granter) answer(now core.Time, need core.QuotaNeed, told *core.QuotaTold) {
	b := k.holder.bucket(now, need.Account)
	if b == nil {
		told.Unknown = append(told.Unknown, need.Account)
		return
	}
	grant := core.QuotaGrant{Account: need.Account}
	reserve := k.holder.reserve(b)
	least := max(float64(need.Cost), reserve)
	if k.holder.left(b) >= least && k.holder.share > 0 {
		grant.Granted = need.Cost
		k.holder.grant(b, float64(need.Cost))
		grant.Granted += k.grantAhead(b, reserve, float64(need.Ahead))
	} else {
		k.holder.reserveFor(b, float64(need.Cost))
		room := k.holder.roomIn(b, least)
		told.Share = int(1000 * k.holder.share)
		wait := k.queue(need.Account).after(now, room, float64(need.Cost)/max(1, k.holder.share*k.holder.rate(b.most)))
		grant.RoomMs = int(wait / time.Millisecond)
	}
	grant.Left = int64(k.holder.left(b))
	told.Grants = append(told.Grants, grant)
}

// grantAhead grants what a router expects to need soon, up to half of what there is beyond
// the reserve: the other half is for the routers that ask next. Less than half of what was
// asked for would go to waste where requests are larger.
func (k *Granter) grantAhead(b *bucket, reserve, ahead float64) int64 {
	granted := min(ahead, (k.holder.left(b)-reserve)/2)
	if granted < max(1, ahead/2) {
		return 0
	}
	k.holder.grant(b, float64(int64(granted)))
	return int64(granted)
}

func (k *Granter) queue(account string) *queue {
	q := k.queues[account]
	if q == nil {
		q = &queue{}
		k.queues[account] = q
	}
	return q
}

// queue gives those who were refused times to come back, one after the other.
type queue struct{ last core.Time }

// after is how long the next one in the queue stays away, where there is room in some time
// and a request takes so many seconds' tokens.
func (q *queue) after(now core.Time, room time.Duration, takes float64) time.Duration {
	step := time.Duration(min(takes, longestReturn.Seconds()) * float64(time.Second))
	q.last = max(now.Add(room), q.last.Add(step))
	if q.last.Sub(now) > longestReturn {
		q.last = now.Add(room)
	}
	return max(leastReturn, q.last.Sub(now))
}

// KeptState is the dump of an account whose bound a loader keeps.
type GranterState struct {
	Account string
	// Most is the largest use within a window, Left what the loader has to grant, and
	// Given what it granted lately.
	Most, Left, Given float64
}

// Share is the part of all bounds that routers lend the keeper, from 0 to 1.
func (k *Granter) Share(now core.Time) float64 {
	k.endLoans(now)
	return k.holder.share
}

// Dump returns the state of all accounts, by name.
func (k *Granter) Dump(now core.Time) []GranterState {
	k.endLoans(now)
	var states []GranterState
	for _, name := range sortedKeys(k.holder.buckets) {
		b := k.holder.bucket(now, name)
		states = append(states, GranterState{Account: name, Most: b.most, Left: k.holder.left(b), Given: b.given.Total(now)})
	}
	return states
}
