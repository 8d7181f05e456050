package enginebudget

import (
	"math"
	"testing"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
)

// feeder feeds a budget samples at the interval of a busy engine's reports.
type feeder struct {
	budget *Budget
	now    core.Time
}

func newFeeder(targets Targets) *feeder {
	return &feeder{budget: New(targets), now: core.Time(time.Hour)}
}

// feed adds the sample n times.
func (f *feeder) feed(n int, s Sample) {
	for range n {
		f.now = f.now.Add(busyInterval)
		s.At = f.now
		f.budget.Add(s)
	}
}

func (f *feeder) wantLimit(t *testing.T, want float64) {
	t.Helper()
	got, limited := f.budget.Limit()
	if limited != (want > 0) || math.Abs(got-want) > 1e-6 {
		t.Errorf("limit %v (%v), want %v", got, limited, want)
	}
}

// reading is a sample of an engine that begins 30 requests a second and always has unread
// prompts.
func reading(unread int) Sample {
	return Sample{Running: 20 + unread, Unread: unread, Begun: 3, Events: 200, KVUsed: 10, KVTotal: 100, Asked: 5}
}

var targets = Targets{FirstEvent: time.Second, Pause: 800 * time.Millisecond}

// Guards against a limit before the capacity was measured, which takes a second with unread
// prompts all the time.
func TestPromptsLimitFollowsTheBacklog(t *testing.T) {
	f := newFeeder(targets)
	f.feed(10, reading(40))
	f.wantLimit(t, 0)
	f.feed(2, reading(40))
	f.wantLimit(t, 1) // 0.8 x 30 less 40 - 15, at least 1
	if f.budget.Crowded() != CausePrompts {
		t.Errorf("crowded by %v", f.budget.Crowded())
	}
	f.feed(3, reading(25))
	f.wantLimit(t, 14) // 24 less 25 - 15
	f.feed(3, reading(15))
	f.wantLimit(t, 24)
	f.feed(3, reading(8)) // over half of the bound, so that the overload lasts
	f.wantLimit(t, 24)
	f.feed(3, reading(7))
	f.wantLimit(t, 24) // no longer crowded; the first step is due 300 ms later
	f.feed(1, reading(7))
	if got, _ := f.budget.Limit(); math.Abs(got-24*1.1) > 1e-6 {
		t.Errorf("limit %v, want a step up from 24", got)
	}
}

// Guards against a capacity that a second with long prompts lowers although the engine has
// begun more than that before and since.
func TestCapacityIsTheHighestRecentRate(t *testing.T) {
	f := newFeeder(targets)
	f.feed(12, reading(10))
	slow := reading(10)
	slow.Begun = 0
	f.feed(12, slow)
	if got := f.budget.history.capacity(); math.Abs(got-30) > 1e-6 {
		t.Errorf("capacity %v, want 30", got)
	}
	f.feed(101, slow)
	if got := f.budget.history.capacity(); got != 0 {
		t.Errorf("capacity %v from more than %v ago", got, capacityMemory)
	}
}

// Guards against taking an engine that is never seen without unread prompts at one moment for
// one that always had some.
func TestCapacityNeedsUnreadPromptsAllTheTime(t *testing.T) {
	f := newFeeder(targets)
	for range 10 {
		f.feed(9, reading(10))
		f.feed(1, reading(0))
	}
	if got := f.budget.history.capacity(); got != 0 {
		t.Errorf("capacity %v", got)
	}
	f.wantLimit(t, 0)
}

// Guards against a limit that is lowered although the pauses already become shorter, and one
// that is not lowered while they don't.
func TestPausesLimitFallsUntilTheExcessShrinks(t *testing.T) {
	f := newFeeder(targets)
	s := Sample{Running: 50, Begun: 2, Events: 12, Asked: 5} // 50 streams with 10 pauses in 100 ms: 500 ms each
	f.feed(11, s)
	f.feed(9, s)
	f.wantLimit(t, 0) // long pauses for less than a second
	f.feed(1, s)
	f.wantLimit(t, 16) // 0.8 x 20
	if f.budget.Crowded() != CausePauses {
		t.Errorf("crowded by %v", f.budget.Crowded())
	}
	f.feed(3, s)
	f.wantLimit(t, 16*0.9)
	f.feed(3, s)
	f.wantLimit(t, 16*0.9*0.9)
	better := s
	better.Events = 13
	f.feed(6, better)
	f.wantLimit(t, 16*0.9*0.9)
}

