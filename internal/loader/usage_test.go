package loader

import (
	"testing"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
)

// Operators use the counters to see how long accelerators hold models without requests.
// Two models are loaded for a minute, one of them is called for its first half: the other
// is idle from IdleAfter on, the first from IdleAfter after its last request.
func TestIdleModelSecondsAreCounted(t *testing.T) {
	w := newFixture(t, "m0", "m2")
	w.loader.opts.IdleAfter = 10 * time.Second
	for i := range 60 {
		uses := []core.Use{{Model: "m0"}, {Model: "m2"}}
		if i < 30 {
			uses[0].Running = 1
		}
		w.demand("10.0.0.1", core.Demand{Uses: uses})
		w.run(time.Second)
	}
	u := w.loader.usage
	if got := u.model.Seconds(); got < 115 || got > 121 {
		t.Errorf("%.0f model-seconds, want 120", got)
	}
	if got := u.idleModel.Seconds(); got < 65 || got > 73 {
		t.Errorf("%.0f idle model-seconds, want about 50 and 20", got)
	}
	if u.idleEngine != u.engine {
		t.Errorf("an engine on which nothing runs was idle for %s of %s", u.idleEngine, u.engine)
	}
}
