package engine_test

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/goleak"

	"nutmeglane.example/nutmeglane/internal/api"
	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/engine"
	"nutmeglane.example/nutmeglane/internal/engine/engineapi"
	standin "nutmeglane.example/nutmeglane/internal/standin/engine"
	"nutmeglane.example/nutmeglane/internal/standin/service"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testTimeout fails a test that waits for an event that never arrives.
const testTimeout = 30 * time.Second

const key = "line@1"

// fixture is an Executor with its posted events and a settable clock.
type fixture struct {
	*engine.Executor
	t      *testing.T
	events chan core.Event
	clock  atomic.Int64
}

func start(t *testing.T, handler http.Handler, change func(*engine.Options)) *fixture {
	server := httptest.NewServer(handler)
	f := &fixture{t: t, events: make(chan core.Event, 4096)}
	opts := engine.Options{
		URL:          server.URL,
		Kind:         core.BackendEngine,
		LoadInterval: time.Millisecond,
		Now:          func() core.Time { return core.Time(f.clock.Load()) },
	}
	if change != nil {
		change(&opts)
	}
	f.Executor = engine.New(opts, func(e core.Event) { f.events <- e })
	t.Cleanup(func() {
		go func() { // posts must not block Close
			for range f.events {
				continue
			}
		}()
		f.Close()
		close(f.events)
		if s, ok := handler.(interface{ Close() }); ok {
			s.Close()
		}
		server.Close()
	})
	return f
}

func newEngine() *standin.Server { return standin.New(standin.Options{TimeScale: 0.001}) }

func startService(t *testing.T, s http.Handler) *fixture {
	return start(t, s, func(o *engine.Options) { o.Kind = core.BackendService })
}

// await returns the next event of a type, skipping others.
func await[E core.Event](f *fixture) E {
	f.t.Helper()
	guard := time.After(testTimeout)
	for {
		select {
		case event := <-f.events:
			if e, ok := event.(E); ok {
				return e
			}
		case <-guard:
			var zero E
			f.t.Fatalf("no %T arrived", zero)
		}
	}
}

func (f *fixture) order(o core.Order) code.Code {
	f.t.Helper()
	if o.NotAfter == 0 {
		o.NotAfter = core.Never
	}
	f.Do(o)
	done := await[core.OrderDone](f)
	if done.Order != o.ID {
		f.t.Fatalf("order %d answered, wanted %d", done.Order, o.ID)
	}
	return done.Code
}

func (f *fixture) load() {
	f.t.Helper()
	if got := f.order(core.Order{ID: 1, Kind: core.OrderLoad, Key: key, MemoryMiB: 100, Fence: 1}); got != code.OK {
		f.t.Fatalf("load: code %d", got)
	}
}

// answer is the combined content of a run's frames.
type answer struct {
	Head   *core.RunProgress
	Tokens []string
	Body   string
	Code   code.Code
}

func (f *fixture) collect() answer {
	f.t.Helper()
	var a answer
	for {
		p := await[core.RunProgress](f)
		switch p.Kind {
		case core.FrameHead:
			if a.Head != nil {
				f.t.Fatal("second head")
			}
			a.Head = &p
		case core.FrameData:
			if a.Head == nil {
				f.t.Fatal("data before head")
			}
			a.Body += string(p.Payload)
			a.Tokens = append(a.Tokens, split(f.t, p)...)
		case core.FrameEnd:
			a.Code = p.Code
			return a
		}
	}
}

func split(t *testing.T, p core.RunProgress) []string {
	t.Helper()
	var tokens []string
	payload, sizes := p.Payload, p.Sizes
	for len(sizes) > 0 {
		size, n := binary.Uvarint(sizes)
		tokens = append(tokens, string(payload[:size]))
		payload, sizes = payload[size:], sizes[n:]
	}
	if p.Sizes != nil && (len(payload) != 0 || int(p.Count) != len(tokens)) {
		t.Fatalf("sizes do not fit: %d tokens, count %d, %d bytes over", len(tokens), p.Count, len(payload))
	}
	return tokens
}

