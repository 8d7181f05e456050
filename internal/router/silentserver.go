package router

import (
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/limit"
)

// This file reports to the loader that counts for a server with a limit that the server reads nothing
// of what is sent to it.

// unreadFor is what is reported with the limit of a server.
func (r *Router) unreadFor(b *backend) time.Duration {
	if b.limit.silentAt == 0 {
		return 0
	}
	return r.now.Sub(b.limit.unreadSince)
}

// reportSilentServers reports the servers of plain services with a limit that read nothing. An engine
// may leave a request unanswered for seconds while it reads prompts.
func (r *Router) reportSilentServers() {
	for _, b := range r.limited {
		if r.engine(b.Service) != nil || r.now.Sub(b.limit.silentAt) < limit.SilentAfter {
			continue
		}
		since := r.unreadSince(b)
		if since == 0 {
			b.limit.silentAt = 0
			continue
		}
		b.limit.silentAt, b.limit.unreadSince = r.now, since
		r.sendLimit(b)
	}
}

// unreadSince returns when the newest request was sent to a server that it has left unanswered for
// limit.SilentAfter, 0 if there is none or if it has answered something else since.
func (r *Router) unreadSince(b *backend) core.Time {
	newest, latest := core.Time(0), r.now.Add(-limit.SilentAfter)
	for _, u := range b.unread {
		if u.sentAt <= latest {
			newest = max(newest, u.sentAt)
		}
	}
	for _, a := range b.sent {
		if !a.settled && a.at <= latest {
			newest = max(newest, a.at)
		}
	}
	if newest <= b.readAt {
		return 0
	}
	return newest
}

// readsAgain reports that a server has answered that was reported to read nothing.
func (r *Router) readsAgain(b *backend) {
	if b.limit.silentAt != 0 {
		b.limit.silentAt = 0
		r.sendLimit(b)
	}
}
