package router

import (
	"fmt"
	"testing"
	"time"

	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/fleet"
)

// Guards against overload of the router of a small host: a burst brings it to twice what
// its processor can do, answers that came in time reach callers a second late, and
// time-outs are answered late. Part of the new requests must be refused at once as not run,
// so that callers go to other hosts; this must end with the burst.
func TestStarvedRouterShedsAPart(t *testing.T) {
	w := newFixture(t)
	w.servers(plainService, 3)
	refused := func(wait time.Duration) int {
		n := 0
		for range 200 {
			w.step(CPUWaitMeasured{Wait: wait})
			key := w.call("again", nil)
			if finish, ended := w.finishes[key]; ended && finish.Code == code.Starved {
				if finish.RetryAfter <= 0 {
					t.Fatal("refused without Retry-After")
				}
				n++
			}
			w.step(Done{Key: key, Attempt: 1})
		}
		return n
	}
	if n := refused(starvedFrom / 2); n != 0 {
		t.Errorf("%d of 200 refused without need", n)
	}
	if n := refused((starvedFrom + starvedFully) / 2); n < 60 || n > 140 {
		t.Errorf("%d of 200 refused half way, want about 100", n)
	}
	if n := refused(2 * starvedFully); n != 200 {
		t.Errorf("%d of 200 refused, want all", n)
	}
	if n := refused(0); n != 0 {
		t.Errorf("%d of 200 refused after the burst", n)
	}
}

// After the process was frozen, the last measurement of its wait is old and must not count.
func TestOldWaitShedsNothing(t *testing.T) {
	w := newFixture(t)
	w.servers(plainService, 3)
	w.step(CPUWaitMeasured{Wait: 2 * starvedFully})
	w.now = w.now.Add(2 * cpuWaitMaxAge)
	if finish, ended := w.finishes[w.call("again", nil)]; ended {
		t.Errorf("refused: %+v", finish)
	}
}

// Guards against a router that most new connections of a zone reach: it would read what it can't
// serve, and refuse it. New connections must be turned away first, some always be accepted, and
// what came on an accepted one be served while that suffices.
func TestStarvedRouterTurnsConnsAwayFirst(t *testing.T) {
	w := newFixture(t)
	w.servers(plainService, 3)
	counts := func(wait time.Duration) (accepted, refused int) {
		w.step(CPUWaitMeasured{Wait: wait})
		for range 1000 {
			if !w.router.AcceptsConn(w.now) {
				continue
			}
			accepted++
			w.nextID++
			key := Key(w.nextID)
			w.step(Arrived{Key: key, Request: fleet.Request{ID: fmt.Sprint(key), NewConn: true, Host: callersHost, Path: "/again/x"}})
			if finish, ended := w.finishes[key]; ended && finish.Code == code.Starved {
				refused++
			}
			w.step(Done{Key: key, Attempt: 1})
		}
		return accepted, refused
	}
	for _, c := range []struct {
		wait                  time.Duration
		fewest, most, refused int
	}{
		{closeConnsFrom / 2, 1000, 1000, 0},
		{(closeConnsFrom + closeConnsFully) / 2, 400, 600, 0},
		{closeConnsFully, 10, 60, 0},
		{newConnStarvedFrom, 10, 60, 0},
		{newConnStarvedFully, 10, 60, 60},
		{0, 1000, 1000, 0},
	} {
		accepted, refused := counts(c.wait)
		if accepted < c.fewest || accepted > c.most || refused > c.refused {
			t.Errorf("wait %v: %d of 1000 accepted, %d of them refused", c.wait, accepted, refused)
		}
	}
}
