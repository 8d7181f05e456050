package router

import (
	"maps"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/fleet"
)

// This file records what backend servers state about requests that they do not want, and
// decides whether a server gets requests. A server's own statement counts more than the
// registry, which may be seconds behind or unavailable, and more than a guess of this router.

// announced is what one server stated of itself. It ends with the server's incarnation.
type announced struct {
	// drainingAt is when this router learned that the server is draining, 0 if it has not,
	// drainingBy from whom. It is never revoked: a server that is draining exits, and a
	// statement to the contrary is an older one.
	drainingAt core.Time
	drainingBy string
	backoff    backoff
}

// Sources of the statement that a server is draining.
const (
	byAnswer   = "its answer"
	byRegistry = "the registry"
	byLoader   = "its loader"
	byRouter   = "another router"
)

// exclusion is why a server gets no requests.
type exclusion uint8

const (
	notExcluded exclusion = iota
	// excludedUnlisted servers are no longer in the registry.
	excludedUnlisted
	// excludedDraining servers are about to shut down, or do not answer their loader.
	excludedDraining
	// excludedEvacuated servers are in a zone that an operator has evacuated.
	excludedEvacuated
	// excludedBackoff servers want no requests from this host for some time, or have just
	// begun to take some again.
	excludedBackoff
	// excludedEjected servers failed several requests. Unlike the others, this is a guess,
	// and it does not apply if there is no other server.
	excludedEjected
)

// exclusion returns why a server gets no requests, notExcluded if it does.
func (r *Router) exclusion(b *backend) exclusion {
	switch {
	case b.unlistedAt != 0:
		return excludedUnlisted
	case r.draining(b):
		return excludedDraining
	case r.inEvacuatedZone(b):
		return excludedEvacuated
	case r.backsOff(b):
		return excludedBackoff
	case r.now < b.ejectedUntil:
		return excludedEjected
	default:
		return notExcluded
	}
}

// usable reports whether a server may get requests.
func (r *Router) usable(b *backend) bool { return r.exclusion(b) == notExcluded }

// accepts reports whether a server may get requests if there is no other.
func (r *Router) accepts(b *backend) bool {
	e := r.exclusion(b)
	return e == notExcluded || e == excludedEjected
}

// stays reports whether a server is listed, not draining and in no evacuated zone, so that the
// models that it has count as copies.
func (r *Router) stays(b *backend) bool {
	return b.unlistedAt == 0 && !r.draining(b) && !r.inEvacuatedZone(b)
}

// draining reports whether a server has announced that it is draining, or does not answer its
// loader.
func (r *Router) draining(b *backend) bool {
	if b.announced.draining() {
		return true
	}
	held := r.holdings(b)
	return held != nil && held.Draining
}

// MayStillSend reports whether an attempt may be sent to its server, to which a connection
// had to be opened since the attempt was chosen.
func (r *Router) MayStillSend(server fleet.Incarnation) bool {
	b := r.backends[server.Instance]
	return b != nil && server.Compare(b.Incarnation) == 0 && r.accepts(b)
}

// draining reports whether the server is known to be draining.
func (a *announced) draining() bool { return a.drainingAt != 0 }

func (a *announced) drainingFor(now core.Time) time.Duration {
	if !a.draining() {
		return 0
	}
	return now.Sub(a.drainingAt)
}

// serverAnnounced records what a server stated in the head of an answer. It ignores an answer
// to a request that was sent to an earlier incarnation, and one of another server that has
// taken over the address.
func (r *Router) serverAnnounced(e ServerAnnounced) {
	b := r.backends[e.Server.Instance]
	if b == nil || e.Answer.Absent || e.Server.Compare(b.Incarnation) != 0 {
		return
	}
	if e.Answer.Draining {
		r.noteDraining(b, byAnswer)
	}
	switch e.Answer.Backoff.State {
	case fleet.BackoffReported:
		r.startBackoff(b, e.Answer.Backoff.Period)
	case fleet.BackoffMalformed:
		r.backoffMalformed(b, e.Answer.Backoff.Text)
	}
	r.recheckWaitsFor(b)
}

// noteDraining records that a server is draining. The other routers are told unless they
// learn it from the registry or from the server's loader.
func (r *Router) noteDraining(b *backend, source string) {
	if b.announced.draining() {
		return
	}
	b.announced.drainingAt, b.announced.drainingBy = r.now, source
	r.countAnnounced(b, "draining")
	r.log(StateChange, "backend server is draining", b.attrs("born", b.Born, "source", source, "in_registry", b.Draining,
		"store_away", r.storeDownSince != 0, "under_way", len(b.sent))...)
	if source == byAnswer && r.holdings(b) == nil {
		r.relayDraining(b)
	}
}

func (r *Router) relayDraining(b *backend) {
	if to := r.Relays(drainingRelays); len(to) > 0 {
		r.emit(RelayDraining{Via: to, News: core.ServerDraining{Server: serverLife(b.Incarnation)}})
	}
}

// drainingRelays is how many loaders pass a draining server on to the other routers: one may
// be lost.
const drainingRelays = 2

// drainingReported processes the news of another router.
func (r *Router) drainingReported(news core.ServerDraining) {
	b := r.backends[news.Server.Instance]
	if b != nil && (fleet.Incarnation{Instance: news.Server.Instance, Born: news.Server.Born}).Compare(b.Incarnation) == 0 {
		r.noteDraining(b, byRouter)
		r.recheckWaitsFor(b)
	}
}

// departed is a server that left the registry and was forgotten while what it had announced
// applied.
type departed struct {
	fleet.Incarnation
	announced announced
	limit     serverLimit
	// until is when it is dropped.
	until core.Time
}

// rememberDeparted keeps what a server announced when it is forgotten.
//
// It guards against an entry that comes back, because a late write or an old copy of the
// registry contains it: the server would get requests again although it wants none, or as
// many as without its limit.
func (r *Router) rememberDeparted(b *backend) {
	until := b.announced.backoff.until
	if b.announced.draining() || b.limited() {
		until = max(until, r.now.Add(forgetAfter))
	}
	if r.now < until {
		r.departed[b.Instance] = departed{b.Incarnation, b.announced, b.limit, until}
	}
}

// restoreDeparted gives a server that is found again what it had announced.
func (r *Router) restoreDeparted(b *backend) {
	switch d, known := r.departed[b.Instance]; {
	case known && d.Compare(b.Incarnation) < 0:
		b.restartedAt = r.now
	case known && d.Compare(b.Incarnation) == 0:
		b.announced, b.limit = d.announced, d.limit
		b.limit.gate.ExpireBudget(r.now)
		if b.limited() {
			r.limited = with(r.limited, b)
		}
	}
	delete(r.departed, b.Instance)
}

func (r *Router) expireDeparted() {
	maps.DeleteFunc(r.departed, func(_ string, d departed) bool { return r.now >= d.until })
}

func (r *Router) countAnnounced(b *backend, what string) {
	r.emit(Count{core.Count{Name: metricAnnounced, Labels: []string{b.Service, what}, Add: 1}})
}