func completion(request byte, maxTokens int) core.Run {
	return core.Run{
		Attempt:  core.AttemptID{Request: core.RequestID{request}, Attempt: 1},
		Target:   core.Target{Model: "line"},
		Key:      key,
		Priority: api.PriorityInteractive,
		Timeout:  testTimeout,
		Body:     fmt.Appendf(nil, `{"messages":[{"role":"user","content":"sink scratched"}],"max_tokens":%d}`, maxTokens),
	}
}

func TestInventoryAndOrders(t *testing.T) {
	f := start(t, newEngine(), nil)
	f.load()
	f.Do(core.TakeInventory{})
	want := core.Inventory{
		Items:         []core.LoadedItem{{Key: key, MemoryMiB: 100, Fence: 1}},
		MemoryMiB:     24576,
		ChecksFencing: true,
		Cached:        []core.CachedCheckpoint{{Key: key, Tier: core.TierDisk}},
	}
	if diff := cmp.Diff(want, await[core.Inventory](f)); diff != "" {
		t.Error(diff)
	}
	big := core.Order{ID: 2, Kind: core.OrderLoad, Key: "big@1", MemoryMiB: 1 << 20, Fence: 1}
	if got := f.order(big); got != code.EngineNoMemory {
		t.Errorf("overcommit: code %d", got)
	}
	if got := f.order(core.Order{ID: 3, Kind: core.OrderUnload, Key: key, Fence: 0}); got != code.FencedOut {
		t.Errorf("old fence: code %d", got)
	}
	if got := f.order(core.Order{ID: 4, Kind: core.OrderUnload, Key: key, Fence: 1}); got != code.OK {
		t.Errorf("unload: code %d", got)
	}
	if f.Do(core.Wake{}) {
		t.Error("handled an effect of another package")
	}
}

func TestCompletionWholeAndResumed(t *testing.T) {
	f := start(t, newEngine(), nil)
	f.load()
	want := standin.Answer(key, "sink scratched", 200)
	f.Do(completion(1, 200))
	whole := f.collect()
	if diff := cmp.Diff(want, whole.Tokens); diff != "" || whole.Code != code.OK {
		t.Errorf("code %d, %s", whole.Code, diff)
	}
	run := completion(2, 200)
	run.ResumeFrom = 150
	f.Do(run)
	if diff := cmp.Diff(want[150:], f.collect().Tokens); diff != "" {
		t.Error(diff)
	}
}

// After an agent decides to load, its process is paused or the order waits behind
// others until its validity ends. If it were sent, it would load a slot that
// another host has taken over. It must end as expired and must not reach the
// engine.
func TestOrderExpiresWhileQueued(t *testing.T) {
	arrived, release := make(chan string, 8), make(chan struct{})
	f := start(t, orderServer(arrived, release), func(o *engine.Options) { o.MaxOrders = 1 })
	f.Do(core.Order{ID: 1, Kind: core.OrderLoad, Key: "first@1", NotAfter: core.Never})
	if got := <-arrived; got != "first@1" {
		t.Fatalf("got %s", got)
	}
	f.Do(core.Order{ID: 2, Kind: core.OrderLoad, Key: "late@1", NotAfter: 100})
	f.clock.Store(101)
	close(release)
	got := map[uint64]code.Code{}
	for range 2 {
		done := await[core.OrderDone](f)
		got[done.Order] = done.Code
	}
	if diff := cmp.Diff(map[uint64]code.Code{1: code.OK, 2: code.OrderExpired}, got); diff != "" {
		t.Error(diff)
	}
	if len(arrived) != 0 {
		t.Errorf("engine got %s", <-arrived)
	}
}

// The order expires between the first check of the clock and the write to the
// open connection. The engine may receive the start of a request, but no order
// that it can decode.
func TestOrderExpiresBeforeWrite(t *testing.T) {
	arrived, release := make(chan string, 8), make(chan struct{})
	close(release)
	var looks atomic.Int64
	f := start(t, orderServer(arrived, release), func(o *engine.Options) {
		o.Now = func() core.Time { return core.Time(looks.Add(1)) }
	})
	f.Do(core.Order{ID: 1, Kind: core.OrderLoad, Key: key, NotAfter: 1})
	if got := await[core.OrderDone](f).Code; got != code.OrderExpired {
		t.Errorf("code %d", got)
	}
	if len(arrived) != 0 {
		t.Errorf("engine got %s", <-arrived)
	}
}

