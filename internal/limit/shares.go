package limit

import (
	"maps"
	"slices"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/fairshare"
)

// This file grants the permits of engines with a budget by rank and by the shares of client
// accounts. See package fairshare. The limits that servers announce themselves are granted to
// whoever asks first.

// budgeted is the state of a server that has a budget. Its zero value is a server without one.
type budgeted struct {
	// budget is set while the server has a budget.
	budget bool
	// shares is nil until the first permit of a budget is requested.
	shares *fairshare.Shares
	// shareRetries and rankRetries schedule the retries of requests that were refused for their
	// account's share or their rank. Their permits are not those that other requests wait for.
	shareRetries, rankRetries RetrySchedule
}

// hasBudget reports whether permits are granted by rank and shares.
func (b *budgeted) hasBudget() bool { return b.budget }

// answerByShares grants or refuses a request for a permit. The reserve is the part of the
// bucket that the request leaves in any case.
func (s *limitedServer) answerByShares(now core.Time, request core.LimitRequest, reserve float64, reply *core.LimitReply) {
	if s.shares == nil {
		s.shares = fairshare.New()
	}
	ask, _ := fairshare.FromMessage(request) // malformed fields are counted by the loader
	decision := s.shares.Decide(now, ask, s.shareBucket())
	interval := permitInterval(s.bucket.rate)
	switch {
	case decision.OverShare:
		reply.Cause = core.ShareUsed
		reply.Room = s.shareRetries.Next(now, max(minDelay, decision.Room), interval)
	case s.bucket.take(now, max(reserve, decision.Reserve)):
		s.shares.Granted(now, ask)
		reply.Granted = true
	case s.bucket.has(now, reserve):
		s.shares.Refused(now)
		reply.Cause = core.UrgentFirst
		reply.Room = s.rankRetries.Next(now, s.bucket.delay(now, decision.Reserve), interval)
	default:
		s.shares.Refused(now)
		reply.Room = s.bucket.delay(now, reserve)
		if !request.Spare {
			reply.Room = s.retries.Next(now, reply.Room, interval)
		}
	}
}

// shareBucket describes the token bucket.
func (s *limitedServer) shareBucket() fairshare.Bucket {
	return fairshare.Bucket{Capacity: s.bucket.capacity(), PerSecond: s.bucket.rate}
}

// ShareChanges returns the starts and ends of the periods in which client accounts are refused
// for their shares, by server instance, since the last call. The loader logs them.
func (l *Limiter) ShareChanges(now core.Time) []ShareChange {
	var all []ShareChange
	for _, instance := range slices.Sorted(maps.Keys(l.servers)) {
		s := l.servers[instance]
		if s.shares == nil {
			continue
		}
		for _, change := range s.shares.TakeChanges(now) {
			all = append(all, ShareChange{Server: s.life, Change: change})
		}
	}
	return all
}

// ShareChange is a change at one server.
type ShareChange struct {
	Server core.ServerLife
	fairshare.Change
}

// shareStates returns the dump of the accounts, nil without a budget.
func (s *limitedServer) shareStates(now core.Time) []fairshare.State {
	if s.shares == nil || !s.hasBudget() {
		return nil
	}
	return s.shares.Dump(now, s.shareBucket())
}
