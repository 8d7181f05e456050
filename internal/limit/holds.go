package limit

import (
	"maps"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/fairshare"
)

// Holds records, in one router, until when one server grants no permits to a client account
// that has its share, or to requests of a rank that leave permits to more urgent ones. Unlike
// the refusals that a Gate records, these concern no other requests. The zero value is ready
// for use.
type Holds struct{ until map[holdKey]core.Time }

// holdKey identifies the requests that a refusal concerns.
type holdKey struct {
	cause core.RefusalCause
	rank  int
	// account is "" for core.UrgentFirst.
	account string
	// overdue is set for requests that were refused for their rank although they were overdue.
	// Others may ask again once they become overdue, because they may then be granted.
	overdue bool
}

func newHoldKey(request fairshare.Request, cause core.RefusalCause) holdKey {
	key := holdKey{cause: cause, rank: request.Rank}
	if cause == core.ShareUsed {
		key.account = request.Account
	} else {
		key.overdue = request.Slack < fairshare.OverdueSlack
	}
	return key
}

// Record records that a permit was refused for a cause other than core.NoCapacity, and after
// what delay one may be granted.
func (h *Holds) Record(now core.Time, request fairshare.Request, cause core.RefusalCause, delay time.Duration) {
	maps.DeleteFunc(h.until, func(_ holdKey, until core.Time) bool { return until <= now })
	if h.until == nil {
		h.until = map[holdKey]core.Time{}
	}
	if len(h.until) < fairshare.MaxAccounts {
		h.until[newHoldKey(request, cause)] = now.Add(min(delay, maxHold))
	}
}

// maxHold bounds a hold, whatever the loader answers: by then the windows have passed.
const maxHold = 10 * time.Second

// Delay returns how long no permit is granted to a request, and why; 0 if one may be granted
// now.
func (h *Holds) Delay(now core.Time, request fairshare.Request) (delay time.Duration, cause core.RefusalCause) {
	for key, until := range h.until {
		if left := until.Sub(now); left > delay && key.concerns(request) {
			delay, cause = left, key.cause
		}
	}
	return delay, cause
}

// concerns reports whether a refusal concerns a request. A refusal for a rank also concerns
// the ranks that are less urgent.
func (k holdKey) concerns(request fairshare.Request) bool {
	if k.cause == core.ShareUsed {
		return k.account == request.Account && k.rank == request.Rank
	}
	return k.rank <= request.Rank && k.overdue == (request.Slack < fairshare.OverdueSlack)
}

// rescale moves the ends of all holds after a change of the budget by a factor: at a higher one
// permits come sooner.
func (h *Holds) rescale(now core.Time, factor float64) {
	for key, until := range h.until {
		h.until[key] = rescaled(now, until, factor)
	}
}

// BudgetChanged adapts the holds to a change of the budget from before to now, in requests per
// second. Without a budget none applies.
func (h *Holds) BudgetChanged(now core.Time, before, after float64) {
	switch {
	case before == 0:
	case after == 0:
		h.Clear()
	case after > before:
		h.rescale(now, after/before)
	}
}

// Clear forgets all refusals.
func (h *Holds) Clear() { clear(h.until) }
