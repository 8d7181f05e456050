package limit

import (
	"testing"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
)

const coldStart = core.Time(time.Hour)

// coldAnnouncement is that of a registry entry which says that its server is cold.
func coldAnnouncement(at core.Time, perSecond float64, coldFor time.Duration) Announcement {
	return Announcement{Named: true, PerSecond: perSecond, Sent: at, Received: at, ColdUntil: at.Add(coldFor)}
}

func answerAt(at core.Time, named bool, perSecond float64) Announcement {
	return Announcement{Named: named, PerSecond: perSecond, Sent: at.Add(-10 * time.Millisecond), Received: at}
}

// Guards against an answer of a cold server that ends its limit: answers don't name it. It must end
// with the first answer after the server has become warm, and a lower limit that the server names
// must hold beside it.
func TestAnswersDoNotEndColdLimit(t *testing.T) {
	a, changed := Announcement{}.Update(coldAnnouncement(coldStart, 14, 3*time.Second))
	if !changed || !a.Named {
		t.Fatal("not limited")
	}
	a, _ = a.Update(answerAt(coldStart.Add(time.Second), false, 0))
	if !a.Named || a.PerSecond != 14 {
		t.Errorf("after an answer without a limit: %+v", a)
	}
	a, _ = a.Update(answerAt(coldStart.Add(1500*time.Millisecond), true, 5))
	if a.PerSecond != 5 {
		t.Errorf("after an answer with a lower limit: %+v", a)
	}
	a, _ = a.Update(coldAnnouncement(coldStart.Add(2*time.Second), 14, 2*time.Second))
	if got := a.coldFor(coldStart.Add(2 * time.Second)); got != 2*time.Second {
		t.Errorf("cold for another %v, want 2s by the newer entry", got)
	}
	a, _ = a.Update(answerAt(coldStart.Add(5*time.Second), false, 0))
	if a.Named {
		t.Errorf("still limited when warm: %+v", a)
	}
}

// Guards against more requests to a cold server within one second, at routers together, than it
// tolerates: a router that does not know yet that it is cold reports answers without a limit, and
// others ask for as many permits as they get.
func TestColdServerGetsFewRequestsInASecond(t *testing.T) {
	const perSecond, share = 21.0, 0.7
	tolerated := 1.5*perSecond + 5
	l := NewLimiter()
	server := core.ServerLife{Instance: "s"}
	cold := coldAnnouncement(coldStart, share*perSecond, 3*time.Second)
	var granted []core.Time
	for now := coldStart; now < coldStart.Add(3*time.Second); now = now.Add(5 * time.Millisecond) {
		answer, _ := l.Handle(now, core.LimitRequest{Server: server, Limit: cold.message(now), ColdFor: cold.coldFor(now), RequestID: 1})
		if answer.Granted {
			granted = append(granted, now)
		}
		ignorant := answerAt(now, false, 0)
		l.Handle(now, core.LimitRequest{Server: server, Limit: ignorant.message(now)})
	}
	for i, from := range granted {
		n := 0
		for _, at := range granted[i:] {
			if at.Sub(from) <= time.Second {
				n++
			}
		}
		if float64(n) > tolerated {
			t.Fatalf("%d requests within a second, tolerated are %g", n, tolerated)
		}
	}
	if len(granted) < 29 {
		t.Errorf("%d requests in 3 s: too few", len(granted))
	}
}
