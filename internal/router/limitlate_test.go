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
	for _, servers := range []int{1, 3} {
		for _, perSecond := range []float64{5, 20} {
			t.Run(fmt.Sprintf("%d servers, %v a second", servers, perSecond), func(t *testing.T) {
				f := newBudgetFleet(1, 4, 4, servers, CrowdingOptions{})
				s := f.servers["plain0"]
				s.limit, f.offered = perSecond, 3*perSecond*float64(servers)
				f.run(6 * time.Second)
				from := f.now
				for range 4 {
					s.standStill(3500 * time.Millisecond)
					f.run(10 * time.Second)
				}
				allowed := 1.5*perSecond*limit.Window.Seconds() + 5
				got := mostWithin(s.arrivals, from, limit.Window)
				t.Logf("%d requests within %v, %.0f allowed", got, limit.Window, allowed)
				if float64(got) > allowed {
					t.Errorf("%d requests within %v, %.0f are allowed", got, limit.Window, allowed)
				}
			})
		}
	}
}
