package limit

import (
	"testing"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
)

func life(born int64) core.ServerLife { return core.ServerLife{Instance: "s", Born: born} }

func limitRequest(born int64, perSecond float64, request uint64) core.LimitRequest {
	return core.LimitRequest{
		Server: life(born), RequestID: request,
		Limit: core.ReportedLimit{Named: true, PerSecond: perSecond, SentAgo: 20 * time.Millisecond, ReceivedAgo: 10 * time.Millisecond},
	}
}

// countGranted requests a permit each 10 ms for a duration and counts those granted.
func countGranted(l *Limiter, from core.Time, lasts time.Duration, request core.LimitRequest) int {
	n := 0
	for t := time.Duration(0); t < lasts; t += 10 * time.Millisecond {
		if answer, _ := l.Handle(from.Add(t), request); answer.Granted {
			n++
		}
	}
	return n
}

// A server that received 14 requests a second announces a limit of 5. The requests of the
// seconds before must count: the server must receive none until they have left the
// window, and then as many as its limit.
func TestRequestsBeforeAnnouncementCount(t *testing.T) {
	l := NewLimiter()
	first := limitRequest(0, 5, 0)
	first.Uncounted = []float64{7, 7, 7, 7, 7, 7, 7, 7}
	l.Handle(start, first)
	if n := countGranted(l, start, 1500*time.Millisecond, limitRequest(0, 5, 1)); n > 0 {
		t.Errorf("%d granted within 1.5 s, after 56 in 4 s", n)
	}
	countGranted(l, start.Add(1500*time.Millisecond), 4*time.Second, limitRequest(0, 5, 1))
	if n := countGranted(l, start.Add(6*time.Second), 4*time.Second, limitRequest(0, 5, 1)); n < 19 || n > 26 { // the bucket allows a burst of one more second
		t.Errorf("%d granted within 4 s, of 5 a second", n)
	}
}

// Requests that another server could serve must leave a part of a limit to those that no
// other server can.
func TestSpareRequestsLeaveReserve(t *testing.T) {
	l := NewLimiter()
	spare := limitRequest(0, 10, 1)
	spare.Spare = true
	countGranted(l, start, 4*time.Second, spare)
	at := start.Add(4 * time.Second)
	if answer, _ := l.Handle(at, spare); answer.Granted || answer.Room == 0 {
		t.Errorf("spare: %+v, want it refused with a delay", answer)
	}
	if answer, _ := l.Handle(at, limitRequest(0, 10, 2)); !answer.Granted {
		t.Errorf("no other server: %+v, want it granted", answer)
	}
}

// Refused requests must get retry times one permit apart, so that callers do not retry at
// the same time.
func TestRefusedRequestsGetDifferentRetryTimes(t *testing.T) {
	l := NewLimiter()
	countGranted(l, start, 100*time.Millisecond, limitRequest(0, 2, 1))
	var last time.Duration
	for i := range 5 {
		answer, _ := l.Handle(start.Add(time.Second/10), limitRequest(0, 2, 1))
		if answer.Granted || answer.Room-last < 400*time.Millisecond && answer.Room < maxRetryDelay-time.Second {
			t.Fatalf("request %d: %+v after a delay of %v", i, answer, last)
		}
		last = answer.Room
	}
}

// A server restarted under its instance. The limit of the previous life must end, and a
// late message on it must change nothing.
func TestLimiterSeparatesServerLives(t *testing.T) {
	l := NewLimiter()
	l.Handle(start, limitRequest(1, 2, 0))
	if answer, _ := l.Handle(start, core.LimitRequest{Server: life(2), RequestID: 1}); !answer.Granted {
		t.Errorf("the next life: %+v, want it granted", answer)
	}
	if answer, broadcast := l.Handle(start, limitRequest(1, 2, 1)); answer.Granted || broadcast != nil {
		t.Errorf("a message on the previous life: %+v, %+v", answer, broadcast)
	}
	if all := l.Active(start); len(all) != 0 {
		t.Errorf("a router that connects is sent %+v", all)
	}
}

// A limit is announced, raised and dropped. Each change must be broadcast once, and
// nothing else.
func TestOnlyChangesAreBroadcast(t *testing.T) {
	l := NewLimiter()
	at := start
	for i, step := range []struct {
		message   core.ReportedLimit
		broadcast bool
	}{
		{core.ReportedLimit{}, false},
		{limitRequest(0, 5, 0).Limit, true},
		{limitRequest(0, 5, 0).Limit, false},
		{limitRequest(0, 9, 0).Limit, true},
		{core.ReportedLimit{SentAgo: 2, ReceivedAgo: 1}, true},
		{core.ReportedLimit{SentAgo: 2, ReceivedAgo: 1}, false},
	} {
		at = at.Add(time.Second)
		_, broadcast := l.Handle(at, core.LimitRequest{Server: life(0), Limit: step.message})
		if (broadcast != nil) != step.broadcast {
			t.Errorf("message %d: broadcast %+v", i, broadcast)
		}
	}
}

// Servers of which no router reports anything must be removed, so that a loader's memory
// does not grow with each server that ever announced a limit.
func TestRemoveStale(t *testing.T) {
	l := NewLimiter()
	l.Handle(start, limitRequest(0, 5, 0))
	l.RemoveStale(start.Add(staleAfter))
	if len(l.servers) != 1 {
		t.Error("removed too soon")
	}
	l.RemoveStale(start.Add(staleAfter + 1))
	if len(l.servers) != 0 {
		t.Error("not removed")
	}
}

// Guards against a server that reads nothing and gets requests up to its limit, which arrive together
// once it goes on; and against one that gets single requests although it has answered since.
func TestSilentServerGetsSingleRequests(t *testing.T) {
	l, server := NewLimiter(), core.ServerLife{Instance: "s0"}
	// granted asks for 20 permits within two seconds.
	granted := func(from core.Time, answeredAgo, unreadFor time.Duration) (n int) {
		for i := range 20 {
			reply, _ := l.Handle(from.Add(time.Duration(i)*100*time.Millisecond), core.LimitRequest{
				Server: server, RequestID: uint64(i + 1), UnreadFor: unreadFor,
				Limit: core.ReportedLimit{Named: true, PerSecond: 10, SentAgo: answeredAgo, ReceivedAgo: answeredAgo},
			})
			if reply.Granted {
				n++
			}
		}
		return n
	}
	if n := granted(start, time.Millisecond, 0); n < 15 {
		t.Errorf("%d of 20 granted at the limit", n)
	}
	if n := granted(start.Add(10*time.Second), 5*time.Second, time.Second); n > 2 {
		t.Errorf("%d granted within two seconds to a silent server", n)
	}
	if n := granted(start.Add(12*time.Second), time.Millisecond, 0); n < 15 {
		t.Errorf("%d of 20 granted to a server that has answered since", n)
	}
	if n := granted(start.Add(14*time.Second), time.Millisecond, 3*time.Second); n < 15 {
		t.Errorf("%d of 20 granted although what was unread is older than its last answer", n)
	}
	l.Handle(start.Add(20*time.Second), core.LimitRequest{Server: server, UnreadFor: time.Second})
	if n := granted(start.Add(23*time.Second), 10*time.Second, 0); n < 15 {
		t.Errorf("%d of 20 granted once the report is old", n)
	}
}
