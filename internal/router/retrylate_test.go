package router

import (
	"fmt"
	"testing"
	"time"
)

// lateRetryScripts are histories in which retries arrive at servers some seconds after they were sent.
var lateRetryScripts = []retryScript{
	{name: "servers stand still again and again", quiet: 20 * time.Second, lasts: 30 * time.Second, perRouter: 4, failing: 0.8, do: func(f *retryFleet) {
		f.every(5*time.Second, 6, func(int) { f.standStill(retryServers/2, 3500*time.Millisecond) })
	}},
	{name: "all servers stand still for a window's length", quiet: 20 * time.Second, lasts: 30 * time.Second, perRouter: 2, failing: 0.9, do: func(f *retryFleet) {
		f.at(2*time.Second, func() { f.standStill(retryServers, 9*time.Second) })
	}},
	{name: "all servers stand still for some seconds", quiet: 20 * time.Second, lasts: 30 * time.Second, perRouter: 1, failing: 0.9, do: func(f *retryFleet) {
		f.every(6*time.Second, 5, func(int) { f.standStill(retryServers, 3500*time.Millisecond) })
	}},
}

// Guards against retries that exceed the bound because servers read some of them late, together with
// those that were sent seconds later.
func TestRetriesThatArriveLateKeepToTheBound(t *testing.T) {
	for _, script := range lateRetryScripts {
		for _, routers := range []int{4, 26} {
			for seed := range *retrySeeds {
				t.Run(fmt.Sprintf("%s, %d routers, seed %d", script.name, routers, seed+1), func(t *testing.T) {
					t.Parallel()
					script.play(t, routers, seed+1).checkBound()
				})
			}
		}
	}
}
