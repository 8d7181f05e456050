package retrybudget

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"nutmeglane.example/nutmeglane/internal/core"
)

const start = core.Time(time.Hour)

func testBounds() Bounds { return Bounds{Window: 10 * time.Second, Ratio: 0.2, Slack: 6} }

// takeAll takes what is left and returns how many retries that were.
func takeAll(b *Budget, now core.Time, part float64) int {
	taken := 0
	for b.Take(now, part) {
		taken++
	}
	return taken
}

// Guards against two bursts that are less than a window apart and each use up the slack: the
// window that is counted must not be shorter than that of the bound, at any offset to its buckets.
func TestSlackIsNotUsedTwiceWithinAWindow(t *testing.T) {
	bounds := testBounds()
	for offset := time.Duration(0); offset < time.Second; offset += 10 * time.Millisecond {
		for _, apart := range []time.Duration{9500 * time.Millisecond, 9600 * time.Millisecond, bounds.Window - 1} {
			b, at := New(bounds), start.Add(offset)
			first := takeAll(b, at, bounds.Slack)
			second := takeAll(b, at.Add(apart), bounds.Slack)
			if first != 6 || second != 0 {
				t.Fatalf("%d and %d retries %v apart, offset %v", first, second, apart, offset)
			}
		}
	}
}

// Guards against a slack that does not return.
func TestSlackReturnsAfterTheWindow(t *testing.T) {
	bounds := testBounds()
	b := New(bounds)
	takeAll(b, start, bounds.Slack)
	if n := takeAll(b, start.Add(bounds.Window*11/10), bounds.Slack); n != 6 {
		t.Errorf("%d retries, want 6", n)
	}
}

// Guards against credit that is saved up in a quiet time and spent twice, by a process and by the
// next one on its host.
func TestCreditExpires(t *testing.T) {
	bounds := testBounds()
	b, now := New(bounds), start
	for range 1000 {
		now = now.Add(10 * time.Millisecond)
		b.Request(now)
	}
	most := bounds.Ratio * 1000 / 4
	if n := takeAll(b, now, 0); float64(n) > most || float64(n) < most/2 {
		t.Errorf("%d retries at once after 1000 requests in a window, want up to %.0f", n, most)
	}
	for range 1000 {
		now = now.Add(10 * time.Millisecond)
		b.Request(now)
	}
	if n := takeAll(b, now.Add(bounds.Window/4), 0); n != 0 {
		t.Errorf("%d retries with expired credit", n)
	}
}

// Guards against a process that begins with credit.
func TestNewBudgetHasNoCredit(t *testing.T) {
	if b := New(testBounds()); b.Has(start, 0) {
		t.Error("a retry without a request")
	}
}

// history is what one host's processes and their callers do, and what was taken.
type history struct {
	bounds            Bounds
	budget            *Budget
	now               core.Time
	usable            core.Time
	requests, retries []core.Time
}

func (h *history) restart() {
	h.budget, h.usable = New(h.bounds), h.now.Add(h.bounds.Window*3/2)
}

func (h *history) part() float64 {
	if h.now < h.usable {
		return 0
	}
	return h.bounds.Slack
}

func (h *history) take() {
	if h.budget.Take(h.now, h.part()) {
		h.retries = append(h.retries, h.now)
	}
}

// excess returns by how much the retries within a window exceed the bound for what was requested in
// it and in the time in which credit lasts.
func (h *history) excess(from core.Time) float64 {
	until := from.Add(h.bounds.Window)
	within := func(times []core.Time, from core.Time) (n float64) {
		for _, at := range times {
			if at >= from && at < until {
				n++
			}
		}
		return n
	}
	earned := earnedPart * h.bounds.Ratio * within(h.requests, from.Add(-h.bounds.Window/4))
	return within(h.retries, from) - earned - h.bounds.Slack
}

// Guards against retries over the bound after any history of requests, retries, pauses and
// restarts of one host.
func TestBoundHoldsInAllWindows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := &history{bounds: testBounds(), now: start}
		h.restart()
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			h.now = h.now.Add(time.Duration(rapid.IntRange(0, 6000).Draw(t, "pause")) * time.Millisecond)
			switch rapid.IntRange(0, 5).Draw(t, "kind") {
			case 0:
				h.restart()
			case 1, 2:
				for range rapid.IntRange(1, 80).Draw(t, "requests") {
					h.budget.Request(h.now)
					h.requests = append(h.requests, h.now)
				}
			default:
				for range rapid.IntRange(1, 30).Draw(t, "retries") {
					h.take()
				}
			}
		}
		for _, at := range h.retries {
			for _, from := range []core.Time{at, at.Add(1 - h.bounds.Window)} {
				if over := h.excess(from); over > 1e-6 {
					t.Fatalf("%.2f retries over the bound in the window from %v", over, from)
				}
			}
		}
	})
}

// Guards against a dump that shows nothing of the budget's use.
func TestDumpShowsUse(t *testing.T) {
	b := New(testBounds())
	for range 10 {
		b.Request(start)
	}
	for range 3 {
		b.Take(start, 6)
	}
	got := b.Dump(start)
	if got.Requests != 10 || got.Retries != 3 || got.Credit != 0 || got.SlackUsed <= 1 || got.SlackUsed >= 2 {
		t.Errorf("%+v", got)
	}
}

// Guards against a change of the settings that gives back what was used.
func TestChangedBounds(t *testing.T) {
	b, bounds := New(testBounds()), testBounds()
	takeAll(b, start, 6)
	bounds.Slack = 8
	b.SetBounds(bounds)
	if n := takeAll(b, start, 8); n != 2 {
		t.Errorf("%d retries after the slack rose from 6 to 8, want 2", n)
	}
	bounds.Window *= 2
	b.SetBounds(bounds)
	if b.Has(start, 0) {
		t.Error("credit after a change of the window")
	}
}

// BenchmarkRequestAndTake measures what a request with a retry costs, which must take under 1 us.
func BenchmarkRequestAndTake(b *testing.B) {
	b.ReportAllocs()
	budget, now := New(testBounds()), start
	for b.Loop() {
		now = now.Add(time.Millisecond)
		budget.Request(now)
		budget.Take(now, 6)
	}
}
