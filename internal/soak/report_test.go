package soak

import (
	"encoding/json"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// Guards against an inconsistent report of the engine stand-in when a load ends while the
// report is built. With a list of models from before the end of the load and a busy flag from
// after it, the loader concludes that its order had no effect and repeats it.
func TestReportOfTheStandInIsOfOneMoment(t *testing.T) {
	const loads, readers = 20, 32
	e := &engine{name: "engine", checker: newChecker(usualRetries), onDisk: []string{"m0"}}
	var torn atomic.Bool
	for range loads {
		e.restart(firstRelease)
		e.mu.Lock()
		e.load("m0")
		e.mu.Unlock()
		var reading sync.WaitGroup
		for range readers {
			reading.Go(func() {
				for until := time.Now().Add(2 * diskLoad); time.Now().Before(until); {
					if tornReport(t, e) {
						torn.Store(true)
					}
				}
			})
		}
		reading.Wait()
	}
	if torn.Load() {
		t.Error("a report contains neither the load nor the model")
	}
}

// tornReport reports whether a report contains neither the running load nor the model.
func tornReport(t *testing.T, e *engine) bool {
	w := httptest.NewRecorder()
	e.report(w)
	var report struct {
		Models []heldModel `json:"models"`
		Busy   bool        `json:"busy"`
	}
	if err := json.Unmarshal(w.Body.Bytes(), &report); err != nil {
		t.Error(err)
	}
	return !report.Busy && len(report.Models) == 0
}
