package quota

import (
	"math"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
)

// recountInterval is the shortest time between two counts of the routers.
const recountInterval = time.Second

// shareTolerance is the largest rounding difference between sums of the same shares.
const shareTolerance = 1e-9

// Granter grants tokens, in a loader, from the shares that routers lend it. The zero value
// is not usable; see NewGranter.
type Granter struct {
	holder  holder
	members map[core.HostID]*member
	// startedAt is when the first message of a router arrived.
	startedAt core.Time
	// routers is the number of routers among which the bounds are evenly divided, 0 if it
	// is not yet known; it was last counted at countedAt.
	routers   int
	countedAt core.Time
	// nextChange is not later than the next change of the held share: the end of a loan,
	// the time from which tokens are generated, or the time at which a loan has lasted for
	// a window.
	nextChange core.Time
	// retries spaces out the retries of each account's refused token requests.
	retries map[string]*retryQueue
}

// member is a router that has sent messages to the granter.
type member struct {
	lastSeen core.Time
	// slots is the number of slots that the router lends until a time, routers the number
	// of routers by which it divides the bounds. since is when the last of the slots was
	// lent.
	slots, routers int
	since, until   core.Time
	// leaving is set once the router is shutting down permanently.
	leaving bool
}

// NewGranter returns a granter that holds no share.
func NewGranter() *Granter {
	return &Granter{members: map[core.HostID]*member{}, retries: map[string]*retryQueue{}, nextChange: core.Never}
}

// HandleRequest processes a router's message and returns the answer.
func (g *Granter) HandleRequest(now core.Time, from core.HostID, request core.QuotaRequest) *core.QuotaReply {
	g.expireLoans(now)
	if request.Window > 0 {
		g.holder.setWindow(now, request.Window)
	}
	for _, l := range request.Limits {
		g.holder.setBound(now, l.Account, l.Most, l.Version)
	}
	m := g.member(now, from)
	m.leaving = request.Leaving
	g.recount(now)
	answer := &core.QuotaReply{Number: request.Number, Stamp: g.stamp(now)}
	if request.Stamp == 0 {
		answer.Life = g.startedAt
	}
	if until := g.timeOfStamp(request.Stamp).Add(LoanDuration); request.Stamp != 0 && until > now {
		answer.Held = g.renewLoan(now, m, request, until)
	}
	for _, need := range request.Needs {
		g.answerNeed(now, need, answer)
	}
	answer.Members = g.routers
	return answer
}

// stamp converts a time to its form in messages. It rounds down, by less than a
// millisecond.
func (g *Granter) stamp(now core.Time) core.QuotaStamp {
	return core.QuotaStamp(now.Sub(g.startedAt)/time.Millisecond) + 1
}

func (g *Granter) timeOfStamp(stamp core.QuotaStamp) core.Time {
	return g.startedAt.Add(time.Duration(stamp-1) * time.Millisecond)
}

func (g *Granter) member(now core.Time, name core.HostID) *member {
	m := g.members[name]
	if m == nil {
		m = &member{}
		g.members[name] = m
		g.countedAt = 0
	}
	if g.startedAt == 0 {
		g.startedAt = now
		g.nextChange = min(g.nextChange, now.Add(GrantLifetime))
	}
	m.lastSeen = now
	return m
}

// renewLoan records what a router lends until a time. If the router queries whether its slots
// are still held, they stay on loan and their number is returned.
func (g *Granter) renewLoan(now core.Time, m *member, request core.QuotaRequest, until core.Time) (held int) {
	changed := false
	switch {
	case request.Slots > 0 && request.Routers > 0:
		changed = m.slots != min(Slots, request.Slots) || m.routers != request.Routers
		if request.Slots > m.slots {
			m.since = now
			g.nextChange = min(g.nextChange, g.maturesAt(m))
		}
		m.slots, m.routers = min(Slots, request.Slots), request.Routers
	case request.Adopt && m.slots > 0:
		held = m.slots
	default:
		return 0
	}
	m.until = max(m.until, until)
	g.nextChange = min(g.nextChange, m.until)
	if changed {
		g.sumShares(now)
	}
	return held
}

// expireLoans ends the loans that were not renewed, each at its time.
func (g *Granter) expireLoans(now core.Time) {
	for g.nextChange <= now {
		at := g.nextChange
		g.nextChange = core.Never
		for _, m := range g.members {
			if m.slots == 0 {
				continue
			}
			if m.until <= at {
				m.slots = 0
				continue
			}
			g.nextChange = min(g.nextChange, m.until)
			if lasts := g.maturesAt(m); lasts > at {
				g.nextChange = min(g.nextChange, lasts)
			}
		}
		g.sumShares(at)
	}
	g.holder.advance(now)
}

// maturesAt is when a router's loan has been held for a whole window.
func (g *Granter) maturesAt(m *member) core.Time {
	return m.since.Add(g.holder.window + GrantLifetime)
}

