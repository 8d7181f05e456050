package kv_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"
	"go.uber.org/goleak"

	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/kv"
	standin "nutmeglane.example/nutmeglane/internal/standin/kv"
)

// testTimeout is the time after which a test that waits for an event fails.
const testTimeout = 30 * time.Second

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// rig is a stand-in service with a client.
type rig struct {
	service *standin.Server
	http    *httptest.Server
	client  *kv.Client
}

func newRig(t *testing.T, sopts standin.Options, copts kv.ClientOptions) *rig {
	t.Helper()
	service := standin.New(sopts)
	server := httptest.NewServer(service)
	t.Cleanup(server.Close)
	t.Cleanup(service.Close)
	return &rig{service: service, http: server, client: newClient(t, server.URL, copts)}
}

func newClient(t *testing.T, url string, opts kv.ClientOptions) *kv.Client {
	t.Helper()
	client, err := kv.NewClient(url, opts)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(client.Close)
	return client
}

// execute starts an executor that sends its events to the channel.
func (r *rig) execute(t *testing.T, opts kv.ExecutorOptions, prefixes ...string) (*kv.Executor, <-chan core.Event) {
	t.Helper()
	events := make(chan core.Event, 1024)
	opts.FirstWindow = time.Millisecond
	opts.MaxWindow = time.Millisecond
	opts.Coalesce = time.Millisecond
	e := kv.NewExecutor(r.client, prefixes, func(ev core.Event) { events <- ev }, opts)
	t.Cleanup(e.Close)
	return e, events
}

// next returns the next event of type E and discards those of other types.
func next[E core.Event](t *testing.T, events <-chan core.Event) E {
	t.Helper()
	guard := time.After(testTimeout)
	for {
		select {
		case ev := <-events:
			if e, ok := ev.(E); ok {
				return e
			}
		case <-guard:
			t.Fatalf("no %T event received", *new(E))
		}
	}
}

// resultOf returns the result of the effect with a tag, and discards those of other effects.
func resultOf(t *testing.T, events <-chan core.Event, tag uint64) core.KVResult {
	t.Helper()
	for {
		if result := next[core.KVResult](t, events); result.Tag == tag {
			return result
		}
	}
}

func equal(t *testing.T, got, want any) {
	t.Helper()
	if diff := cmp.Diff(want, got); diff != "" {
		t.Fatalf("unexpected result (-want +got):\n%s", diff)
	}
}

func (r *rig) write(t *testing.T, key, value string, revision int64) int64 {
	t.Helper()
	item, err := r.client.Cas(context.Background(), kv.CasRequest{Key: key, Value: []byte(value), Revision: revision})
	if err != nil {
		t.Fatal(err)
	}
	return item.Revision
}

func TestEffectsAreAnsweredWithTheirTag(t *testing.T) {
	r := newRig(t, standin.Options{}, kv.ClientOptions{})
	e, events := r.execute(t, kv.ExecutorOptions{})
	steps := []struct {
		effect core.Effect
		want   core.KVResult
	}{
		{core.KVGet{Tag: 1, Key: "a"}, core.KVResult{Tag: 1, Key: "a"}},
		{core.KVCas{Tag: 2, Key: "a", Value: []byte("x")}, core.KVResult{Tag: 2, Key: "a", Value: []byte("x"), Revision: 1}},
		{core.KVGet{Tag: 3, Key: "a"}, core.KVResult{Tag: 3, Key: "a", Value: []byte("x"), Revision: 1}},
		{core.KVCas{Tag: 4, Key: "a", Value: []byte("y")},
			core.KVResult{Tag: 4, Code: code.KVConflict, Key: "a", Value: []byte("x"), Revision: 1}},
		{core.KVLease{Tag: 5, TTL: time.Hour}, core.KVResult{Tag: 5, Lease: 1}},
		{core.KVKeepAlive{Tag: 6, Lease: 1}, core.KVResult{Tag: 6, Lease: 1}},
		{core.KVKeepAlive{Tag: 7, Lease: 9}, core.KVResult{Tag: 7, Code: code.KVConflict, Lease: 9}},
		{core.KVCas{Tag: 8, Key: "a", Value: []byte("z"), Revision: 1, Lease: 9},
			core.KVResult{Tag: 8, Code: code.KVConflict, Key: "a", Value: []byte("x"), Revision: 1}},
		{core.KVCas{Tag: 9, Key: "big", Value: make([]byte, kv.MaxValueBytes+1)},
			core.KVResult{Tag: 9, Code: code.KVUnavailable, Key: "big"}},
	}
	for _, step := range steps {
		if !e.Do(step.effect) {
			t.Fatalf("%T was not accepted", step.effect)
		}
		equal(t, next[core.KVResult](t, events), step.want)
	}
	if e.Do(core.Ready{}) {
		t.Fatal("an effect of another kind was accepted")
	}
}

