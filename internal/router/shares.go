package router

import (
	"fmt"
	"time"

	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/fairshare"
)

// This file handles refusals of permits that concern one client account or one rank, at engines
// with a budget. See package fairshare.
//
// Such a request goes to another engine with its model, or waits until its engine may grant it
// a permit. If its account has its share and its objective would be missed by then, it is
// refused at once: the other accounts' requests are not held back by it.

// The messages of log lines that package explain reads.
const (
	shareUsedMessage   = "request refused a permit; its account has its share"
	urgentFirstMessage = "request refused a permit; more urgent requests go first"
)

// shareRequest returns what a permit for a request is granted by.
func (r *Router) shareRequest(req *request) fairshare.Request {
	ask := fairshare.Request{Account: req.accountName(), Weight: 1, Rank: max(0, req.rank()), Slack: max(0, req.objectiveLeft(r.now))}
	if req.account != nil && req.account.Limited() {
		ask.Weight = req.account.Rate
	}
	return ask
}

// addShareFields adds to a request for a permit what it is granted by.
func (r *Router) addShareFields(ask *core.LimitRequest, req *request) {
	by := r.shareRequest(req)
	ask.Account, ask.Rank, ask.Slack = by.Account, by.Rank, by.Slack
	if by.Weight != 1 {
		ask.Weight = by.Weight
	}
}

// heldBack handles a refusal that concerns only the request's account or rank.
func (r *Router) heldBack(req *request, b *backend, answer core.LimitReply) {
	b.limit.holds.Record(r.now, r.shareRequest(req), answer.Cause, answer.Room)
	message, outcome := shareUsedMessage, "refused for share"
	if answer.Cause == core.UrgentFirst {
		message, outcome = urgentFirstMessage, "refused for rank"
	} else {
		r.emit(Count{core.Count{Name: metricShareRefusals, Labels: []string{b.Service, r.accountLabel(req)}, Add: 1}})
	}
	r.countPermit(b, outcome)
	r.log(SingleRequest, message, req.attrs("instance", b.Instance, "rank", req.rank(), "room_in", answer.Room.String())...)
	r.dispatch(req)
}

// accountLabel returns the label by which a request's account is counted.
func (r *Router) accountLabel(req *request) string {
	if name := req.accountName(); name == "" || r.accountLabels[name] {
		return name
	}
	return otherAccounts
}

// heldFor returns how long an engine grants a request no permit because of its account or its
// rank, and which of them.
func (r *Router) heldFor(b *backend, req *request) (time.Duration, core.RefusalCause) {
	if len(r.limited) == 0 || !b.limited() {
		return 0, core.NoCapacity
	}
	return b.limit.holds.Delay(r.now, r.shareRequest(req))
}

// hasRoomFor reports whether a server may take this request if no other server can serve it.
func (r *Router) hasRoomFor(b *backend, req *request) bool {
	held, _ := r.heldFor(b, req)
	return held == 0 && r.hasRoom(b)
}

// hasRoomForAny reports whether a server may take one of the requests of a queue.
func (r *Router) hasRoomForAny(b *backend, w *wait) bool {
	if len(r.limited) == 0 || len(w.requests) == 0 {
		return r.hasRoom(b)
	}
	for _, req := range w.requests {
		if r.hasRoomFor(b, req) {
			return true
		}
	}
	return false
}

// refusedForShare refuses a request if all that keeps it from an engine with its model is its
// account's share and it would miss its objective until then. It reports whether it did.
func (r *Router) refusedForShare(req *request) bool {
	first, room := r.firstAfterShare(req)
	if first == nil || room <= req.objectiveLeft(r.now) {
		return false
	}
	reason := fmt.Sprintf("its account has its share of the requests that %s takes", first.Instance)
	if req.mayHaveRun {
		r.giveUp(req, code.AtLimit, reason)
		return true
	}
	r.finish(req, code.AtLimit, r.retryAfterIn(room), reason)
	return true
}

// firstAfterShare returns the engine with the request's model that grants its account another
// permit first, and when; nil if there is none whose permits the account has its share of.
func (r *Router) firstAfterShare(req *request) (first *backend, in time.Duration) {
	if len(r.limited) == 0 {
		return nil, 0
	}
	for _, b := range r.holders(req.service, req.prompt.Model) {
		if !r.hasLoaded(b, req) || !r.usable(b) || !req.mayTry(b) {
			continue
		}
		held, cause := r.heldFor(b, req)
		if cause == core.ShareUsed && (first == nil || held < in) {
			first, in = b, held
		}
	}
	return first, in
}