// Guards against a limit because of one long prompt at an engine that is otherwise idle, and
// against one that waits although the engine reads prompts most of the time.
func TestPausesCountAtOnceWhileTheEngineReads(t *testing.T) {
	idle := Sample{Running: 3, Begun: 0, Events: 30}
	long := Sample{Running: 4, Unread: 1, Begun: 0, Events: 0}
	f := newFeeder(targets)
	f.feed(12, idle)
	f.feed(5, long)
	f.feed(12, idle)
	f.wantLimit(t, 0)
	f = newFeeder(targets)
	f.feed(12, Sample{Running: 51, Unread: 1, Begun: 2, Events: 12, Asked: 5})
	f.wantLimit(t, 16)
}

// Guards against overload by memory going unnoticed, and against an engine that reports no
// memory at all counting as full.
func TestMemoryLimit(t *testing.T) {
	f := newFeeder(targets)
	s := Sample{Running: 20, Begun: 1, Events: 200, KVUsed: 89, KVTotal: 100, Asked: 5}
	f.feed(20, s)
	f.wantLimit(t, 0)
	s.KVUsed = 90
	f.feed(1, s)
	f.wantLimit(t, 8)
	if f.budget.Crowded() != CauseMemory {
		t.Errorf("crowded by %v", f.budget.Crowded())
	}
	f = newFeeder(targets)
	f.feed(20, Sample{Running: 20, Begun: 1, Events: 200, KVUsed: 10})
	f.wantLimit(t, 0)
}

// Guards against a limit that stays in force without demand, and one that ends while routers
// still ask for more than it allows.
func TestLimitEndsOnceItIsUnused(t *testing.T) {
	for _, asked := range []int{0, 1, 9} {
		f := newFeeder(targets)
		f.feed(12, reading(40))
		calm := Sample{Running: 10, Begun: 1, Events: 100, KVTotal: 100, Asked: asked}
		last := 0.0
		for range 120 {
			if limit, limited := f.budget.Limit(); limited {
				last = limit
			}
			f.feed(1, calm)
		}
		if _, limited := f.budget.Limit(); limited {
			t.Errorf("asked for %d a second: the limit did not end within 12 s", 10*asked)
		}
		if most := endFactor * float64(10*asked); last <= most {
			t.Errorf("asked for %d a second: the limit ended at %v", 10*asked, last)
		}
	}
}

// Guards against a step of the limit after a report that came late, which says nothing of the
// last second.
func TestLateSampleKeepsTheLimit(t *testing.T) {
	f := newFeeder(targets)
	f.feed(12, reading(40))
	f.wantLimit(t, 1)
	f.now = f.now.Add(busyInterval + lateAfter)
	f.feed(1, reading(0))
	f.wantLimit(t, 1)
	f.feed(2, Sample{Running: 10, Begun: 1, Events: 100})
	f.wantLimit(t, 1)
}

// Guards against a sample that is delivered twice, which would divide by an interval of 0.
func TestRepeatedSampleIsIgnored(t *testing.T) {
	f := newFeeder(targets)
	f.feed(12, reading(40))
	s := reading(0)
	s.At = f.now
	f.budget.Add(s)
	f.wantLimit(t, 1)
}

// Guards against limits for services without objectives.
func TestNoTargetsNoLimit(t *testing.T) {
	f := newFeeder(Targets{})
	s := reading(1000)
	s.Events = 0
	f.feed(50, s)
	f.wantLimit(t, 0)
}

// Guards against a dump without the inputs of the decision.
func TestDump(t *testing.T) {
	f := newFeeder(targets)
	f.feed(12, reading(40))
	s := f.budget.Dump(f.now.Add(time.Second))
	if s.PerSecond != 1 || s.For < time.Second || s.Began != "prompts" || s.Crowded != "prompts" || s.Capacity < 29 || s.ReadIn < time.Second || s.Pause == 0 || s.Memory != 0.1 || s.Asked < 49 {
		t.Errorf("dump %+v", s)
	}
}

// BenchmarkAdd measures one report of an engine, which a loader reads ten times a second.
func BenchmarkAdd(b *testing.B) {
	f := newFeeder(targets)
	f.feed(200, reading(40))
	for b.Loop() {
		f.feed(1, reading(40))
	}
}