// A steward issues several writes of one key at once, each based on the revision that the
// previous one will create. If different workers sent them concurrently, most would
// conflict with each other.
func TestEffectsOnOneKeyKeepTheirOrder(t *testing.T) {
	r := newRig(t, standin.Options{}, kv.ClientOptions{})
	e, events := r.execute(t, kv.ExecutorOptions{Workers: 4})
	const writes = 50
	for i := range writes {
		e.Do(core.KVCas{Tag: uint64(i), Key: "k", Value: []byte("v"), Revision: int64(i)})
	}
	for i := range writes {
		equal(t, next[core.KVResult](t, events), core.KVResult{Tag: uint64(i), Key: "k", Value: []byte("v"), Revision: int64(i) + 1})
	}
}

// A write takes effect and its answer is lost. A process that takes this for a failure
// would decide again based on an outdated state, so the result must be "unknown", and the
// client must not send the write again.
func TestLostAnswerOfAWriteIsUnknown(t *testing.T) {
	r := newRig(t, standin.Options{}, kv.ClientOptions{})
	revision := r.write(t, "k", "old", 0) // so that a kept connection is used
	r.service.SetFaults(standin.Faults{LoseWriteAnswers: 1})
	_, err := r.client.Cas(context.Background(), kv.CasRequest{Key: "k", Value: []byte("new"), Revision: revision})
	equal(t, kv.CodeOf(err), code.KVUnknown)
	item, err := r.client.Get(context.Background(), "k")
	equal(t, err, nil)
	equal(t, item, kv.Item{Key: "k", Value: []byte("new"), Revision: revision + 1})
	equal(t, r.service.Stats().Calls[kv.OpCas], int64(2))
}

// The service receives a write and takes longer than the call's time-out. The write takes
// effect after the client has given up, so the result must be "unknown".
func TestTimedOutWriteIsUnknownAndMayTakeEffectLater(t *testing.T) {
	r := newRig(t, standin.Options{}, kv.ClientOptions{CallTimeout: 20 * time.Millisecond})
	r.service.SetFaults(standin.Faults{DelayMillis: 200})
	_, err := r.client.Cas(context.Background(), kv.CasRequest{Key: "k", Value: []byte("v")})
	equal(t, kv.CodeOf(err), code.KVUnknown)
	_, err = r.client.Get(context.Background(), "k")
	equal(t, kv.CodeOf(err), code.KVUnavailable)
	watcher := newClient(t, r.http.URL, kv.ClientOptions{CallTimeout: testTimeout, Heartbeat: testTimeout, WatchWait: testTimeout})
	batch, err := watcher.Watch(context.Background(), "k", 0)
	equal(t, err, nil)
	equal(t, batch.Revision, int64(1))
}

// Nothing listens at the address, or the service reports that it is down, or a call exceeds
// the rate limit: the write certainly had no effect and may be retried.
func TestRefusedWriteIsUnavailable(t *testing.T) {
	write := kv.CasRequest{Key: "k", Value: []byte("v")}
	t.Run("refused connection", func(t *testing.T) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		equal(t, err, nil)
		address := listener.Addr().String()
		equal(t, listener.Close(), nil)
		_, err = newClient(t, "http://"+address, kv.ClientOptions{}).Cas(context.Background(), write)
		equal(t, kv.CodeOf(err), code.KVUnavailable)
	})
	t.Run("down", func(t *testing.T) {
		r := newRig(t, standin.Options{}, kv.ClientOptions{})
		r.service.SetFaults(standin.Faults{Down: true})
		_, err := r.client.Cas(context.Background(), write)
		equal(t, kv.CodeOf(err), code.KVUnavailable)
	})
	t.Run("rate limit", func(t *testing.T) {
		r := newRig(t, standin.Options{WritesPerSecond: 1e-9}, kv.ClientOptions{})
		r.write(t, "k", "v", 0)
		_, err := r.client.Cas(context.Background(), write)
		equal(t, kv.CodeOf(err), code.KVUnavailable)
		equal(t, r.service.Stats().Refused[kv.OpCas], int64(1))
	})
}

