package router

import (
	"math"
	"testing"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/fleet"
)

// Guards against underestimated rates after a restart of the whole fleet, when 20 callers a
// second are back at once: after a second their model counted as called 7 times a second,
// and stayed on too few engines until more calls had been seen.
func TestRateIsRightSoonAfterAStart(t *testing.T) {
	s := &service{rates: map[modelKey]*rate{}}
	start := core.Time(time.Hour)
	now := start
	for ; now < start.Add(time.Second); now = now.Add(50 * time.Millisecond) {
		s.arrival(now, &fleet.Prompt{Model: "m"})
	}
	if got := s.rate(modelKey{model: "m"}).perSecond(now); math.Abs(got-20) > 3 {
		t.Errorf("%.1f a second after one second, want about 20", got)
	}
	for ; now < start.Add(time.Minute); now = now.Add(50 * time.Millisecond) {
		s.arrival(now, &fleet.Prompt{Model: "m"})
	}
	if got := s.rate(modelKey{model: "m"}).perSecond(now); math.Abs(got-20) > 1 {
		t.Errorf("%.1f a second after a minute, want about 20", got)
	}
}

// A single first call must not count as a high rate.
func TestFirstCallIsNoHighRate(t *testing.T) {
	s := &service{rates: map[modelKey]*rate{}}
	s.arrival(core.Time(time.Hour), &fleet.Prompt{Model: "m"})
	if got := s.rate(modelKey{model: "m"}).perSecond(core.Time(time.Hour)); got > 2.5 {
		t.Errorf("%.1f a second after one call", got)
	}
}
