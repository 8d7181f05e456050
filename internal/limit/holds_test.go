package limit

import (
	"fmt"
	"testing"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/fairshare"
)

// Guards against a refusal for one account or one rank that holds back others at the same
// router.
func TestHoldsConcernOnlyTheRefused(t *testing.T) {
	var h Holds
	ask := func(account string, rank int, slack time.Duration) fairshare.Request {
		return fairshare.Request{Account: account, Weight: 1, Rank: rank, Slack: slack}
	}
	const second = time.Second
	h.Record(start, ask("a", 1, second), core.ShareUsed, 300*time.Millisecond)
	h.Record(start, ask("b", 2, second), core.UrgentFirst, 500*time.Millisecond)
	for _, test := range []struct {
		request fairshare.Request
		want    time.Duration
		cause   core.RefusalCause
	}{
		{ask("a", 1, second), 300 * time.Millisecond, core.ShareUsed},
		{ask("a", 1, 0), 300 * time.Millisecond, core.ShareUsed},
		{ask("a", 0, second), 0, 0},
		{ask("b", 1, second), 0, 0},
		{ask("c", 2, second), 500 * time.Millisecond, core.UrgentFirst},
		{ask("c", 3, second), 500 * time.Millisecond, core.UrgentFirst},
		{ask("c", 2, 400*time.Millisecond), 0, 0},
	} {
		if delay, cause := h.Delay(start, test.request); delay != test.want || cause != test.cause {
			t.Errorf("%+v: %v for %v, want %v for %v", test.request, delay, cause, test.want, test.cause)
		}
	}
	if delay, _ := h.Delay(start.Add(500*time.Millisecond), ask("a", 2, second)); delay != 0 {
		t.Errorf("held for %v after the end", delay)
	}
	h.Clear()
	if delay, _ := h.Delay(start, ask("a", 1, second)); delay != 0 {
		t.Errorf("held for %v after Clear", delay)
	}
}

// Guards against memory that grows with the accounts, and against a hold without an end.
func TestHoldsAreBounded(t *testing.T) {
	var h Holds
	for i := range 2 * fairshare.MaxAccounts {
		h.Record(start, fairshare.Request{Account: fmt.Sprint(i)}, core.ShareUsed, time.Hour)
	}
	if n := len(h.until); n != fairshare.MaxAccounts {
		t.Errorf("%d holds, want %d", n, fairshare.MaxAccounts)
	}
	h.Record(start.Add(maxHold), fairshare.Request{Account: "a"}, core.ShareUsed, time.Second)
	if n := len(h.until); n != 1 {
		t.Errorf("%d holds after the others have ended, want 1", n)
	}
}