// A lease expires while a watch on the key bound to it is open. The watcher must report the
// deletion, and the lease's holder must learn that it lost the lease, whether the answer to
// its write arrives before or after that.
func TestExpiredLeaseDeletesItsKey(t *testing.T) {
	for name, late := range map[string]bool{"answered at once": false, "answered last": true} {
		t.Run(name, func(t *testing.T) {
			clock := &clock{now: time.Unix(0, 0)}
			r := newRig(t, standin.Options{Now: clock.Now}, kv.ClientOptions{})
			writeAnswered := make(chan struct{})
			answerWrite := sync.OnceFunc(func() { close(writeAnswered) })
			front := r.holdWrites(t, writeAnswered)
			t.Cleanup(answerWrite)
			if !late {
				answerWrite()
			}
			e, events := front.execute(t, kv.ExecutorOptions{}, "k")
			e.Do(core.KVLease{Tag: 1, TTL: time.Minute})
			lease := resultOf(t, events, 1).Lease
			e.Do(core.KVCas{Tag: 2, Key: "k", Value: []byte("v"), Lease: lease})
			equal(t, next[core.KVValue](t, events), core.KVValue{Key: "k", Value: []byte("v"), Revision: 1})
			clock.advance(time.Minute)
			r.service.Expire()
			equal(t, next[core.KVValue](t, events), core.KVValue{Key: "k"})
			answerWrite()
			e.Do(core.KVKeepAlive{Tag: 3, Lease: lease})
			equal(t, resultOf(t, events, 3).Code, code.KVConflict)
		})
	}
}

// holdWrites returns a rig of the same service whose answers to writes are held back until the
// channel is closed.
func (r *rig) holdWrites(t *testing.T, until <-chan struct{}) *rig {
	t.Helper()
	front := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if req.URL.Path != kv.PathCas {
			r.service.ServeHTTP(w, req)
			return
		}
		answer := httptest.NewRecorder()
		r.service.ServeHTTP(answer, req)
		<-until
		w.WriteHeader(answer.Code)
		_, _ = w.Write(answer.Body.Bytes()) // fails only if the client has gone
	}))
	t.Cleanup(front.Close)
	t.Cleanup(r.service.Close)
	return &rig{service: r.service, http: front, client: newClient(t, front.URL, kv.ClientOptions{CallTimeout: testTimeout})}
}

// During a long outage of the service, one key changes, one is deleted because its lease
// expires, and the history of changes is discarded. After the outage both changes must be
// posted, and nothing that did not change.
func TestWatchCatchesUpAfterAnOutage(t *testing.T) {
	clock := &clock{now: time.Unix(0, 0)}
	r := newRig(t, standin.Options{Now: clock.Now}, kv.ClientOptions{})
	lease, err := r.client.Grant(context.Background(), time.Minute)
	equal(t, err, nil)
	changing := r.write(t, "p/changing", "1", 0)
	r.write(t, "p/same", "1", 0)
	_, err = r.client.Cas(context.Background(), kv.CasRequest{Key: "p/vanishing", Value: []byte("1"), Lease: lease})
	equal(t, err, nil)
	var cut atomic.Bool
	front := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if cut.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		r.service.ServeHTTP(w, req)
	}))
	t.Cleanup(front.Close)
	t.Cleanup(r.service.Close)
	watching := &rig{client: newClient(t, front.URL, kv.ClientOptions{})}
	_, events := watching.execute(t, kv.ExecutorOptions{}, "p/")
	for range 3 {
		next[core.KVValue](t, events)
	}
	equal(t, next[core.KVReachable](t, events), core.KVReachable{Up: true})

	r.service.SetFaults(standin.Faults{Down: true})
	equal(t, next[core.KVReachable](t, events), core.KVReachable{Up: false})
	cut.Store(true) // the outage continues for the executor while the test writes
	r.service.SetFaults(standin.Faults{})
	r.write(t, "p/changing", "2", changing)
	clock.advance(time.Minute)
	r.service.Expire()
	r.service.SetFaults(standin.Faults{CompactNow: true})
	cut.Store(false)

	equal(t, next[core.KVValue](t, events), core.KVValue{Key: "p/changing", Value: []byte("2"), Revision: 4})
	equal(t, next[core.KVValue](t, events), core.KVValue{Key: "p/vanishing"})
	equal(t, next[core.KVReachable](t, events), core.KVReachable{Up: true})
}

// A process is suspended between two watches for so long that the service has discarded the
// changes in between. An empty batch would hide them permanently: the answer must require a
// list.
func TestCompactedWatchReturnsErrCompacted(t *testing.T) {
	r := newRig(t, standin.Options{}, kv.ClientOptions{})
	r.write(t, "k", "1", 0)
	r.service.SetFaults(standin.Faults{CompactNow: true})
	_, err := r.client.Watch(context.Background(), "k", 0)
	equal(t, errors.Is(err, kv.ErrCompacted), true)
	_, err = r.client.Watch(context.Background(), "k", 2)
	equal(t, errors.Is(err, kv.ErrCompacted), true) // a revision of another store
	snapshot, err := r.client.List(context.Background(), "k")
	equal(t, err, nil)
	equal(t, snapshot, kv.Snapshot{Revision: 1, Items: []kv.Item{{Key: "k", Value: []byte("1"), Revision: 1}}})
}

