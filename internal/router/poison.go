package router

import (
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"time"

	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/fleet"
	"nutmeglane.example/nutmeglane/internal/poison"
)

// This file keeps requests that crash the servers which run them from further ones.
//
// It answers this pattern: one caller's request crashes each engine that begins to run
// it, and comes again each second under a new id, at any router. Each engine is away
// for some seconds, with up to 64 requests of others and its models. In 71 s 33 engines
// of 12 ended so, up to three at a time, and 105 callers in 15 s lost their answers.
//
// No router sees enough by itself. Each tells what it lost when a server ended (see
// serverend.go); two loaders pass that on, and all routers conclude the same from it.
// What is concluded lasts in three places: with the routers, with the loaders, which
// tell routers that start, and in the platform's store, for when all processes end.

// poisonRelays is how many loaders pass news on: one may be frozen or cut off.
const poisonRelays = 2

// tellOthers tells the other routers. Without a loader that could pass it on, the store
// does, under a name that no other news has.
func (r *Router) tellOthers(name string, news core.PoisonNews) {
	if to := r.Relays(poisonRelays); len(to) > 0 {
		r.emit(TellRouters{Via: to, News: news})
		return
	}
	r.emit(Publish{Name: name, News: news})
}

// poisonHeard takes news in. A server that another router knows to have ended has ended
// for this one too: servers without a loader show it here some seconds later only.
func (r *Router) poisonHeard(news core.PoisonNews) {
	found := r.ledger.AddNews(r.now, news)
	for _, end := range news.Ends {
		b := r.backends[end.Life.Instance]
		if b != nil && (fleet.Incarnation{Instance: end.Life.Instance, Born: end.Life.Born}).Compare(b.Incarnation) == 0 {
			r.serverEnded(b, "another router found it gone")
		}
	}
	r.keepFromServers(found)
}

// keepFromServers ends what this router has of requests that were just found to crash
// servers: those that wait, and those that no server has begun to answer.
func (r *Router) keepFromServers(found []core.Fingerprint) {
	for _, f := range found {
		r.emit(Count{core.Count{Name: metricPoison, Add: 1}})
		r.log(Belief, "request is kept from servers, as they end under it", r.evidenceAttrs(f)...)
		if r.ledger.Local(f) {
			r.publish(f)
		}
		for _, key := range slices.Sorted(maps.Keys(r.requests)) {
			if req := r.requests[key]; req.fingerprint == f && req.recallable() {
				r.recall(req)
			}
		}
	}
}

// recallable requests wait, or no server has begun to answer them. One whose attempt
// has just failed is neither: what becomes of it is being decided.
func (req *request) recallable() bool {
	return req.waiting != nil || req.backend != nil && !req.attempt.answered
}

// recall ends a request that waits, or that a server has not begun to answer.
func (r *Router) recall(req *request) {
	if req.backend != nil {
		r.emit(Abandon{Key: req.key, Attempt: req.number})
	}
	r.refusePoison(req)
}

// refusePoison ends a request without sending it. The status promises nothing: what the
// caller asks for has run before.
func (r *Router) refusePoison(req *request) {
	f := req.fingerprint
	r.ledger.RecordArrival(r.now, f)
	r.log(OneRequest, "request not sent, as servers ended under it", slices.Concat(req.attrs(), r.evidenceAttrs(f))...)
	if at, ok := r.published[f]; !ok {
		r.published[f] = r.now
	} else if r.now.Sub(at) > poison.Retention/2 {
		r.publish(f)
	}
	c := code.PoisonRequest
	if req.forwarded {
		c = code.AnswerCut
	}
	r.finish(req, c, 0, fmt.Sprintf("%d backend servers ended under request %s", r.ledger.Ends(f), f))
}

// evidenceAttrs tell which servers ended under a request, and since when.
func (r *Router) evidenceAttrs(f core.Fingerprint) []slog.Attr {
	var servers []string
	first, last := time.Duration(0), time.Duration(0)
	for i, e := range r.ledger.Evidence(r.now, f) {
		servers = append(servers, e.Life.Instance)
		first = max(first, e.Ago)
		if i == 0 || e.Ago < last {
			last = e.Ago
		}
	}
	return []slog.Attr{
		slog.String("fingerprint", f.String()), slog.Any("ended", servers), slog.String("first_ago", first.String()),
		slog.String("last_ago", last.String()), slog.Bool("own", r.ledger.Local(f)),
	}
}

// publish keeps the evidence against a request in the platform's store.
//
// It guards against the end of all processes at once: the next ones would know nothing,
// and three more servers would end before they did.
func (r *Router) publish(f core.Fingerprint) {
	r.published[f] = r.now
	r.emit(Publish{Name: f.String(), News: core.PoisonNews{Ends: r.ledger.Evidence(r.now, f)}})
}

// ranWell takes back what was held against a request that has been answered whole.
func (r *Router) ranWell(req *request) {
	if ends := r.ledger.Ends(req.fingerprint); ends > 1 {
		r.clear(req.fingerprint, "it was answered whole")
	} else if ends == 1 {
		r.ledger.Clear(r.now, req.fingerprint) // one end at other routers says nothing
	}
}

// lift is an operator's order.
func (r *Router) lift(f core.Fingerprint) { r.clear(f, "an operator lifted it") }

// clear takes back what is held against a request, here and at the other routers. What
// the store has against it is replaced.
func (r *Router) clear(f core.Fingerprint, why string) {
	r.log(Belief, "request is well", append(r.evidenceAttrs(f), slog.String("why", why))...)
	news := core.PoisonNews{Cleared: []core.Fingerprint{f}}
	if r.ledger.Poison(f) {
		r.emit(Publish{Name: f.String(), News: news})
	}
	r.ledger.Clear(r.now, f)
	delete(r.published, f)
	r.tellOthers(f.String(), news)
}

func (r *Router) forgetPoison() {
	r.ledger.Expire(r.now)
	maps.DeleteFunc(r.published, func(f core.Fingerprint, _ core.Time) bool { return r.ledger.Ends(f) == 0 })
}
