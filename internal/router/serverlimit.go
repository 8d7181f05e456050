package router

import (
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/fleet"
	"nutmeglane.example/nutmeglane/internal/limit"
)

// This file takes in what backend servers tell of the requests a second that they take
// from all routers together.

// limitLineInterval is the time between two lines on what was sent to a server that has a
// limit, and on limits of one server that can't be read.
const limitLineInterval = 4 * time.Second

// serverLimit is what this router knows of one server's limit.
type serverLimit struct {
	word limit.Word
	// since is when this router first heard of the limit that holds.
	since core.Time
	// sent counts the requests that it sent there since countedAt.
	sent      int
	countedAt core.Time
	// malformedAt is when a limit that can't be read was last logged.
	malformedAt core.Time
}

// noteLimit takes in what an answer tells of its server's limit. An answer to a request
// that was sent in an earlier life tells of that one, and one of another server that has
// the address now tells of that server.
func (r *Router) noteLimit(req *request, answer fleet.Answer) {
	b := req.backend
	if answer.Absent || req.attempt.life.Compare(b.Incarnation) != 0 {
		return
	}
	if b.limit == nil && answer.Limit.State == fleet.LimitNone {
		return
	}
	if b.limit == nil {
		b.limit = &serverLimit{}
	}
	if answer.Limit.State == fleet.LimitMalformed {
		r.limitMalformed(b, answer.Limit.Text)
		return
	}
	r.hearLimit(b, limit.Word{
		Named: answer.Limit.State == fleet.LimitNamed, PerSecond: answer.Limit.PerSecond,
		Sent: req.attempt.at, Heard: r.now,
	})
}

// hearLimit takes in a word on a server's limit.
func (r *Router) hearLimit(b *backend, word limit.Word) {
	before := b.limit.word
	now, changed := before.Follow(word)
	b.limit.word = now
	if !changed {
		return
	}
	if !before.Named {
		b.limit.since, b.limit.countedAt, b.limit.sent = r.now, r.now, 0
	}
	if now.Named {
		r.limited = with(r.limited, b)
	} else {
		r.limited = without(r.limited, b)
	}
	change := limitChange(before, now)
	r.emit(Count{core.Count{Name: metricServerLimits, Labels: []string{b.Service, change}, Add: 1}})
	r.log(Belief, "backend server's limit", b.attrs("born", b.Born, "change", change, "per_second", now.PerSecond,
		"before", before.PerSecond, "known_for", r.now.Sub(b.limit.since).String(), "under_way", len(b.sent))...)
}

// limitChange names what became of a limit, for logs and metrics.
func limitChange(before, now limit.Word) string {
	switch {
	case !now.Named:
		return "over"
	case !before.Named:
		return "named"
	case now.PerSecond < before.PerSecond:
		return "lowered"
	default:
		return "raised"
	}
}

// dropLimit forgets a server's limit: it ended with the life that named it.
func (r *Router) dropLimit(b *backend) {
	r.limited, b.limit = without(r.limited, b), nil
}

func (b *backend) limited() bool { return b.limit != nil && b.limit.word.Named }

// limitMalformed counts a limit that can't be read, and logs it now and then.
func (r *Router) limitMalformed(b *backend, text string) {
	r.emit(Count{core.Count{Name: metricServerLimits, Labels: []string{b.Service, "malformed"}, Add: 1}})
	if l := b.limit; l.malformedAt == 0 || r.now.Sub(l.malformedAt) >= limitLineInterval {
		l.malformedAt = r.now
		r.log(Belief, "backend server's limit can't be read; it changes nothing", b.attrs("text", text)...)
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
		l := b.limit
		if r.now.Sub(l.countedAt) < limitLineInterval {
			continue
		}
		r.log(Belief, "requests sent to a server with a limit", b.attrs("per_second", l.word.PerSecond, "sent", l.sent,
			"within", r.now.Sub(l.countedAt).String(), "known_for", r.now.Sub(l.since).String())...)
		l.countedAt, l.sent = r.now, 0
	}
}
