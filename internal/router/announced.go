package router

import (
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/fleet"
)

// This file records what backend servers state in their answers about requests that they do
// not want: that they are draining, or for how long the sender should back off.

// malformedLogInterval is the time between two log lines on malformed backoffs of one server.
const malformedLogInterval = 4 * time.Second

// announced is what one server stated of itself in its answers. It ends with the server's
// incarnation.
type announced struct {
	// drainingAt is when an answer first stated that the server is draining, 0 if none has.
	drainingAt core.Time
	// backoffUntil is when the server's longest backoff ends. backoffAt is when the answer
	// that set it arrived.
	backoffUntil, backoffAt core.Time
	// malformedAt is when a malformed backoff was last logged.
	malformedAt core.Time
}

func (a *announced) drainingFor(now core.Time) time.Duration {
	if a.drainingAt == 0 {
		return 0
	}
	return now.Sub(a.drainingAt)
}

func (a *announced) backoffLeft(now core.Time) time.Duration { return max(0, a.backoffUntil.Sub(now)) }

// unwanted returns what a server stated about requests that it does not want, "" if it takes
// them.
func (a *announced) unwanted(now core.Time) string {
	switch {
	case a.drainingAt != 0:
		return "draining"
	case now < a.backoffUntil:
		return "backoff"
	default:
		return ""
	}
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
		r.announcedDraining(b)
	}
	switch e.Answer.Backoff.State {
	case fleet.BackoffReported:
		r.announcedBackoff(b, e.Answer.Backoff.Period)
	case fleet.BackoffMalformed:
		r.backoffMalformed(b, e.Answer.Backoff.Text)
	}
}

func (r *Router) announcedDraining(b *backend) {
	if b.announced.drainingAt != 0 {
		return
	}
	b.announced.drainingAt = r.now
	r.countAnnounced(b, "draining")
	r.log(StateChange, "backend server is draining, by its answer", b.attrs("born", b.Born, "in_registry", b.Draining,
		"store_away", r.storeDownSince != 0, "under_way", len(b.sent))...)
}

func (r *Router) announcedBackoff(b *backend, period time.Duration) {
	left := b.announced.backoffLeft(r.now)
	r.countAnnounced(b, "backoff")
	r.log(StateChange, "backend server wants a backoff", b.attrs("born", b.Born, "period", period.String(),
		"left_before", left.String(), "under_way", len(b.sent))...)
	if period > left {
		b.announced.backoffUntil, b.announced.backoffAt = r.now.Add(period), r.now
	}
}

// backoffMalformed counts a malformed backoff, and logs it at most once per
// malformedLogInterval.
func (r *Router) backoffMalformed(b *backend, text string) {
	r.countAnnounced(b, "malformed")
	if a := &b.announced; a.malformedAt == 0 || r.now.Sub(a.malformedAt) >= malformedLogInterval {
		a.malformedAt = r.now
		r.log(StateChange, "backend server's backoff malformed; ignored", b.attrs("text", text)...)
	}
}

func (r *Router) countAnnounced(b *backend, what string) {
	r.emit(Count{core.Count{Name: metricAnnounced, Labels: []string{b.Service, what}, Add: 1}})
}

// noteUnwanted logs and counts a request that is sent to a server that wants none.
func (r *Router) noteUnwanted(req *request, b *backend) {
	what := b.announced.unwanted(r.now)
	if what == "" {
		return
	}
	r.emit(Count{core.Count{Name: metricUnwanted, Labels: []string{b.Service, what}, Add: 1}})
	r.log(SingleRequest, "request sent to a server that wants none", req.attrs("instance", b.Instance, "what", what,
		"attempt", req.number, "waited", req.waited.String(), "draining_for", b.announced.drainingFor(r.now).String(),
		"backoff_left", b.announced.backoffLeft(r.now).String(), "in_registry", b.Draining)...)
}
