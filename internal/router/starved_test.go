package router

import (
	"testing"
	"time"

	"nutmeglane.example/nutmeglane/internal/code"
)

// A burst takes the router of a small host to twice what its processor can do.
// Answers that came in time reached callers a second late, and time-outs were
// answered late. A part of the new requests must be refused, at once and truly,
// so that callers go to other hosts; all of it ends with the burst.
func TestStarvedRouterShedsAPart(t *testing.T) {
	w := newWorld(t)
	w.servers(plainService, 3)
	refused := func(wait time.Duration) int {
		n := 0
		for range 200 {
			w.step(CPUWaitMeasured{Wait: wait})
			key := w.call("again", nil)
			if finish, ended := w.finishes[key]; ended && finish.Code == code.Starved {
				if finish.RetryAfter <= 0 {
					t.Fatal("no time to come back is told")
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

// The process was frozen and wakes up: the last word on its waits is old.
func TestOldWaitShedsNothing(t *testing.T) {
	w := newWorld(t)
	w.servers(plainService, 3)
	w.step(CPUWaitMeasured{Wait: 2 * starvedFully})
	w.now = w.now.Add(2 * lagFresh)
	if finish, ended := w.finishes[w.call("again", nil)]; ended {
		t.Errorf("refused: %+v", finish)
	}
}
