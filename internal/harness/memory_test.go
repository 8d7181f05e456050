package harness_test

import (
	"testing"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
)

// Guards against a reload of an unloaded model without a request. Callers with
// a timeout shorter than the load are refused, but their requests still start
// the load. If the model were loaded again after it was unloaded as idle,
// requests for another model would be refused for lack of memory.
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