// orderServer sends each complete order to arrived and answers it after release.
func orderServer(arrived chan<- string, release <-chan struct{}) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var order engineapi.Order
		if r.URL.Path == engineapi.PathOrders && json.NewDecoder(r.Body).Decode(&order) == nil {
			arrived <- order.Key
			<-release
		}
		_, _ = io.WriteString(w, "{}")
	})
}

// The engine executes a load, but its answer is lost because the connection
// breaks. The model is loaded, so the order must not be reported as without
// effect. The inventory must list the model.
func TestLostOrderAnswerIsUnknown(t *testing.T) {
	s := newEngine()
	f := start(t, s, nil)
	s.SetFaults(standin.Faults{LoseNextAnswer: true})
	if got := f.order(core.Order{ID: 1, Kind: core.OrderLoad, Key: key, MemoryMiB: 1, Fence: 1}); got != code.EngineUnknown {
		t.Errorf("code %d", got)
	}
	f.Do(core.TakeInventory{})
	if items := await[core.Inventory](f).Items; len(items) != 1 {
		t.Errorf("items %v", items)
	}
}

// Runs that end early: the model is not loaded, the caller cancels, the run times
// out, or the engine restarts during the stream. Each run must end once, with the
// matching code. Only the first may be reported as not run.
func TestRunEnds(t *testing.T) {
	s := newEngine()
	f := start(t, s, nil)
	f.Do(completion(1, 5))
	if a := f.collect(); a.Code != code.EngineNotLoaded || a.Head != nil {
		t.Errorf("not loaded: %+v", a)
	}
	f.load()
	const endless = 1000 // tokens; takes minutes when slowed down
	s.SetFaults(standin.Faults{SlowTokens: 1e4})
	run := completion(2, endless)
	f.Do(run)
	await[core.RunProgress](f) // head
	f.Do(core.CancelRun{Attempt: run.Attempt})
	if got := f.end(); got != code.Cancelled {
		t.Errorf("cancel: code %d", got)
	}
	short := completion(3, endless)
	short.Timeout = time.Millisecond
	f.Do(short)
	if got := f.end(); got != code.TimedOut {
		t.Errorf("time-out: code %d", got)
	}
	// The engine restarts during the stream.
	f.Do(completion(4, endless))
	await[core.RunProgress](f)
	s.SetFaults(standin.Faults{Restart: true})
	if got := f.end(); got != code.BackendFailed {
		t.Errorf("restart: code %d", got)
	}
}

// end skips data frames and returns the code of the FrameEnd.
func (f *fixture) end() code.Code {
	f.t.Helper()
	for {
		if p := await[core.RunProgress](f); p.Kind == core.FrameEnd {
			return p.Code
		}
	}
}

// The engine's stream ends cleanly after a line before the answer is complete, or
// skips a token. The caller would take a truncated answer as complete. The run
// must end as failed, with the tokens before the fault delivered.
func TestBrokenStreamFailsRun(t *testing.T) {
	streams := map[string]string{
		"cut":     `{"index":0,"text":"a"}` + "\n",
		"skipped": `{"index":0,"text":"a"}` + "\n" + `{"index":2,"text":"c"}` + "\n" + `{"index":3,"done":true}`,
	}
	for name, stream := range streams {
		t.Run(name, func(t *testing.T) {
			f := start(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = io.WriteString(w, stream)
			}), nil)
			f.Do(completion(1, 3))
			a := f.collect()
			if diff := cmp.Diff([]string{"a"}, a.Tokens); diff != "" || a.Code != code.BackendFailed {
				t.Errorf("code %d, %s", a.Code, diff)
			}
		})
	}
}

func TestLoadReportFollowsCache(t *testing.T) {
	f := start(t, newEngine(), nil)
	f.load()
	f.Do(completion(1, 1))
	want := []uint64{engineapi.PrefixHash("sink scratched")}
	for !cmp.Equal(want, await[core.EngineLoad](f).Prefixes) {
		continue
	}
}

