package router

import (
	"fmt"
	"testing"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/limit"
)

// mostWithin returns the largest number of times in a window of a length, from a time on.
func mostWithin(times []core.Time, from core.Time, length time.Duration) int {
	most, first := 0, 0
	for i, at := range times {
		if at < from {
			first = i + 1
			continue
		}
		for at.Sub(times[first]) >= length {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// Guards against a server that named a limit and gets more in a window, because it stood still and then
// reads what has reached its host together with what is sent to it from then on.
func TestLimitHoldsForAServerThatStandsStill(t *testing.T) {
	tests := []struct {
		routers, servers int
		perSecond        float64
	}{
		{4, 1, 5}, {4, 1, 20}, {4, 3, 5}, {4, 3, 20}, {28, 1, 5}, {28, 1, 60},
	}
	for _, test := range tests {
		t.Run(fmt.Sprintf("%d routers, %d servers, %v a second", test.routers, test.servers, test.perSecond), func(t *testing.T) {
			f := newBudgetFleet(1, test.routers, 4, test.servers, CrowdingOptions{})
			s := f.servers["plain0"]
			s.limit, f.offered = test.perSecond, 3*test.perSecond*float64(test.servers)
			f.run(6 * time.Second)
			from := f.now
			for range 4 {
				s.standStill(3500 * time.Millisecond)
				f.run(10 * time.Second)
			}
			allowed := 1.5*test.perSecond*limit.Window.Seconds() + 5
			got := mostWithin(s.arrivals, from, limit.Window)
			t.Logf("%d requests within %v, %.0f allowed", got, limit.Window, allowed)
			if float64(got) > allowed {
				t.Errorf("%d requests within %v, %.0f are allowed", got, limit.Window, allowed)
			}
			if test.servers > 1 {
				return // the others take what is asked for
			}
			before := len(s.arrivals)
			f.run(10 * time.Second)
			if used := float64(len(s.arrivals)-before) / 10; used < 0.7*test.perSecond {
				t.Errorf("%.1f requests a second after the server goes on, the limit is %v", used, test.perSecond)
			}
		})
	}
}
