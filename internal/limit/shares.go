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

// shareState is the state of the shares of a server's permits. Its zero value is ready for use.
type shareState struct {
	// shares is nil until the first permit of a budget is requested.
	shares *fairshare.Shares
	// rankRetries schedules the retries of requests that were refused for their rank. Their
	// permits are not those that other requests wait for.
	rankRetries RetrySchedule
}

// answerByShares grants or refuses a request for a permit by rank and shares.
func (s *limitedServer) answerByShares(now core.Time, request core.LimitRequest) *core.LimitReply {
	if s.shares == nil {
		s.shares = fairshare.New()
	}
	reply := s.message(now)
	reply.RequestID, reply.Spare = request.RequestID, request.Spare
	ask, _ := fairshare.FromMessage(request) // the loader counts the malformed fields
	decision := s.shares.Decide(now, ask, s.shareBucket(now))
	switch reserve := s.spareReserve(request); {
	case decision.OverShare:
		reply.Cause = core.ShareUsed
		// The next permit of an account does not depend on those of other accounts: in one
		// schedule for all, an account with a small share held the others back for seconds.
		reply.Room = max(minDelay, decision.Room)
	case s.bucket.take(now, max(reserve, decision.Reserve)):
		s.shares.Granted(now, ask)
		reply.Granted = true
	case s.bucket.has(now, reserve):
		s.shares.Refused(now, ask, !s.bucket.has(now, 0))
		reply.Cause = core.UrgentFirst
		reply.Room = s.rankRetries.Next(now, s.bucket.delay(now, max(reserve, decision.Reserve)), permitInterval(s.bucket.rate))
	default:
		s.shares.Refused(now, ask, !s.bucket.has(now, 0))
		reply.Room = s.bucket.delay(now, reserve)
		if !request.Spare {
			reply.Room = s.retries.Next(now, reply.Room, permitInterval(s.bucket.rate))
		}
	}
	return reply
}

// spareReserve returns how many permits a request leaves to those that no other server can
// serve.
func (s *limitedServer) spareReserve(request core.LimitRequest) float64 {
	if !request.Spare {
		return 0
	}
	return spareShare * (s.bucket.capacity() - 1)
}

// shareBucket returns the state of the token bucket.
func (s *limitedServer) shareBucket(now core.Time) fairshare.Bucket {
	s.bucket.fill(now)
	return fairshare.Bucket{Left: s.bucket.tokens, Capacity: s.bucket.capacity(), PerSecond: s.bucket.rate}
}

// ShareChanges returns the starts and ends of the periods in which client accounts are refused
// for their shares, by server instance, since the last call. The loader logs them.
func (l *Limiter) ShareChanges(now core.Time) []ShareChange {
	if !l.sharing() {
		return nil
	}
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

// sharing reports whether the permits of any server are shared.
func (l *Limiter) sharing() bool {
	for _, s := range l.servers {
		if s.shares != nil {
			return true
		}
	}
	return false
}

// ShareChange is a change at one server.
type ShareChange struct {
	Server core.ServerLife
	fairshare.Change
}

// shareStates returns the dump of the accounts, nil without a budget.
func (s *limitedServer) shareStates(now core.Time) []fairshare.State {
	if s.shares == nil || !s.grantsByShares() {
		return nil
	}
	return s.shares.Dump(now, s.shareBucket(now))
}