func call(request byte, method string) core.Run {
	return core.Run{
		Attempt: core.AttemptID{Request: core.RequestID{request}, Attempt: 1},
		Target:  core.Target{Service: "akte"},
		Timeout: testTimeout,
		Method:  method,
		Path:    "/flats/7?floor=2",
		Header: []core.HeaderKV{
			{Name: "X-Flat", Value: "7"}, {Name: "X-Hop", Value: "1"}, {Name: "TE", Value: "trailers"},
			{Name: "Connection", Value: "X-Hop"}, {Name: engineapi.HeaderRequestID, Value: "forged"},
			{Name: "Idempotency-Key", Value: fmt.Sprint("charge-", request)},
		},
		Body: []byte(strings.Repeat("paid ", 20_000)),
	}
}

func TestServiceCallPassesThrough(t *testing.T) {
	f := startService(t, service.New(service.Options{Instance: "a"}))
	run := call(1, http.MethodPut)
	f.Do(run)
	a := f.collect()
	if a.Code != code.OK || a.Head.Status != http.StatusOK {
		t.Fatalf("code %d, head %+v", a.Code, a.Head)
	}
	var echo service.Echo
	if err := json.Unmarshal([]byte(a.Body), &echo); err != nil {
		t.Fatal(err)
	}
	want := service.Echo{
		Instance: "a", Method: http.MethodPut, Path: "/flats/7", Query: "floor=2", Body: string(run.Body),
		Header: http.Header{
			"X-Flat": {"7"}, "Idempotency-Key": {"charge-1"}, "Content-Length": {"100000"},
			engineapi.HeaderRequestID: {run.Attempt.Request.String()}, engineapi.HeaderAttempt: {"1"},
			"Connection": {"close"}, engineapi.HeaderPriority: {""},
		},
	}
	if diff := cmp.Diff(want, echo); diff != "" {
		t.Error(diff)
	}
	f.Do(core.TakeInventory{})
	if diff := cmp.Diff(core.Inventory{}, await[core.Inventory](f)); diff != "" {
		t.Error(diff)
	}
}

// A non-idempotent call runs at the service, which crashes before it answers. The
// call has an idempotency key, because of which net/http would retry it on a
// reused connection. It must run once and end as failed.
func TestCrashingServiceRunsCallOnce(t *testing.T) {
	s := service.New(service.Options{})
	var dying atomic.Bool
	f := startService(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if dying.Load() {
			s.ServeHTTP(httptest.NewRecorder(), r)
			panic(http.ErrAbortHandler)
		}
		s.ServeHTTP(w, r)
	}))
	f.Do(call(1, http.MethodPost))
	f.collect()
	dying.Store(true)
	run := call(2, http.MethodPost)
	f.Do(run)
	f.Do(run) // a repeated attempt must be ignored
	if got := f.collect().Code; got != code.BackendFailed {
		t.Errorf("code %d", got)
	}
	if diff := cmp.Diff(map[string]int{"charge-1": 1, "charge-2": 1}, s.Referee().Report().ByID); diff != "" {
		t.Error(diff)
	}
}

// The service crashes while it sends its answer. The part received is passed on,
// and the run must not end as complete.
func TestServiceDiesMidway(t *testing.T) {
	s := service.New(service.Options{})
	f := startService(t, s)
	s.SetFaults(service.Faults{DieMidway: true})
	f.Do(call(1, http.MethodPost))
	if a := f.collect(); a.Code != code.BackendFailed || a.Body == "" {
		t.Errorf("code %d, %d bytes", a.Code, len(a.Body))
	}
}

// The backend server's process is not running. Nothing was sent, so the request
// must be reported as not run.
func TestUnreachableBackendDidNotRun(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = listener.Close()
	f := start(t, http.NotFoundHandler(), func(o *engine.Options) {
		o.URL, o.Kind = "http://"+listener.Addr().String(), core.BackendService
	})
	f.Do(call(1, http.MethodPost))
	if a := f.collect(); a.Code != code.EngineNotLoaded || a.Head != nil {
		t.Errorf("answer %+v", a)
	}
}

// The agent's process is stopped while the engine hangs. Close must end the run
// with a FrameEnd and leave no goroutine.
func TestCloseEndsHangingRun(t *testing.T) {
	s := newEngine()
	f := start(t, s, nil)
	f.load()
	s.SetFaults(standin.Faults{Hang: true})
	f.Do(completion(1, 5))
	f.Close()
	if got := f.collect(); got.Code != code.BackendFailed {
		t.Errorf("code %d", got.Code)
	}
	f.Do(completion(2, 5))
}