// sumShares recomputes the held share from the loans.
func (g *Granter) sumShares(now core.Time) {
	sum, matured := 0.0, 0.0
	for _, name := range sortedKeys(g.members) {
		m := g.members[name]
		share := float64(m.slots) / Slots / float64(max(1, m.routers, g.routers))
		sum += share
		if now >= g.maturesAt(m) {
			matured += share
		}
	}
	if now < g.startedAt.Add(GrantLifetime) {
		// Grants of the previous process may still be in use.
		sum, matured = 0, 0
	}
	if math.Abs(sum-g.holder.share) > shareTolerance {
		g.holder.setShare(now, sum)
	}
	g.holder.matured = matured
}

// recount counts, at most once per recountInterval, the routers among which the bounds are
// divided. A disconnected router counts for memberRetention.
func (g *Granter) recount(now core.Time) {
	if now.Sub(g.countedAt) < recountInterval || now.Sub(g.startedAt) < countDelay {
		return
	}
	g.countedAt = now
	for name, m := range g.members {
		silent := now.Sub(m.lastSeen)
		if silent > memberRetention || m.leaving && silent > returnDelay+g.holder.window {
			delete(g.members, name)
		}
	}
	if len(g.members) != g.routers {
		g.routers = len(g.members)
		g.sumShares(now)
	}
}

// answerNeed grants a router's token request or reports when there will be room.
func (g *Granter) answerNeed(now core.Time, need core.QuotaNeed, answer *core.QuotaReply) {
	b := g.holder.bucket(now, need.Account)
	if b == nil {
		answer.Unknown = append(answer.Unknown, need.Account)
		return
	}
	grant := core.QuotaGrant{Account: need.Account}
	reserve := g.holder.reserve(b)
	least := max(float64(need.Cost), reserve)
	if g.holder.grantable(b) >= least && g.holder.share > 0 {
		grant.Granted = need.Cost
		g.holder.grant(b, float64(need.Cost))
		grant.Granted += g.grantAhead(b, reserve, float64(need.Ahead))
	} else {
		g.holder.noteRefusal(b, float64(need.Cost))
		room := g.holder.timeUntil(b, least)
		answer.Share = int(1000 * g.holder.share)
		wait := g.queue(need.Account).delay(now, room, float64(need.Cost)/max(1, g.holder.share*g.holder.rate(b.maxUse)))
		grant.RoomMs = int(wait / time.Millisecond)
	}
	grant.Left = int64(g.holder.grantable(b))
	answer.Grants = append(answer.Grants, grant)
}

// grantAhead grants tokens that a router expects to need soon, up to half of those beyond
// the reserve: the other half is for the next requests of routers. It grants nothing if
// that is less than half of what was requested, which would go to waste where requests are
// larger.
func (g *Granter) grantAhead(b *bucket, reserve, ahead float64) int64 {
	granted := min(ahead, (g.holder.grantable(b)-reserve)/2)
	if granted < max(1, ahead/2) {
		return 0
	}
	g.holder.grant(b, float64(int64(granted)))
	return int64(granted)
}

func (g *Granter) queue(account string) *retryQueue {
	q := g.retries[account]
	if q == nil {
		q = &retryQueue{}
		g.retries[account] = q
	}
	return q
}

// retryQueue assigns consecutive retry times to refused callers.
type retryQueue struct{ last core.Time }

// delay returns the retry delay of the next caller: room is the time until tokens are
// available, and takes is how many seconds it takes to generate the tokens of its request.
func (q *retryQueue) delay(now core.Time, room time.Duration, takes float64) time.Duration {
	step := time.Duration(min(takes, maxRetryAfter.Seconds()) * float64(time.Second))
	q.last = max(now.Add(room), q.last.Add(step))
	if q.last.Sub(now) > maxRetryAfter {
		q.last = now.Add(room)
	}
	return max(minRetryAfter, q.last.Sub(now))
}

// GranterState is the dump of an account in a loader.
type GranterState struct {
	Account string
	// Most is the largest use within a window, Left the tokens that the loader can grant,
	// and Given those that it granted lately.
	Most, Left, Given float64
}

// Share returns the part of all bounds that routers lend the granter, from 0 to 1.
func (g *Granter) Share(now core.Time) float64 {
	g.expireLoans(now)
	return g.holder.share
}

// Dump returns the state of all accounts, by name.
func (g *Granter) Dump(now core.Time) []GranterState {
	g.expireLoans(now)
	var states []GranterState
	for _, name := range sortedKeys(g.holder.buckets) {
		b := g.holder.bucket(now, name)
		states = append(states, GranterState{Account: name, Most: b.maxUse, Left: g.holder.grantable(b), Given: b.outstanding.Total(now)})
	}
	return states
}
