package soak

import (
	"encoding/json"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// A load ends while the engine is asked for its report. The report must tell of one moment:
// with the model that was not there yet and the order that was over already, the loader
// took the order for one without effect and gave it again.
func TestReportOfTheStandInIsOfOneMoment(t *testing.T) {
	const loads, readers = 20, 32
	e := &engine{name: "engine", referee: newReferee(), onDisk: []string{"m0"}}
	var torn atomic.Bool
	for range loads {
		e.restart()
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
		t.Error("a report tells neither the load nor the model")
	}
}

// tornReport tells that a report has neither the load under way nor the model.
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
