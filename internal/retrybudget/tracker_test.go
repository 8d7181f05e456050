package retrybudget

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// Guards against a retry that counts as arrived while the attempt before it may still arrive.
func TestRetriesSettleWithTheLastAttempt(t *testing.T) {
	b := New(testBounds())
	var request Tracker
	request.Sent()
	if !request.Take(b, start, 6) {
		t.Fatal("no retry")
	}
	request.Sent()
	if got := request.Settle(b, start.Add(time.Second)); got != (Settled{}) {
		t.Errorf("settled %+v with an open attempt", got)
	}
	if got := b.Dump(start).Unsettled; got != 1 {
		t.Errorf("%d unsettled retries, want 1", got)
	}
	want := Settled{Retries: 1, After: 3 * time.Second}
	if diff := cmp.Diff(want, request.Settle(b, start.Add(3*time.Second))); diff != "" {
		t.Errorf("settled (-want +got):\n%s", diff)
	}
	if got := b.Dump(start).Unsettled; got != 0 {
		t.Errorf("%d unsettled retries, want none", got)
	}
}

// Guards against unsettled retries that are forgotten, or counted twice, when the window changes.
func TestUnsettledRetriesOutliveAChangeOfTheWindow(t *testing.T) {
	b, bounds := New(testBounds()), testBounds()
	var request Tracker
	request.Take(b, start, 6)
	request.Sent()
	bounds.Window *= 2
	b.SetBounds(bounds)
	if got := b.Dump(start).Unsettled; got != 1 {
		t.Errorf("%d unsettled retries, want 1", got)
	}
	request.Settle(b, start)
	if got := b.Dump(start).Unsettled; got != 0 {
		t.Errorf("%d unsettled retries, want none", got)
	}
}
