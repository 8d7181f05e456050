package router

import (
	"math"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/fleet"
	"nutmeglane.example/nutmeglane/internal/limit"
)

// This file processes the limits that backend servers announce, in requests per second from
// all routers together, and reports them to the loader that counts the requests. See
// package limit.

// limitLogInterval is the time between two log lines on the requests sent to a server that
// has a limit, and on malformed limits of one server.
const limitLogInterval = 4 * time.Second

// serverLimit is this router's state of one server's limit.
type serverLimit struct {
	gate *limit.Gate
	// holds are the accounts and ranks that get no permits there for now.
	holds limit.Holds
	// budgets are the budgets of a plain service's server that loaders announced.
	budgets serverBudgets
	// sent counts the requests sent to the server since countedAt.
	sent      int
	countedAt core.Time
	// malformedAt is when a malformed limit was last logged.
	malformedAt core.Time
	// silentAt is when the loader that counts was last told that the server reads nothing, 0 unless
	// that is so. unreadSince is when the newest request was sent that shows it.
	silentAt, unreadSince core.Time
}

func (r *Router) newServerLimit(instance string) serverLimit {
	phase := float64(core.Score(string(r.opts.Host), instance)) / math.MaxUint64
	return serverLimit{gate: limit.NewGate(phase)}
}

func (b *backend) limited() bool {
	_, named := b.limit.gate.Limit()
	return named
}

// noteLimit processes the limit in an answer. It ignores an answer to a request that was
// sent to an earlier incarnation, and one of another server that has taken over the
// address.
func (r *Router) noteLimit(b *backend, a *attempt, answer fleet.Answer) {
	if answer.Absent || a.incarnation.Compare(b.Incarnation) != 0 {
		return
	}
	if answer.Limit.State == fleet.LimitMalformed {
		r.limitMalformed(b, answer.Limit.Text)
		return
	}
	r.applyLimit(b, "its answer", limit.Announcement{
		Named: answer.Limit.State == fleet.LimitReported, PerSecond: answer.Limit.PerSecond,
		Sent: a.at, Received: r.now,
	})
}

// limitAnswered processes a message from the loader that counts the requests to a server.
func (r *Router) limitAnswered(e LoaderAnsweredLimit) {
	b := r.backends[e.Answer.Server.Instance]
	if b == nil {
		return
	}
	incarnation := fleet.Incarnation{Instance: e.Answer.Server.Instance, Born: e.Answer.Server.Born}
	if incarnation.Compare(b.Incarnation) == 0 {
		r.applyLimit(b, "loader "+string(e.Loader), limit.FromMessage(r.now, e.Answer.Limit, e.Answer.ColdFor))
		r.applyBudget(b, e.Loader, e.Answer)
	}
	if e.Answer.RequestID != 0 {
		r.permitAnswered(b, e.Answer)
	}
}

// applyLimit applies a report on a server's limit. A change is logged and sent to the
// loader that counts.
func (r *Router) applyLimit(b *backend, source string, word limit.Announcement) {
	before, wasLimited := b.limit.gate.Announced()
	if !b.limit.gate.Update(r.now, word) {
		return
	}
	now, limited := b.limit.gate.Announced()
	r.noteLimited(b, wasLimited)
	change := limitChange(wasLimited, before, limited, now)
	r.emit(Count{core.Count{Name: metricServerLimits, Labels: []string{b.Service, change}, Add: 1}})
	r.log(StateChange, "backend server's limit", b.attrs("born", b.Born, "change", change, "per_second", now, "before", before,
		"known_for", r.now.Sub(b.limit.gate.KnownSince()).String(), "source", source, "under_way", len(b.sent))...)
	r.sendLimit(b)
}

// noteLimited updates the list of servers with a limit after a change.
func (r *Router) noteLimited(b *backend, wasLimited bool) {
	if b.limited() {
		r.limited = with(r.limited, b)
	} else {
		r.limited = without(r.limited, b)
	}
	if !wasLimited {
		b.limit.countedAt, b.limit.sent = r.now, 0
	}
}

