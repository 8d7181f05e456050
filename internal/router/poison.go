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

// This file prevents requests that crash servers from being sent to more of them.
//
// A request may crash each engine that begins to run it: as a whole, retried each second under a
// new id and at any router, or by a part of its prompt, which many different requests hold. Each
// engine is away for some seconds, with up to 64 requests of other callers and its models. In
// 71 s 33 engines of 12 ended in this way, up to three at a time, and 105 callers in 15 s lost
// their answers.
//
// No router sees enough on its own. Each reports what it lost when a server ended (see
// serverend.go) and which parts a server wrote on since (see parts.go); two loaders relay the
// report, and all routers reach the same conclusion from it. The conclusion is stored in three
// places: at the routers, at the loaders, which pass it on to routers that start, and in the
// platform's store, in case all processes end.

// poisonRelays is how many loaders relay news: one may be frozen or unreachable.
const poisonRelays = 2

// relayPoison sends news to the other routers. If no loader can relay it, it is written to
// the store under a name that no other news has.
func (r *Router) relayPoison(name string, news core.PoisonNews) {
	if to := r.Relays(poisonRelays); len(to) > 0 {
		r.emit(RelayPoison{Via: to, News: news})
		return
	}
	r.emit(Publish{Name: name, News: news})
}

// poisonReported processes news. A server that another router found to have ended has ended
// for this one too: without a loader, this router would notice only some seconds later.
func (r *Router) poisonReported(news core.PoisonNews) {
	r.ledger.AddNews(r.now, news)
	r.heardHarmless(news.Harmless)
	r.heardAnswered(news.Answered)
	for _, end := range news.Ends {
		b := r.backends[end.Life.Instance]
		if b != nil && (fleet.Incarnation{Instance: end.Life.Instance, Born: end.Life.Born}).Compare(b.Incarnation) == 0 {
			r.serverEnded(b, "another router found it gone")
		}
	}
	r.findPoison()
}

// findPoison ends this router's requests that must not be sent, by suspects that were just found
// to crash servers: those that wait, and those that no server has begun to answer.
func (r *Router) findPoison() {
	found := r.ledger.Found(r.now)
	for _, f := range found {
		kind := r.ledger.Kind(f).String()
		r.emit(Count{core.Count{Name: metricPoison, Labels: []string{kind}, Add: 1}})
		r.log(StateChange, "poison "+kind+" found: servers ended while running it", r.evidenceAttrs(f)...)
		if r.ledger.Local(f) {
			r.publish(f)
		}
		r.noteFoundPart(f)
	}
	if len(found) == 0 {
		return
	}
	for _, key := range slices.Sorted(maps.Keys(r.requests)) {
		req := r.requests[key]
		if req == nil || !req.recallable() {
			continue
		}
		if suspect, poison := r.poisonIn(req); poison {
			r.recall(req, suspect)
		}
	}
}

// poisonIn returns the suspect because of which a request must not be sent: the request itself
// or a part of its prompt.
func (r *Router) poisonIn(req *request) (suspect core.Fingerprint, poison bool) {
	if r.ledger.Clean() {
		return 0, false
	}
	if r.ledger.Poison(req.fingerprint) {
		return req.fingerprint, true
	}
	for _, part := range req.sharedParts() {
		if r.ledger.Poison(part.fingerprint) {
			r.ledger.SetName(part.fingerprint, part.name)
			return part.fingerprint, true
		}
	}
	return 0, false
}

// recallable reports whether a request waits or no server has begun to answer it. It is
// false for a request whose attempt has just failed: its outcome is being decided
// elsewhere.
func (req *request) recallable() bool {
	return req.waiting != nil || req.backend != nil && !req.attempt.answered
}

// recall ends a request that waits, or that a server has not begun to answer.
func (r *Router) recall(req *request, suspect core.Fingerprint) {
	if req.backend != nil {
		r.emit(Abandon{Key: req.key, Attempt: req.number})
	}
	r.refusePoison(req, suspect)
}

// refusePoison ends a request without sending it. Its status does not promise that nothing
// has run: the same work may have run before, and a caller that retries would be refused again.
func (r *Router) refusePoison(req *request, suspect core.Fingerprint) {
	kind := r.ledger.Kind(suspect)
	r.ledger.RecordArrival(r.now, suspect)
	r.emit(Count{core.Count{Name: metricPoisonRefused, Labels: []string{kind.String()}, Add: 1}})
	r.log(SingleRequest, "poison "+kind.String()+" not sent", slices.Concat(req.attrs(), r.evidenceAttrs(suspect))...)
	if at, ok := r.published[suspect]; !ok {
		r.published[suspect] = r.now
	} else if r.now.Sub(at) > poison.Retention/2 {
		r.publish(suspect)
	}
	c, what := code.PoisonRequest, "request"
	if kind == poison.Part {
		c, what = code.PoisonPart, "requests with part"
	}
	if req.forwarded {
		c = code.AnswerCut
	}
	r.finish(req, c, 0, fmt.Sprintf("%d backend servers ended under %s %s", r.ledger.Ends(suspect), what, suspect))
}

// evidenceAttrs are log attributes that show which servers ended on a request, and since
// when.
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
		slog.String("fingerprint", f.String()), slog.String("part", r.ledger.Name(f)), slog.Any("ended", servers), slog.String("first_ago", first.String()),
		slog.String("last_ago", last.String()), slog.Bool("own", r.ledger.Local(f)),
	}
}

// publish writes the evidence against a request to the platform's store.
//
// It guards against the end of all processes at once: the new ones would have no evidence,
// and three more servers would end before they did.
func (r *Router) publish(f core.Fingerprint) {
	r.published[f] = r.now
	r.emit(Publish{Name: f.String(), News: core.PoisonNews{Ends: r.ledger.Evidence(r.now, f)}})
}

// answeredWhole clears the evidence against a request that was answered completely.
func (r *Router) answeredWhole(req *request) {
	if ends := r.ledger.Ends(req.fingerprint); ends > 1 {
		r.clear(req.fingerprint, "it was answered whole")
	} else if ends == 1 {
		r.ledger.Clear(r.now, req.fingerprint) // a single end reported by other routers is no evidence
	}
}

// liftPoison clears the evidence against a suspect by an operator's order.
func (r *Router) liftPoison(f core.Fingerprint) { r.clear(f, "an operator lifted it") }

// clear removes the evidence against a suspect, here and at the other routers, and replaces
// the evidence in the store.
func (r *Router) clear(f core.Fingerprint, why string) {
	r.log(StateChange, "evidence against "+r.ledger.Kind(f).String()+" cleared", append(r.evidenceAttrs(f), slog.String("why", why))...)
	news := core.PoisonNews{Cleared: []core.Fingerprint{f}}
	if r.ledger.Poison(f) {
		r.emit(Publish{Name: f.String(), News: news})
	}
	r.ledger.Clear(r.now, f)
	delete(r.published, f)
	r.relayPoison(f.String(), news)
}

func (r *Router) expirePoison() {
	r.ledger.Expire(r.now)
	maps.DeleteFunc(r.harmless, func(f core.Fingerprint, _ *harmlessTell) bool { return !r.ledger.Known(f) })
	maps.DeleteFunc(r.foundParts, func(f core.Fingerprint, _ int) bool { return !r.ledger.Known(f) })
	maps.DeleteFunc(r.published, func(f core.Fingerprint, _ core.Time) bool { return r.ledger.Ends(f) == 0 })
}
