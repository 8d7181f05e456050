package limit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"nutmeglane.example/nutmeglane/internal/core"
)

// permitRequest returns a request of an account for a permit of a server with a limit.
func permitRequest(perSecond float64, account string, weight float64, rank int, slack time.Duration) core.LimitRequest {
	r := limitRequest(0, perSecond, 1)
	r.Account, r.Weight, r.Rank, r.Slack = account, weight, rank, slack
	return r
}

// Guards against changes for servers that name a limit themselves: their permits must be
// granted and refused exactly as to routers of the previous build, which name no account.
func TestOwnLimitIsGrantedWithoutShares(t *testing.T) {
	previous, current := NewLimiter(), NewLimiter()
	r := rand.New(rand.NewPCG(1, 1))
	granted, refused := 0, 0
	for i := range 5000 {
		now := start.Add(time.Duration(i) * 7 * time.Millisecond)
		named := permitRequest(20, fmt.Sprint(r.IntN(3)), 1+float64(r.IntN(4)), r.IntN(4), time.Duration(r.IntN(1000))*time.Millisecond)
		named.Spare = r.IntN(4) == 0
		anonymous := limitRequest(0, 20, 1)
		anonymous.Spare = named.Spare
		want, _ := previous.Handle(now, anonymous)
		got, _ := current.Handle(now, named)
		if diff := cmp.Diff(want, got); diff != "" {
			t.Fatalf("request %d: %s", i, diff)
		}
		if got.Granted {
			granted++
		} else {
			refused++
		}
	}
	if granted == 0 || refused == 0 {
		t.Errorf("%d granted, %d refused; the test needs both", granted, refused)
	}
	if states := current.Dump(start); states[0].Shares != nil {
		t.Errorf("the dump has shares: %+v", states[0].Shares)
	}
	if changes := current.ShareChanges(start); len(changes) != 0 {
		t.Errorf("changes of shares: %+v", changes)
	}
}

// Guards against less urgent requests that leave the maximum reserve for 30 s although the urgent
// request that was refused could be served elsewhere and permits are left.
func TestRefusedSpareRequestRaisesNoReserve(t *testing.T) {
	l := NewLimiter()
	l.SetBudget(start, life(0), Budget{PerSecond: 20, Burst: time.Second, Shared: true})
	now := start.Add(2 * time.Second) // 21 permits
	for range 12 {
		l.Handle(now, permitRequest(20, "a", 1, 0, time.Second))
	}
	spare := permitRequest(20, "a", 1, 0, time.Second)
	spare.Spare = true
	if answer, _ := l.Handle(now, spare); answer.Granted || answer.Cause != core.NoCapacity {
		t.Fatalf("spare with 9 of 21 left: %+v", answer)
	}
	if answer, _ := l.Handle(now, permitRequest(20, "b", 1, 1, time.Second)); !answer.Granted {
		t.Errorf("rank 1 with 9 of 21 left: %+v", answer)
	}
}

// Guards against a refusal without its cause: the router would hold back all its requests, or
// tell the caller the wrong reason.
func TestRefusalsNameTheirCause(t *testing.T) {
	l := NewLimiter()
	l.SetBudget(start, life(0), Budget{PerSecond: 8, Burst: time.Second, Shared: true})
	now := start.Add(2 * time.Second) // 9 permits
	ask := func(account string, rank int, slack time.Duration) *core.LimitReply {
		answer, _ := l.Handle(now, permitRequest(8, account, 1, rank, slack))
		return answer
	}
	for i := range 7 {
		if answer := ask("a", 0, time.Second); !answer.Granted || answer.Cause != 0 {
			t.Fatalf("request %d: %+v", i, answer)
		}
	}
	if answer := ask("b", 1, time.Second); answer.Granted || answer.Cause != core.UrgentFirst || answer.Room <= 0 {
		t.Errorf("less urgent, with 2 of 9 left: %+v", answer)
	}
	if answer := ask("b", 1, 400*time.Millisecond); !answer.Granted {
		t.Errorf("less urgent and overdue: %+v", answer)
	}
	for range 20 { // the shares are 5 of the 16 permits of a window
		ask("c", 0, time.Second)
		ask("e", 0, time.Second)
	}
	if answer := ask("d", 0, time.Second); answer.Granted || answer.Cause != core.NoCapacity || answer.Room <= 0 {
		t.Errorf("no permit left: %+v", answer)
	}
	for range 3 {
		ask("a", 0, time.Second)
	}
	now = now.Add(200 * time.Millisecond)
	if answer := ask("a", 0, time.Second); answer.Granted || answer.Cause != core.ShareUsed || answer.Room <= 0 {
		t.Errorf("over its share: %+v", answer)
	}
	states := l.Dump(now)[0].Shares
	if len(states) != 5 || states[0].Account != "a" || states[0].Granted != 7 || states[0].Refused == 0 {
		t.Errorf("the dump has %+v", states)
	}
	changes := l.ShareChanges(now)
	if len(changes) == 0 || changes[0].Server.Instance != "s" || !changes[0].Started {
		t.Errorf("changes %+v", changes)
	}
}
