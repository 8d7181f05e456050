package loader

import (
	"testing"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
)

// Engines are added to a large fleet. Routers reach the new loader one after the
// other, and each in turn seemed to be the one to follow: it shared out loads from the
// weight store that another had given already. Until the others have had the time to
// connect, the loader follows nobody.
func TestNewLoaderFollowsNobodyAtFirst(t *testing.T) {
	w := newWorld(t)
	followed := map[core.HostID]bool{}
	for _, router := range []core.HostID{"10.0.0.9", "10.0.0.5", "10.0.0.1"} {
		w.step(RouterDown{Router: router})
	}
	for _, router := range []core.HostID{"10.0.0.9", "10.0.0.5", "10.0.0.2"} {
		w.step(RouterUp{Router: router})
		w.run(20 * time.Millisecond)
		followed[w.loader.coordinator()] = true
	}
	w.run(settleTime)
	if len(followed) != 1 || !followed[""] {
		t.Errorf("followed %v while routers connected, want nobody", followed)
	}
	if got := w.loader.coordinator(); got != "10.0.0.2" {
		t.Errorf("follows %q then, want the lowest", got)
	}
}

// The router that is followed is restarted. It knows nothing of demand when it is back:
// the next one goes on until the first has heard enough.
func TestRestartedRouterIsNotFollowedAtOnce(t *testing.T) {
	w := newWorld(t)
	w.step(RouterUp{Router: "10.0.0.2"})
	w.run(knownFor)
	w.step(RouterDown{Router: "10.0.0.1"})
	w.run(time.Second)
	w.step(RouterUp{Router: "10.0.0.1"})
	w.run(time.Second)
	if got := w.loader.coordinator(); got != "10.0.0.2" {
		t.Errorf("follows %q a second after the restart, want the one that knows", got)
	}
	w.run(knownFor)
	if got := w.loader.coordinator(); got != "10.0.0.1" {
		t.Errorf("follows %q, want the lowest again", got)
	}
}
