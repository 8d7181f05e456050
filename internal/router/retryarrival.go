package router

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/retrybudget"
)

// This file follows attempts until it is known that they have arrived at their server or never will,
// since the bound on retries counts them when they arrive.
//
// A server that stands still, or whose link holds what was sent, reads its requests seconds later,
// also those whose connection was closed meanwhile: what has reached the host stays readable there.

// unreadAttempt is an attempt that was left before its server answered.
type unreadAttempt struct {
	service string
	retries *retrybudget.Tracker
	// sentAt is when it was sent, leftAt when it was left.
	sentAt, leftAt core.Time
	request        string
}

// What shows that a request's attempts have arrived or never will, in metrics and logs.
const (
	settledByOutcome = "outcome"
	settledByLater   = "later answer"
	settledByTime    = "time"
)

// settles reports whether the failure shows that the request has arrived or never will: nothing was
// sent, or the server answered or closed the connection.
func (e AttemptFailed) settles() bool {
	return !e.Failure.sent() || e.Failure != NoAnswer || e.Peer != PeerUnknown
}

// settle records that an attempt has arrived or never will.
func (r *Router) settle(req *request, a *attempt) {
	if a.settled {
		return
	}
	a.settled = true
	r.settleRetries(req.service, &req.retries, req.id, settledByOutcome)
}

// leftUnread records that an attempt was left before its server answered.
func (r *Router) leftUnread(req *request, b *backend, a *attempt) {
	b.unread = append(b.unread, unreadAttempt{service: req.service, retries: &req.retries, sentAt: a.at, leftAt: r.now, request: req.id})
	r.withUnread[b] = struct{}{}
}

// hasRead records that a server has answered a request that was sent at a time. It has also read what
// was left there before.
func (r *Router) hasRead(b *backend, sentAt core.Time) {
	b.readAt = r.now
	r.settleUnread(b, sentAt, settledByLater)
	r.readsAgain(b)
}

// expireUnread settles the attempts that were left so long ago that no server is taken to read them.
func (r *Router) expireUnread() {
	byInstance := func(a, b *backend) int { return cmp.Compare(a.Instance, b.Instance) }
	for _, b := range slices.SortedFunc(maps.Keys(r.withUnread), byInstance) {
		r.settleUnread(b, r.now.Add(-r.maxUnread()), settledByTime)
	}
}

// maxUnread is for how long a server is taken to be able to read a request that was left there.
func (r *Router) maxUnread() time.Duration { return r.opts.Bounds.RetryWindow }

// settleUnread settles the attempts that were left at a server by a time.
func (r *Router) settleUnread(b *backend, by core.Time, sign string) {
	read := 0
	for read < len(b.unread) && b.unread[read].leftAt <= by {
		u := b.unread[read]
		r.settleRetries(u.service, u.retries, u.request, sign)
		read++
	}
	b.unread = b.unread[read:]
	if len(b.unread) == 0 {
		b.unread = nil
		delete(r.withUnread, b)
	}
}

// settleRetries settles one attempt of a request, and its retries if it was the last one.
func (r *Router) settleRetries(service string, retries *retrybudget.Tracker, request, sign string) {
	settled := retries.Settle(r.service(service).budget, r.now)
	if settled.Retries == 0 {
		return
	}
	r.emit(Observe{core.Observe{Name: metricRetrySettled, Labels: []string{service, sign}, Value: settled.After.Seconds()}})
	if settled.After > retryBounds(r.opts.Bounds).Delay() {
		r.log(SingleRequest, "retries may have arrived late", attrPairs([]any{"request", request, "service", service,
			"retries", settled.Retries, "after", settled.After.String(), "by", sign})...)
	}
}
