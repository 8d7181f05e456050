package quota

import (
	"maps"
	"slices"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
)

// State is the dump of an account's bound in a router.
type State struct {
	Account string
	// Most is the largest use within a window over all routers, Left what is left of it
	// as far as known, and Age how old that is. Known is false without a loader's word.
	Most, Left float64
	Age        time.Duration
	Known      bool
	// Asked is what is asked a second of this router, Share its part of what is asked of
	// all, and Recent what it admitted within a window.
	Asked, Share, Recent float64
}

// Dump returns the state of all accounts with a bound, by name.
func (g *Gate) Dump(now core.Time) []State {
	var states []State
	for _, name := range slices.Sorted(maps.Keys(g.accounts)) {
		a := g.accounts[name]
		v, known := g.view(now, a)
		states = append(states, State{
			Account: name, Most: a.most, Left: v.left, Age: v.age, Known: known,
			Asked: a.asked.rate(now), Share: a.share.value, Recent: a.recent.Total(now),
		})
	}
	return states
}
