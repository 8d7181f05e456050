package fairshare

import (
	"slices"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
)

const (
	// reservePerRank is the part of the bucket that a request leaves for each rank above its
	// own, maxReserve its maximum.
	reservePerRank = 0.25
	maxReserve     = 0.75
	// overdueReserve is the part of the bucket that overdue requests of a starved rank leave.
	overdueReserve = 0.1
	// OverdueSlack is the slack below which the objective of a request counts as missed unless
	// it is granted.
	OverdueSlack = 500 * time.Millisecond
	// starvedShare is the part of an engine's permits below which a rank counts as starved.
	// Without this bound all requests of a rank that gets too few permits become overdue, and
	// together they take the reserve of the more urgent ones.
	starvedShare = 0.1
)

// reserve returns how many permits a request leaves to more urgent ones.
func (s *Shares) reserve(now core.Time, request Request, bucket Bucket) float64 {
	usable := max(0, bucket.Capacity-1) // with the last one the request itself is granted
	reserve := min(maxReserve, reservePerRank*float64(request.Rank)) * usable
	if request.Rank > 0 && request.Slack < OverdueSlack {
		s.account(now, request).overdueAt = now
		if s.starved(now, request.Rank, bucket) {
			reserve = min(reserve, overdueReserve*usable)
		}
	}
	return reserve
}

// starved reports whether a rank with overdue requests got hardly any permits within the
// window, and none of the other ranks with overdue requests got fewer. Without the second
// condition, one of several starved ranks may get none of the few permits that are left.
func (s *Shares) starved(now core.Time, rank int, bucket Bucket) bool {
	s.sumRanks(now)
	own := s.ranks[slices.IndexFunc(s.ranks, func(u rankUse) bool { return u.rank == rank })]
	fewer := func(u rankUse) bool { return u.overdue && u.granted < own.granted }
	return own.granted < starvedShare*bucket.PerSecond*Window.Seconds() && !slices.ContainsFunc(s.ranks, fewer)
}

// rankUse is what the accounts of a rank were granted within the window, and whether they
// have overdue requests.
type rankUse struct {
	rank    int
	granted float64
	overdue bool
}

// sumRanks computes the use of all ranks.
func (s *Shares) sumRanks(now core.Time) {
	s.ranks = s.ranks[:0]
	for _, a := range s.accounts {
		i := slices.IndexFunc(s.ranks, func(u rankUse) bool { return u.rank == a.rank })
		if i < 0 {
			i = len(s.ranks)
			s.ranks = append(s.ranks, rankUse{rank: a.rank})
		}
		s.ranks[i].granted += a.granted.Total(now)
		s.ranks[i].overdue = s.ranks[i].overdue || a.overdueAt != 0 && now.Sub(a.overdueAt) < shortFor
	}
}
