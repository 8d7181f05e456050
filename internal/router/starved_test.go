package router

import (
	"testing"
	"time"

	"nutmeglane.example/nutmeglane/internal/code"
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
