package engine_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/goleak"

	"nutmeglane.example/nutmeglane/internal/engine/engineapi"
	"nutmeglane.example/nutmeglane/internal/standin/engine"
	"nutmeglane.example/nutmeglane/internal/standin/store"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const key = "line@1"

// endless is a number of tokens that takes minutes with the faults of slowed.
const endless = 1000

var slowed = engine.Faults{SlowTokens: 1e4}

// fixture is a running stand-in and its base URL.
type fixture struct {
	*engine.Server
	t   *testing.T
	url string
}

func start(t *testing.T, opts engine.Options) fixture {
	opts.TimeScale = 0.001
	s := engine.New(opts)
	server := httptest.NewServer(s)
	t.Cleanup(func() {
		s.Close()
		server.Close()
		http.DefaultClient.CloseIdleConnections()
	})
	return fixture{Server: s, t: t, url: server.URL}
}

func (f fixture) post(ctx context.Context, path string, header http.Header, body any) (*http.Response, error) {
	f.t.Helper()
	data, err := json.Marshal(body)
	if err != nil {
		f.t.Fatal(err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, f.url+path, bytes.NewReader(data))
	if err != nil {
		f.t.Fatal(err)
	}
	if header != nil {
		request.Header = header
	}
	return http.DefaultClient.Do(request)
}

// order returns the status of the answer.
func (f fixture) order(o engineapi.Order) int {
	f.t.Helper()
	response, err := f.post(f.t.Context(), engineapi.PathOrders, nil, o)
	if err != nil {
		f.t.Fatal(err)
	}
	_ = response.Body.Close()
	return response.StatusCode
}

func load(key string, memory int64, fence uint64) engineapi.Order {
	return engineapi.Order{Kind: engineapi.KindLoad, Key: key, MemoryMiB: memory, CheckpointMiB: memory, Fence: fence}
}

func (f fixture) expect(want int, o engineapi.Order) {
	f.t.Helper()
	if got := f.order(o); got != want {
		f.t.Errorf("%s %s: status %d, wanted %d", o.Kind, o.Key, got, want)
	}
}

func completion(request, priority string) http.Header {
	return http.Header{
		engineapi.HeaderKey:           {key},
		engineapi.HeaderRequestID:     {request},
		engineapi.HeaderPriority:      {priority},
		engineapi.HeaderNonIdempotent: {"true"},
	}
}

// prompt returns a body that asks for a number of tokens.
func prompt(maxTokens int) any {
	return map[string]any{"prompt": "late wind", "max_tokens": maxTokens}
}

func (f fixture) read(response *http.Response) string {
	f.t.Helper()
	defer func() { _ = response.Body.Close() }()
	var text strings.Builder
	for decoder := json.NewDecoder(response.Body); ; {
		var token engineapi.Token
		if err := decoder.Decode(&token); err != nil {
			f.t.Fatal(err)
		}
		if token.Done {
			return text.String()
		}
		text.WriteString(token.Text)
	}
}

func TestRefereeCountsViolations(t *testing.T) {
	f := start(t, engine.Options{MemoryMiB: 100})
	f.expect(http.StatusOK, load(key, 60, 2))
	f.expect(http.StatusInsufficientStorage, load("other@1", 60, 1))
	f.expect(http.StatusPreconditionFailed, load(key, 60, 1))
	f.expect(http.StatusConflict, engineapi.Order{Kind: engineapi.KindLoad, Key: "a@1", Base: "none@1"})
	f.expect(http.StatusOK, engineapi.Order{Kind: engineapi.KindLoad, Key: "a@1", Base: key, Fence: 2, MemoryMiB: 5})
	for range 2 {
		response, err := f.post(t.Context(), engineapi.PathCompletions, completion("r1", "batch"), prompt(3))
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(strings.Join(engine.Answer(key, "late wind", 3), ""), f.read(response)); diff != "" {
			t.Error(diff)
		}
	}
	f.expect(http.StatusConflict, engineapi.Order{Kind: engineapi.KindUnload, Key: key, Fence: 2})
	f.expect(http.StatusOK, engineapi.Order{Kind: engineapi.KindUnload, Key: "a@1", Base: key, Fence: 2})
	want := engine.Report{
		Loads: 2, Unloads: 1, MemoryViolations: 1, Fenced: 1, DoubleRuns: 1,
		Runs: map[string]int{"r1": 2}, MaxLoaded: map[string]int{key: 1, "a@1": 1},
	}
	response, err := http.Get(f.url + "/admin/referee")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	var got engine.Report
	if err := json.NewDecoder(response.Body).Decode(&got); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

func TestIgnoreFencing(t *testing.T) {
	f := start(t, engine.Options{IgnoreFencing: true})
	f.expect(http.StatusOK, load(key, 1, 5))
	f.expect(http.StatusOK, engineapi.Order{Kind: engineapi.KindUnload, Key: key, Fence: 4})
}

// A load fails. Its memory must be freed, and the next load must succeed.
func TestFailedLoadFreesMemory(t *testing.T) {
	f := start(t, engine.Options{MemoryMiB: 100})
	f.SetFaults(engine.Faults{FailNextLoad: true})
	f.expect(http.StatusInternalServerError, load(key, 100, 1))
	f.expect(http.StatusOK, load(key, 100, 1))
}

// Two engines share a referee and load the same model. The referee must count two
// copies, although each engine has only one.
func TestRefereeSharedByEngines(t *testing.T) {
	referee := engine.NewReferee()
	for range 2 {
		start(t, engine.Options{Referee: referee}).expect(http.StatusOK, load(key, 1, 1))
	}
	if got := referee.Report().MaxLoaded[key]; got != 2 {
		t.Errorf("got %d copies", got)
	}
}

// The weight store refuses a load above its rate limit. The engine must report
// that and free the memory. A cached checkpoint must load without the store.
func TestLoadThroughStore(t *testing.T) {
	weights := store.New(store.Options{TimeScale: 0.001})
	server := httptest.NewServer(weights)
	defer server.Close()
	f := start(t, engine.Options{StoreURL: server.URL})
	weights.SetFaults(store.Faults{Down: true})
	f.expect(http.StatusBadGateway, load(key, 10, 1))
	weights.SetFaults(store.Faults{})
	f.expect(http.StatusOK, load(key, 10, 1))
	f.expect(http.StatusOK, engineapi.Order{Kind: engineapi.KindUnload, Key: key, Fence: 1})
	f.expect(http.StatusOK, load(key, 10, 1))
	if diff := cmp.Diff(map[string]int{key: 1}, weights.Report().ByKey); diff != "" {
		t.Error(diff)
	}
}

func TestInteractiveRunsEnterFirst(t *testing.T) {
	f := start(t, engine.Options{MaxBatch: 1})
	f.expect(http.StatusOK, load(key, 1, 1))
	f.SetFaults(slowed)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	first, err := f.post(ctx, engineapi.PathCompletions, completion("first", "batch"), prompt(endless))
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan string, 2)
	for queued, priority := range []string{"batch", "interactive"} {
		go func() {
			response, err := f.post(t.Context(), engineapi.PathCompletions, completion(priority, priority), prompt(endless))
			if err != nil {
				done <- err.Error()
				return
			}
			done <- priority
			_ = response.Body.Close()
		}()
		f.awaitQueued(queued + 1)
	}
	cancel()
	_, _ = io.Copy(io.Discard, first.Body)
	if got := []string{<-done, <-done}; !cmp.Equal(got, []string{"interactive", "batch"}) {
		t.Errorf("order %v", got)
	}
}

func (f fixture) awaitQueued(want int) {
	f.t.Helper()
	for queued := -1; queued != want; {
		response, err := http.Get(f.url + engineapi.PathLoad)
		if err != nil {
			f.t.Fatal(err)
		}
		var report engineapi.Load
		err = json.NewDecoder(response.Body).Decode(&report)
		_ = response.Body.Close()
		if err != nil {
			f.t.Fatal(err)
		}
		queued = report.Queued
	}
}

// The engine unloads a model with a run in progress. The answer is cut, and the
// referee must count the run as cut.
func TestUnloadCutsRun(t *testing.T) {
	f := start(t, engine.Options{})
	f.expect(http.StatusOK, load(key, 1, 1))
	f.SetFaults(slowed)
	response, err := f.post(t.Context(), engineapi.PathCompletions, completion("r", "batch"), prompt(endless))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	f.expect(http.StatusOK, engineapi.Order{Kind: engineapi.KindUnload, Key: key, Fence: 1})
	if _, err := io.Copy(io.Discard, response.Body); err == nil {
		t.Error("stream ended as if it were complete")
	}
	if got := f.Referee().Report().RunsCut; got != 1 {
		t.Errorf("%d runs cut", got)
	}
}
