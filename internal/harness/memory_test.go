package harness_test

import (
	"testing"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
)

// Impatient callers come all at once and are refused, because the load takes
// longer than they wait; their refusals ask for the load all the same. Once
// the model was idle for long and is unloaded, it must not come back by
// itself: nobody called it, and another model's callers would be refused for
// want of memory.
func TestUnloadedModelIsNotReloaded(t *testing.T) {
	f := newFleet(t, 40, shortTimings())
	for range 4 {
		f.Request("e0", core.RequestArrived{ClientAccount: "c", Target: modelTarget("m5"), Timeout: time.Second}, 5)
	}
	f.RunFor(3 * time.Hour)
	if loads := f.Checker.LoadsByKey["m5@v1"]; loads != 1 || f.replicas("m5") != 0 {
		t.Errorf("m5 was loaded %d times for one burst, and %d replicas are left", loads, f.replicas("m5"))
	}
	f.finish()
}
