package router

import (
	"math"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/fleet"
	"nutmeglane.example/nutmeglane/internal/limit"
)

// This file takes in what backend servers tell of the requests a second that they take
// from all routers together, and tells the loader that counts for them. See package limit.

// limitLineInterval is the time between two lines on what was sent to a server that has a
// limit, and on limits of one server that can't be read.
const limitLineInterval = 4 * time.Second

// serverLimit is what this router knows of one server's limit.
type serverLimit struct {
	gate *limit.Gate
	// sent counts the requests that it sent there since countedAt.
	sent      int
	countedAt core.Time
	// malformedAt is when a limit that can't be read was last logged.
	malformedAt core.Time
}

func (r *Router) newServerLimit(instance string) serverLimit {
	phase := float64(core.Score(string(r.opts.Host), instance)) / math.MaxUint64
	return serverLimit{gate: limit.NewGate(phase)}
}

func (b *backend) limited() bool {
	_, named := b.limit.gate.Limit()
	return named
}

// noteLimit takes in what an answer tells of its server's limit. An answer to a request
// that was sent in an earlier life tells of that one, and one of another server that has
// the address now tells of that server.
func (r *Router) noteLimit(req *request, answer fleet.Answer) {
	b := req.backend
	if answer.Absent || req.attempt.life.Compare(b.Incarnation) != 0 {
		return
	}
	if answer.Limit.State == fleet.LimitMalformed {
		r.limitMalformed(b, answer.Limit.Text)
		return
	}
	r.hearLimit(b, "its answer", limit.Word{
		Named: answer.Limit.State == fleet.LimitNamed, PerSecond: answer.Limit.PerSecond,
		Sent: req.attempt.at, Heard: r.now,
	})
}

// limitTold takes in what the loader that counts tells of a server's limit.
func (r *Router) limitTold(e LoaderLimited) {
	b := r.backends[e.Told.Server.Instance]
	if b == nil {
		return
	}
	life := fleet.Incarnation{Instance: e.Told.Server.Instance, Born: e.Told.Server.Born}
	if life.Compare(b.Incarnation) == 0 {
		r.hearLimit(b, "loader "+string(e.Loader), limit.WordOf(r.now, e.Told.Limit))
	}
	if e.Told.Ask != 0 {
		r.permitAnswered(b, e.Told)
	}
}

// hearLimit takes in a word on a server's limit. A change is logged and told to the loader
// that counts.
func (r *Router) hearLimit(b *backend, source string, word limit.Word) {
	before, wasLimited := b.limit.gate.Limit()
	if !b.limit.gate.Hear(r.now, word) {
		return
	}
	now, limited := b.limit.gate.Limit()
	if limited {
		r.limited = with(r.limited, b)
	} else {
		r.limited = without(r.limited, b)
	}
	if !wasLimited {
		b.limit.countedAt, b.limit.sent = r.now, 0
	}
	change := limitChange(wasLimited, before, limited, now)
	r.emit(Count{core.Count{Name: metricServerLimits, Labels: []string{b.Service, change}, Add: 1}})
	r.log(Belief, "backend server's limit", b.attrs("born", b.Born, "change", change, "per_second", now, "before", before,
		"known_for", r.now.Sub(b.limit.gate.KnownSince()).String(), "source", source, "under_way", len(b.sent))...)
	r.tellKeeper(b)
}

// limitChange names what became of a limit, for logs and metrics.
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

// dropLimit forgets a server's limit: it ended with the life that named it.
func (r *Router) dropLimit(b *backend) {
	r.limited = without(r.limited, b)
	b.limit = r.newServerLimit(b.Instance)
}

// limitMalformed counts a limit that can't be read, and logs it now and then.
func (r *Router) limitMalformed(b *backend, text string) {
	r.emit(Count{core.Count{Name: metricServerLimits, Labels: []string{b.Service, "malformed"}, Add: 1}})
	if l := &b.limit; l.malformedAt == 0 || r.now.Sub(l.malformedAt) >= limitLineInterval {
		l.malformedAt = r.now
		r.log(Belief, "backend server's limit can't be read; it changes nothing", b.attrs("text", text)...)
	}
}

// keeperOf is the loader that counts for all routers what is sent to a server, nil while
// it can't be reached. An engine's is the one beside it. A plain service's server has none:
// all routers that know the same engines take the same loader by rendezvous hashing.
func (r *Router) keeperOf(b *backend) *loader {
	keeper := b.loader
	if keeper == nil {
		keeper = r.plainKeeper(b)
	}
	if keeper == nil || !keeper.up {
		return nil
	}
	return keeper
}

func (r *Router) plainKeeper(b *backend) (keeper *loader) {
	var best uint64
	for _, l := range r.sortedLoaders() {
		score := core.Score(b.Instance, string(l.name))
		if (keeper == nil || score > best) && r.engineAt(l) != nil {
			keeper, best = l, score
		}
	}
	return keeper
}

// tellKeeper tells the loader that counts what is known of a server's limit, and what was
// sent there that it did not count.
func (r *Router) tellKeeper(b *backend) {
	if keeper := r.keeperOf(b); keeper != nil {
		r.emit(AskLimit{Loader: keeper.name, Ask: r.limitWord(b)})
	}
}

// tellLimits tells a loader that has just connected of the limits that it counts for.
func (r *Router) tellLimits(l *loader) {
	for _, b := range r.limited {
		if r.keeperOf(b) == l {
			b.limit.gate.LoaderBack(r.now)
			r.tellKeeper(b)
		}
	}
}

func (r *Router) limitWord(b *backend) core.LimitAsk {
	return core.LimitAsk{
		Server: lifeOf(b.Incarnation), Limit: b.limit.gate.Told(r.now), Uncounted: b.limit.gate.TakeUncounted(r.now),
	}
}

// countLimited counts a request that is sent to a server with a limit.
func (r *Router) countLimited(b *backend) {
	if !b.limited() {
		return
	}
	b.limit.sent++
	r.emit(Count{core.Count{Name: metricLimitedSends, Labels: []string{b.Service}, Add: 1}})
}

// tellLimited logs from time to time what was sent to servers with a limit.
func (r *Router) tellLimited() {
	for _, b := range r.limited {
		l := &b.limit
		if r.now.Sub(l.countedAt) < limitLineInterval {
			continue
		}
		perSecond, _ := l.gate.Limit()
		r.log(Belief, "requests sent to a server with a limit", b.attrs("per_second", perSecond, "sent", l.sent,
			"within", r.now.Sub(l.countedAt).String(), "known_for", r.now.Sub(l.gate.KnownSince()).String())...)
		l.countedAt, l.sent = r.now, 0
	}
}