// limitChange classifies the change of a limit, for logs and metrics.
func limitChange(wasLimited bool, before float64, limited bool, now float64) string {
	switch {
	case !limited:
		return "over"
	case !wasLimited:
		return "named"
	case now < before:
		return "lowered"
	default:
		return "raised"
	}
}

// dropLimit resets a server's limit, which ends with the incarnation that announced it.
func (r *Router) dropLimit(b *backend) {
	r.limited = without(r.limited, b)
	b.limit = r.newServerLimit(b.Instance)
}

// limitMalformed counts a malformed limit, and logs it at most once per limitLogInterval.
func (r *Router) limitMalformed(b *backend, text string) {
	r.emit(Count{core.Count{Name: metricServerLimits, Labels: []string{b.Service, "malformed"}, Add: 1}})
	if l := &b.limit; l.malformedAt == 0 || r.now.Sub(l.malformedAt) >= limitLogInterval {
		l.malformedAt = r.now
		r.log(StateChange, "backend server's limit malformed; ignored", b.attrs("text", text)...)
	}
}

// limitLoader returns the loader that counts, for all routers, the requests sent to a
// server, nil while it can't be reached. For an engine it is the loader beside it. A plain
// service's server has none: all routers that know the same engines choose the same loader
// by rendezvous hashing.
//
// A loader that can't be reached still counts for a server that names a limit, since two loaders
// would grant twice the limit. For a budget alone another one is chosen: without a loader there
// is none, and of two budgets each follows the server's load.
func (r *Router) limitLoader(b *backend) *loader {
	limiting := b.loader
	if limiting == nil {
		limiting = r.plainLimitLoader(b)
	}
	if limiting == nil || !limiting.up {
		return nil
	}
	return limiting
}

func (r *Router) plainLimitLoader(b *backend) (limiting *loader) {
	var best uint64
	_, named := b.limit.gate.Announced()
	onlyUp := !named && r.budgetObjective(b) > 0
	for _, l := range r.sortedLoaders() {
		if onlyUp && !l.up {
			continue
		}
		score := core.Score(b.Instance, string(l.name))
		if (limiting == nil || score > best) && r.engineAt(l) != nil {
			limiting, best = l, score
		}
	}
	return limiting
}

// sendLimit sends the loader that counts what is known of a server's limit, and the
// requests sent there that the loader did not count.
func (r *Router) sendLimit(b *backend) {
	if limiting := r.limitLoader(b); limiting != nil {
		r.emit(SendLimitRequest{Loader: limiting.name, Request: r.limitMessage(b)})
	}
}

// sendLimits sends a loader that has just connected the limits that it counts for.
func (r *Router) sendLimits(l *loader) {
	for _, b := range r.limited {
		if r.limitLoader(b) == l {
			b.limit.gate.LoaderReconnected(r.now)
			b.limit.holds.Clear()
			r.sendLimit(b)
		}
	}
}

func (r *Router) limitMessage(b *backend) core.LimitRequest {
	return core.LimitRequest{
		Server: serverLife(b.Incarnation), Limit: b.limit.gate.Message(r.now), Uncounted: b.limit.gate.TakeUncounted(r.now),
		ColdFor: b.limit.gate.ColdFor(r.now), Load: r.takeServerLoad(b), UnreadFor: r.unreadFor(b),
	}
}

// countLimited counts a request sent to a server with a limit.
func (r *Router) countLimited(b *backend) {
	if !b.limited() {
		return
	}
	b.limit.sent++
	r.emit(Count{core.Count{Name: metricLimitedSends, Labels: []string{b.Service}, Add: 1}})
}

// logLimitedSends logs at intervals how many requests were sent to servers with a limit.
func (r *Router) logLimitedSends() {
	for _, b := range r.limited {
		l := &b.limit
		if r.now.Sub(l.countedAt) < limitLogInterval {
			continue
		}
		perSecond, _ := l.gate.Limit()
		r.log(StateChange, "requests sent to a server with a limit", b.attrs("per_second", perSecond, "sent", l.sent,
			"within", r.now.Sub(l.countedAt).String(), "known_for", r.now.Sub(l.gate.KnownSince()).String())...)
		l.countedAt, l.sent = r.now, 0
	}
}
