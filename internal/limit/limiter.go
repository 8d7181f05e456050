package limit

import (
	"maps"
	"slices"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/fairshare"
)

const (
	// spareShare is the part of a bucket's capacity that is reserved for requests which
	// no other server can serve.
	spareShare = 0.5
	// staleAfter is how long a server is kept of which no router reports anything.
	staleAfter = time.Minute
)

// Limiter counts, in a loader, the requests of all routers to the servers whose limits it
// enforces. The zero value is not usable; see NewLimiter.
type Limiter struct{ servers map[string]*limitedServer }

// limitedServer is a server whose limit is enforced.
type limitedServer struct {
	life         core.ServerLife
	announcement Announcement
	// budget was set at budgetAt.
	budget   Budget
	budgetAt core.Time
	bucket   bucket
	// retries schedules the retries of routers that were refused.
	retries RetrySchedule
	// silence is what routers reported of a server that reads nothing.
	silence silence
	// updatedAt is when a router last reported anything about the server.
	updatedAt core.Time
	shareState
}

// NewLimiter returns a limiter without servers.
func NewLimiter() *Limiter { return &Limiter{servers: map[string]*limitedServer{}} }

// Handle processes a router's report or request. It returns the answer if a permit was
// requested, and the message to all other routers if the limit has changed.
func (l *Limiter) Handle(now core.Time, request core.LimitRequest) (answer, broadcast *core.LimitReply) {
	s, current := l.server(now, request.Server)
	if !current {
		return refuse(request), nil
	}
	s.updatedAt = now
	before := s.announcement.Named
	changed := s.update(now, request.Limit, request.ColdFor)
	s.bucket.sent.AddParts(now, request.Uncounted)
	s.silence.report(now, request.UnreadFor)
	if changed && (before || s.announcement.Named) {
		broadcast = s.message(now)
	}
	if request.RequestID != 0 {
		answer = s.answer(now, request)
	}
	return answer, broadcast
}

// server returns the state of a server's current life, and false for a message on an
// earlier life.
func (l *Limiter) server(now core.Time, life core.ServerLife) (*limitedServer, bool) {
	s := l.servers[life.Instance]
	if s != nil && life.Born != 0 && life.Born < s.life.Born {
		return nil, false
	}
	// A limit ends with the life of the server that announced it.
	if s == nil || life.Born > s.life.Born {
		s = &limitedServer{life: life, bucket: newBucket(now)}
		l.servers[life.Instance] = s
	}
	return s, true
}

// refuse answers a request for a permit that concerns an earlier life of the server.
func refuse(request core.LimitRequest) *core.LimitReply {
	if request.RequestID == 0 {
		return nil
	}
	return &core.LimitReply{Server: request.Server, RequestID: request.RequestID, Spare: request.Spare, Room: maxRetryDelay}
}

func (s *limitedServer) update(now core.Time, message core.ReportedLimit, coldFor time.Duration) (changed bool) {
	s.announcement, changed = s.announcement.Update(FromMessage(now, message, coldFor))
	if changed {
		s.setRate(now)
	}
	return changed
}

func (s *limitedServer) answer(now core.Time, request core.LimitRequest) *core.LimitReply {
	if wait := s.silence.wait(now, s.announcement); wait > 0 {
		reply := s.message(now)
		reply.RequestID, reply.Spare, reply.Room = request.RequestID, request.Spare, wait
		return reply
	}
	reply := s.decide(now, request)
	if reply.Granted {
		s.silence.grantedAt = now
	}
	return reply
}

// decide answers a request for a permit by the limits in force.
func (s *limitedServer) decide(now core.Time, request core.LimitRequest) *core.LimitReply {
	if s.grantsByShares() {
		return s.answerByShares(now, request)
	}
	reply := s.message(now)
	reply.RequestID, reply.Spare = request.RequestID, request.Spare
	reserve := 0.0
	if request.Spare {
		reserve = spareShare * (s.bucket.capacity() - 1)
	}
	if !s.limited() || s.bucket.take(now, reserve) {
		reply.Granted = true
		return reply
	}
	reply.Room = s.bucket.delay(now, reserve)
	if !request.Spare {
		reply.Room = s.retries.Next(now, reply.Room, permitInterval(s.bucket.rate))
	}
	return reply
}

// message returns the message that announces the server's limit to routers.
func (s *limitedServer) message(now core.Time) *core.LimitReply {
	reply := &core.LimitReply{Server: s.life, Limit: s.announcement.message(now), ColdFor: s.announcement.coldFor(now)}
	reply.Budget, reply.BudgetFor = s.budget.message(now.Sub(s.budgetAt))
	return reply
}

// Active returns the limits in force, for a router that has just connected.
func (l *Limiter) Active(now core.Time) []core.LimitReply {
	var all []core.LimitReply
	for _, instance := range slices.Sorted(maps.Keys(l.servers)) {
		if s := l.servers[instance]; s.limited() {
			all = append(all, *s.message(now))
		}
	}
	return all
}

// State is the dump of a server whose limit is enforced.
type State struct {
	Server core.ServerLife
	// PerSecond is the limit, nil if there is none any more.
	PerSecond *float64
	// Budget is the engine's budget in requests per second, 0 without one.
	Budget float64
	// Tokens are the requests that may be granted at once, Sent those within the window.
	Tokens, Sent float64
	// Shares are the client accounts that asked for permits of an engine with a budget.
	Shares []fairshare.State
}

// Dump returns the state of all servers, sorted by instance.
func (l *Limiter) Dump(now core.Time) []State {
	var states []State
	for _, instance := range slices.Sorted(maps.Keys(l.servers)) {
		s := l.servers[instance]
		state := State{Server: s.life, Budget: s.budget.PerSecond, Tokens: s.bucket.tokens, Sent: s.bucket.sent.Total(now)}
		if s.announcement.Named {
			state.PerSecond = &s.announcement.PerSecond
		}
		state.Shares = s.shareStates(now)
		states = append(states, state)
	}
	return states
}

// RemoveStale removes servers of which no router has reported anything for staleAfter. A
// router that knows a limit there reports it again with its next request.
func (l *Limiter) RemoveStale(now core.Time) {
	maps.DeleteFunc(l.servers, func(_ string, s *limitedServer) bool { return now.Sub(s.updatedAt) > staleAfter })
}

// FromMessage converts a message to an Announcement in this process's time.
func FromMessage(now core.Time, message core.ReportedLimit, coldFor time.Duration) Announcement {
	if message.ReceivedAgo == 0 {
		return Announcement{} // none received yet; see Announcement.message
	}
	a := Announcement{
		Named: message.Named, PerSecond: message.PerSecond,
		Sent: now.Add(-message.SentAgo), Received: now.Add(-message.ReceivedAgo),
	}
	if coldFor > 0 {
		a.ColdUntil = now.Add(coldFor)
	}
	return a
}

// coldFor returns the remaining time for which the limit holds in any case.
func (a Announcement) coldFor(now core.Time) time.Duration { return max(0, a.ColdUntil.Sub(now)) }

// message converts the announcement to a message. ReceivedAgo is 0 only if none was
// received.
func (a Announcement) message(now core.Time) core.ReportedLimit {
	if !a.received() {
		return core.ReportedLimit{}
	}
	return core.ReportedLimit{
		Named: a.Named, PerSecond: a.PerSecond, SentAgo: now.Sub(a.Sent), ReceivedAgo: max(1, now.Sub(a.Received)),
	}
}
