package retrybudget_test

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/retrybudget"
	"nutmeglane.example/nutmeglane/internal/retrybudget/retrybudgettest"
)

const (
	start = core.Time(time.Hour)
	// step is the time between two requests, each of which is retried once if the budget allows it.
	step = 50 * time.Millisecond
)

func bounds() retrybudget.Bounds {
	return retrybudget.Bounds{Window: 10 * time.Second, Ratio: 0.2, Slack: 6}
}

// Guards against a slack that is used again while the retries that used it may still arrive.
func TestUnsettledRetriesKeepTheSlack(t *testing.T) {
	b := retrybudget.New(bounds())
	var request retrybudget.Tracker
	request.Sent()
	for request.Take(b, start, 6) {
	}
	if b.Has(start.Add(30*time.Second), 6) {
		t.Error("a retry is left while six may still arrive")
	}
	settled := start.Add(30 * time.Second)
	if got := request.Settle(b, settled).Retries; got != 6 {
		t.Fatalf("%d retries settled, want 6", got)
	}
	if b.Has(settled.Add(10*time.Second), 6) {
		t.Error("a retry is left within a window after six have arrived")
	}
	if !b.Has(settled.Add(11*time.Second), 6) {
		t.Error("no retry is left a window after six have arrived")
	}
}

// Guards against earned retries that arrive late beside a whole window's retries.
func TestLateEarnedRetriesUseTheSlack(t *testing.T) {
	b := retrybudget.New(bounds())
	for range 20 {
		b.Request(start)
	}
	var request retrybudget.Tracker
	request.Sent()
	for range 3 {
		request.Take(b, start, 6)
	}
	later := start.Add(4 * time.Second)
	if got := b.Dump(later).Late; got != 3 {
		t.Errorf("%.0f late retries, want 3", got)
	}
	var others int
	for b.Take(later, 6) {
		others++
	}
	if others != 3 {
		t.Errorf("%d retries beside three late ones, want 3 of a slack of 6", others)
	}
}

// arrival is a request or a retry that arrives at its server.
type arrival struct {
	at core.Time
	id string
}

// Guards against retries over the bound in any window when some of them arrive late: each by a time
// of its own, or those of some seconds together.
func TestBoundHoldsWhenRetriesArriveLate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, log := retrybudget.New(bounds()), retrybudgettest.New(bounds())
		maxDelay := rapid.IntRange(0, 9000).Draw(t, "longest delay in ms")
		standsEvery := time.Duration(rapid.IntRange(1, 20).Draw(t, "seconds between standstills")) * time.Second
		standsFor := time.Duration(rapid.IntRange(0, 9).Draw(t, "seconds of a standstill")) * time.Second
		retried := rapid.IntRange(1, 10).Draw(t, "tenths of requests that are retried")
		var arrivals []arrival
		var open []pending
		for i := range 1200 {
			now := start.Add(time.Duration(i) * step)
			open = settleDue(b, open, now)
			b.Request(now)
			log.Request(now)
			id := fmt.Sprint(i)
			arrivals = append(arrivals, arrival{now, id})
			request := &retrybudget.Tracker{}
			if i%10 >= retried || !request.Take(b, now, 6) {
				continue
			}
			request.Sent()
			at := now.Add(time.Duration(rapid.IntRange(0, maxDelay).Draw(t, "delay")) * time.Millisecond)
			if cycle := time.Duration(at.Sub(start)) % (standsEvery + standsFor); cycle < standsFor {
				at = at.Add(standsFor - cycle)
			}
			arrivals = append(arrivals, arrival{at, id})
			open = append(open, pending{at, request})
		}
		slices.SortStableFunc(arrivals, func(a, b arrival) int { return cmp.Compare(a.at, b.at) })
		for _, a := range arrivals {
			log.Arrival(a.at, a.id)
		}
		if worst := log.Worst(); worst.Exceeded() {
			t.Fatalf("bound exceeded: %v", worst)
		}
	})
}

// pending is a retry that arrives at a time.
type pending struct {
	at      core.Time
	request *retrybudget.Tracker
}

// settleDue settles the retries that have arrived and returns the others.
func settleDue(b *retrybudget.Budget, open []pending, now core.Time) []pending {
	return slices.DeleteFunc(open, func(p pending) bool {
		due := p.at <= now
		if due {
			p.request.Settle(b, now)
		}
		return due
	})
}
