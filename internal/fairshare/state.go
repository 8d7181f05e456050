package fairshare

import (
	"cmp"
	"math"
	"slices"

	"nutmeglane.example/nutmeglane/internal/core"
)

// State is the dump of one account.
type State struct {
	Account string
	Rank    int
	Weight  float64
	// Asked and Granted count its requests and permits within Window. Share is how many
	// permits it may get, at most Asked.
	Asked, Granted, Share float64
	// Refused is the number of its requests that were refused for its share since it is counted.
	Refused int
}

// Dump returns the accounts that asked within Window, sorted by rank and name.
func (s *Shares) Dump(now core.Time, bucket Bucket) []State {
	var states []State
	for _, a := range s.accounts {
		asked := a.asked.Total(now)
		if asked <= 0 {
			continue
		}
		states = append(states, State{
			Account: a.name, Rank: a.rank, Weight: a.weight, Asked: asked, Granted: a.granted.Total(now),
			Share: math.Min(asked, s.share(now, a, bucket)), Refused: a.refused,
		})
	}
	slices.SortFunc(states, func(a, b State) int {
		return cmp.Or(cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.Account, b.Account))
	})
	return states
}
