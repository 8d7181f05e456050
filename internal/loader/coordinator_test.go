package loader

import (
	"testing"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
)

// Engines are added to a large fleet, and routers connect to a new loader one after the
// other. Each of them in turn was selected as coordinator, and assigned loads from the
// weight store that another had already assigned. Until the others have had time to
// connect, the loader must select none.
func TestNewLoaderSelectsNoCoordinatorAtFirst(t *testing.T) {
	w := newFixture(t)
	selected := map[core.HostID]bool{}
	for _, router := range []core.HostID{"10.0.0.9", "10.0.0.5", "10.0.0.1"} {
		w.step(RouterDown{Router: router})
	}
	for _, router := range []core.HostID{"10.0.0.9", "10.0.0.5", "10.0.0.2"} {
		w.step(RouterUp{Router: router})
		w.run(20 * time.Millisecond)
		selected[w.loader.coordinator()] = true
	}
	w.run(startupDelay)
	if len(selected) != 1 || !selected[""] {
		t.Errorf("selected %v while routers connected, want none", selected)
	}
	if got := w.loader.coordinator(); got != "10.0.0.2" {
		t.Errorf("coordinator is %q afterwards, want the lowest name", got)
	}
}

// The coordinator restarts and does not know the demand. The next router must be the
// coordinator until the first one has been connected for long enough.
func TestRestartedRouterIsNotCoordinatorAtOnce(t *testing.T) {
	w := newFixture(t)
	w.step(RouterUp{Router: "10.0.0.2"})
	w.run(coordinatorMinAge)
	w.step(RouterDown{Router: "10.0.0.1"})
	w.run(time.Second)
	w.step(RouterUp{Router: "10.0.0.1"})
	w.run(time.Second)
	if got := w.loader.coordinator(); got != "10.0.0.2" {
		t.Errorf("coordinator is %q a second after the restart, want the router that has not restarted", got)
	}
	w.run(coordinatorMinAge)
	if got := w.loader.coordinator(); got != "10.0.0.1" {
		t.Errorf("coordinator is %q, want the lowest name again", got)
	}
}
