package store_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/google/go-cmp/cmp"

	"nutmeglane.example/nutmeglane/internal/standin/store"
)

// get requests a load and returns its status. The load is cancelled when the
// context ends.
func get(ctx context.Context, s *store.Server, key, size string) int {
	recorder := httptest.NewRecorder()
	request := httptest.NewRequest(http.MethodGet, "/checkpoints/"+key+"?sizeMiB="+size, nil)
	s.ServeHTTP(recorder, request.WithContext(ctx))
	return recorder.Code
}

// More loads arrive in a second than the store allows. Those above the rate limit
// must be refused with status 429, and the store must count them.
func TestRateLimit(t *testing.T) {
	s := store.New(store.Options{LoadsPerSecond: 2, TimeScale: 1e6})
	got := []int{}
	for range 4 {
		got = append(got, get(t.Context(), s, "line@1", "0"))
	}
	want := []int{http.StatusOK, http.StatusOK, http.StatusTooManyRequests, http.StatusTooManyRequests}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
	report := store.Report{Loads: 2, Finished: 2, Refusals: 2, MaxConcurrent: 1, ByKey: map[string]int{"line@1": 2}}
	if diff := cmp.Diff(report, s.Report()); diff != "" {
		t.Error(diff)
	}
}

func TestConcurrentLoadsEnd(t *testing.T) {
	const loads = 8
	s := store.New(store.Options{LoadsPerSecond: loads, LaneMiBPerSecond: 1, TimeScale: 1e3})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan int, loads)
	for range loads {
		go func() { ended <- get(ctx, s, "line@1", "1000") }()
	}
	for s.Report().MaxConcurrent < loads {
		continue
	}
	cancel()
	for range loads {
		<-ended
	}
	if got := s.Report().Finished; got != 0 {
		t.Errorf("%d finished", got)
	}
}
