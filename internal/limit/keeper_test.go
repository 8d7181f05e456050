package limit

import (
	"testing"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
)

func life(born int64) core.ServerLife { return core.ServerLife{Instance: "s", Born: born} }

func asks(born int64, perSecond float64, request uint64) core.LimitAsk {
	return core.LimitAsk{
		Server: life(born), Ask: request,
		Limit: core.ReportedLimit{Named: true, PerSecond: perSecond, SentAgo: 20 * time.Millisecond, HeardAgo: 10 * time.Millisecond},
	}
}

// granted counts the questions that are granted, one each 10 ms for a time.
func granted(k *Keeper, from core.Time, lasts time.Duration, ask core.LimitAsk) int {
	n := 0
	for t := time.Duration(0); t < lasts; t += 10 * time.Millisecond {
		if answer, _ := k.Ask(from.Add(t), ask); answer.Granted {
			n++
		}
	}
	return n
}

// A server that got 14 requests a second names 5. What it got in the seconds before counts:
// it gets nothing more until that has passed by, and then what it takes.
func TestWhatAServerGotBeforeItNamedItsLimitCounts(t *testing.T) {
	k := NewKeeper()
	first := asks(0, 5, 0)
	first.Uncounted = []float64{7, 7, 7, 7, 7, 7, 7, 7}
	k.Ask(start, first)
	if n := granted(k, start, 1500*time.Millisecond, asks(0, 5, 1)); n > 0 {
		t.Errorf("%d granted within 1.5 s, after 56 in 4 s", n)
	}
	granted(k, start.Add(1500*time.Millisecond), 4*time.Second, asks(0, 5, 1))
	if n := granted(k, start.Add(6*time.Second), 4*time.Second, asks(0, 5, 1)); n < 19 || n > 26 { // a second more may come at once
		t.Errorf("%d granted within 4 s, of 5 a second", n)
	}
}

// Requests that another server could serve leave a part of a limit to those that no other
// can.
func TestSpareRequestsLeaveAPart(t *testing.T) {
	k := NewKeeper()
	spare := asks(0, 10, 1)
	spare.Spare = true
	granted(k, start, 4*time.Second, spare)
	at := start.Add(4 * time.Second)
	if answer, _ := k.Ask(at, spare); answer.Granted || answer.Room == 0 {
		t.Errorf("spare: %+v, want it refused with a time", answer)
	}
	if answer, _ := k.Ask(at, asks(0, 10, 2)); !answer.Granted {
		t.Errorf("no other server: %+v, want it granted", answer)
	}
}

// Callers whose permit was refused are told times one permit apart, so that they do not
// come back in step.
func TestRefusedAreToldDifferentTimes(t *testing.T) {
	k := NewKeeper()
	granted(k, start, 100*time.Millisecond, asks(0, 2, 1))
	var last time.Duration
	for i := range 5 {
		answer, _ := k.Ask(start.Add(time.Second/10), asks(0, 2, 1))
		if answer.Granted || answer.Room-last < 400*time.Millisecond && answer.Room < longestLine-time.Second {
			t.Fatalf("question %d: %+v after room in %v", i, answer, last)
		}
		last = answer.Room
	}
}

// A server started again under its instance. The limit of the life before is over, and a
// word on it that comes late changes nothing.
func TestKeeperKnowsLivesApart(t *testing.T) {
	k := NewKeeper()
	k.Ask(start, asks(1, 2, 0))
	if answer, _ := k.Ask(start, core.LimitAsk{Server: life(2), Ask: 1}); !answer.Granted {
		t.Errorf("the next life: %+v, want it granted", answer)
	}
	if answer, news := k.Ask(start, asks(1, 2, 1)); answer.Granted || news != nil {
		t.Errorf("a word on the life before: %+v, %+v", answer, news)
	}
	if all := k.All(start); len(all) != 0 {
		t.Errorf("a router that connects is told %+v", all)
	}
}

// A limit is named, told to all once, raised, and over: each is news, and nothing else is.
func TestOnlyChangesAreNews(t *testing.T) {
	k := NewKeeper()
	at := start
	for i, step := range []struct {
		word core.ReportedLimit
		news bool
	}{
		{core.ReportedLimit{}, false},
		{asks(0, 5, 0).Limit, true},
		{asks(0, 5, 0).Limit, false},
		{asks(0, 9, 0).Limit, true},
		{core.ReportedLimit{SentAgo: 2, HeardAgo: 1}, true},
		{core.ReportedLimit{SentAgo: 2, HeardAgo: 1}, false},
	} {
		at = at.Add(time.Second)
		_, news := k.Ask(at, core.LimitAsk{Server: life(0), Limit: step.word})
		if (news != nil) != step.news {
			t.Errorf("word %d: news %+v", i, news)
		}
	}
}

// Servers of which nobody says anything are forgotten, so that a loader's memory does not
// grow with all that ever named a limit.
func TestKeeperForgets(t *testing.T) {
	k := NewKeeper()
	k.Ask(start, asks(0, 5, 0))
	k.Forget(start.Add(forgetAfter))
	if len(k.servers) != 1 {
		t.Error("forgotten too soon")
	}
	k.Forget(start.Add(forgetAfter + 1))
	if len(k.servers) != 0 {
		t.Error("not forgotten")
	}
}
