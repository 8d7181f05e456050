package fairshare

import (
	"slices"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
)

// changeInterval is the minimum time between two starts, and between two ends, that are
// reported for an account.
const changeInterval = 4 * time.Second

// episode is a period in which an account is refused for its share.
type episode struct {
	// active is set from the reported start to the reported end.
	active            bool
	startedAt, lastAt core.Time
	endedAt           core.Time
	refused           int
}

// Change is the start or the end of a period in which an account is refused for its share.
type Change struct {
	Account string
	Rank    int
	Weight  float64
	// Started is true for a start.
	Started bool
	// Share is the account's share in permits within Window, Granted what it was granted. They
	// are set for a start.
	Share, Granted float64
	// Refused is the number of its requests that were refused, Lasted the time from the first to
	// the last of them. They are set for an end.
	Refused int
	Lasted  time.Duration
}

// refuseForShare records that an account's request is refused for its share.
func (s *Shares) refuseForShare(now core.Time, a *account) {
	s.shortUntil = now.Add(shortFor)
	a.refused++
	e := &a.episode
	e.lastAt = now
	e.refused++
	if e.active || e.startedAt != 0 && now.Sub(e.startedAt) < changeInterval {
		return
	}
	e.active, e.startedAt, e.refused = true, now, 1
	s.changes = append(s.changes, Change{Account: a.name, Rank: a.rank, Weight: a.weight, Started: true, Share: a.share, Granted: a.granted.Total(now)})
}

// TakeChanges returns the changes since the last call, the oldest first.
func (s *Shares) TakeChanges(now core.Time) []Change {
	for _, a := range s.accounts {
		e := &a.episode
		if e.active && now.Sub(e.lastAt) >= shortFor && (e.endedAt == 0 || now.Sub(e.endedAt) >= changeInterval) {
			s.endEpisode(now, a)
		}
	}
	changes := slices.Clone(s.changes)
	s.changes = s.changes[:0]
	return changes
}

// endEpisode reports the end of an account's refusals if it has any.
func (s *Shares) endEpisode(now core.Time, a *account) {
	e := &a.episode
	if !e.active {
		return
	}
	e.active, e.endedAt = false, now
	s.changes = append(s.changes, Change{
		Account: a.name, Rank: a.rank, Weight: a.weight, Refused: e.refused, Lasted: e.lastAt.Sub(e.startedAt),
	})
}
