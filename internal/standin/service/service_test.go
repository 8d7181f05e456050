package service_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"nutmeglane.example/nutmeglane/internal/engine/engineapi"
	"nutmeglane.example/nutmeglane/internal/standin/service"
)

func call(s *service.Server, method, path, id, key string) {
	request := httptest.NewRequest(method, path, strings.NewReader("roll"))
	request.Header.Set(engineapi.HeaderRequestID, id)
	request.Header.Set("Idempotency-Key", key)
	s.ServeHTTP(httptest.NewRecorder(), request)
}

// A non-idempotent call is sent twice, with the same request id or, through two
// entries, with the same idempotency key. The referee must count each repetition
// as a double run. Reads may be repeated.
func TestRefereeCountsDoubleRuns(t *testing.T) {
	s := service.New(service.Options{NonIdempotentPaths: []string{"/once/"}})
	call(s, http.MethodPost, "/rolls", "r1", "")
	call(s, http.MethodPost, "/rolls", "r1", "")
	call(s, http.MethodPost, "/rolls", "r2", "k")
	call(s, http.MethodPost, "/rolls", "r3", "k")
	call(s, http.MethodGet, "/once/permit", "r4", "")
	call(s, http.MethodGet, "/once/permit", "r4", "")
	call(s, http.MethodGet, "/rolls", "r5", "")
	call(s, http.MethodGet, "/rolls", "r5", "")
	want := service.Report{
		Calls: 8, DoubleRuns: 3,
		ByID:   map[string]int{"r1": 2, "k": 2, "r4": 2, "r5": 2},
		ByPath: map[string]int{"/rolls": 6, "/once/permit": 2},
	}
	if diff := cmp.Diff(want, s.Referee().Report()); diff != "" {
		t.Error(diff)
	}
}