// A single call fails and the next one succeeds. Reporting an outage would restart a
// steward's grace period each time.
func TestOneFailureIsNoOutage(t *testing.T) {
	r := newRig(t, standin.Options{}, kv.ClientOptions{})
	e, events := r.execute(t, kv.ExecutorOptions{})
	r.service.SetFaults(standin.Faults{LoseWriteAnswers: 1})
	e.Do(core.KVLease{Tag: 1, TTL: time.Hour})
	equal(t, next[core.Event](t, events), core.KVResult{Tag: 1, Code: code.KVUnknown})
	e.Do(core.KVLease{Tag: 2, TTL: time.Hour})
	equal(t, next[core.Event](t, events), core.KVReachable{Up: true})
	equal(t, next[core.Event](t, events), core.KVResult{Tag: 2, Lease: 2})
}

// A device on the path drops the connection of a waiting watch: no more bytes arrive, and
// no error. Without heartbeats the process would miss changes until the end of the long
// poll. It must open a new connection and receive the change.
func TestSilentWatchIsReplaced(t *testing.T) {
	r := newRig(t, standin.Options{}, kv.ClientOptions{})
	silent := make(chan struct{})
	var first sync.Once
	front := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		mute := false
		if req.URL.Path == kv.PathWatch {
			first.Do(func() { mute = true })
		}
		if !mute {
			r.service.ServeHTTP(w, req)
			return
		}
		close(silent)
		<-req.Context().Done()
	}))
	t.Cleanup(front.Close)
	t.Cleanup(r.service.Close)
	r.client = newClient(t, front.URL, kv.ClientOptions{Heartbeat: 100 * time.Millisecond, WatchWait: 2 * testTimeout})
	_, events := r.execute(t, kv.ExecutorOptions{}, "k")
	<-silent
	r.write(t, "k", "v", 0)
	equal(t, next[core.KVValue](t, events), core.KVValue{Key: "k", Value: []byte("v"), Revision: 1})
}

// More effects are given than may wait, while the service hangs. The surplus ones must be
// answered as without effect, not be kept or dropped.
func TestFullQueueIsAnswered(t *testing.T) {
	r := newRig(t, standin.Options{}, kv.ClientOptions{CallTimeout: testTimeout})
	r.service.SetFaults(standin.Faults{DelayMillis: (2 * testTimeout).Milliseconds()})
	e, events := r.execute(t, kv.ExecutorOptions{Workers: 1, QueueLimit: 1})
	for tag := range 3 { // one may be in execution, one waits
		e.Do(core.KVGet{Tag: uint64(tag), Key: "k"})
	}
	got := next[core.KVResult](t, events)
	equal(t, got, core.KVResult{Tag: got.Tag, Code: code.KVUnavailable, Key: "k"})
}

// Several processes increment one counter by compare-and-swap, and some of the answers are
// lost. Each increment must count at most once, and exactly once if it was confirmed.
func TestCompareAndSwapLosesNoUpdate(t *testing.T) {
	r := newRig(t, standin.Options{}, kv.ClientOptions{})
	r.service.SetFaults(standin.Faults{LoseWriteAnswers: 10})
	const processes, increments = 4, 25
	var group sync.WaitGroup
	var mu sync.Mutex
	confirmed, unknown := 0, 0
	for range processes {
		group.Go(func() {
			item := kv.Item{Key: "n"}
			for done := 0; done < increments; {
				var n int
				_, _ = fmt.Sscan(string(item.Value), &n)
				value := []byte(fmt.Sprint(n + 1))
				next, err := r.client.Cas(context.Background(), kv.CasRequest{Key: "n", Value: value, Revision: item.Revision})
				mu.Lock()
				switch kv.CodeOf(err) {
				case code.OK:
					next.Value = value
					confirmed++
					done++
				case code.KVUnknown:
					unknown++
					done++
				}
				mu.Unlock()
				item = next
			}
		})
	}
	group.Wait()
	item, err := r.client.Get(context.Background(), "n")
	equal(t, err, nil)
	equal(t, string(item.Value), fmt.Sprint(confirmed+unknown))
	equal(t, unknown, 10)
}

// clock is a clock that the test advances.
type clock struct {
	mu  sync.Mutex
	now time.Time
}

func (c *clock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *clock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}
