package engine

import (
	"cmp"
	"context"
	"strings"
	"sync"
	"time"

	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
)

// Limits of an eviction. The steward retries an eviction that failed.
const (
	// DefaultEvictLimit is the time limit of one eviction, including the wait
	// for busy checkpoints.
	DefaultEvictLimit = 30 * time.Second
	// evictPoll is the interval at which a busy engine is polled.
	evictPoll = 200 * time.Millisecond
	// maxEvictions is the number of concurrent evictions. Further ones wait.
	maxEvictions = 32
)

// EvictorOptions configure an Evictor. Zero durations mean the defaults.
type EvictorOptions struct {
	// Now returns the time of the monotonic clock. Required.
	Now func() core.Time
	// Limit is the time limit of one eviction.
	Limit time.Duration
}

// Evictor executes Evict effects on the engines of other hosts and posts
// EvictDone. Its methods are safe for concurrent use and do not block on an
// engine.
//
// It guards against a second replica: an agent is paused while its engine has a
// model loaded, its tenure ends, its slot moves, and the model is loaded on
// another host as well. The Evictor therefore orders the engine itself to unload
// the model and then reads its inventory. No load can begin after that
// inventory, for these reasons. The steward requests the eviction only after the
// tenure and TenureMargin have passed. A load order has a NotAfter no later than
// the end of the tenure, which is checked on the open connection immediately
// before the write (see orderBody), and an engine begins the load at most
// OrderValidity after receiving the order. So the last load begins by the end of
// the tenure + clock drift (0.9 s by default) + OrderValidity (2 s) + the latency
// within the host, which is less than TenureMargin (2 min). A load in progress is
// Busy in the inventory.
//
// The remaining case is an agent that is suspended between that check and the
// write and resumes after the margin. An engine that checks fencing numbers
// rejects its order if the eviction unloaded the same checkpoint; an engine that
// doesn't check them executes it.
type Evictor struct {
	opts  EvictorOptions
	post  func(core.Event)
	ctx   context.Context
	stop  context.CancelFunc
	lanes chan struct{}
	work  sync.WaitGroup

	mu     sync.Mutex
	closed bool
}

// NewEvictor returns an Evictor. It calls post from its own goroutines.
func NewEvictor(opts EvictorOptions, post func(core.Event)) *Evictor {
	if opts.Limit == 0 {
		opts.Limit = DefaultEvictLimit
	}
	v := &Evictor{opts: opts, post: post, lanes: make(chan struct{}, maxEvictions)}
	v.ctx, v.stop = context.WithCancel(context.Background())
	return v
}

// Do starts an effect and reports whether the Evictor handles its type. Effects
// after Close are dropped.
func (v *Evictor) Do(effect core.Effect) bool {
	order, ok := effect.(core.Evict)
	if !ok {
		return false
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.closed {
		v.work.Go(func() { v.evict(order) })
	}
	return true
}

// Close cancels all evictions and waits for them to end.
func (v *Evictor) Close() {
	v.mu.Lock()
	v.closed = true
	v.mu.Unlock()
	v.stop()
	v.work.Wait()
}

func (v *Evictor) evict(order core.Evict) {
	select {
	case v.lanes <- struct{}{}:
		defer func() { <-v.lanes }()
	case <-v.ctx.Done():
		return
	}
	ctx, cancel := context.WithTimeout(v.ctx, v.opts.Limit)
	defer cancel()
	// Without a Kind the Executor fetches no load reports.
	remote := New(Options{URL: order.URL, Now: v.opts.Now, OrderTimeout: v.opts.Limit}, nil)
	defer remote.Close()
	defer context.AfterFunc(ctx, func() { remote.stop(errClosed) })()
	e := eviction{Evict: order, remote: remote, notAfter: v.opts.Now().Add(v.opts.Limit)}
	v.post(core.EvictDone{Tag: order.Tag, Code: e.run(ctx)})
}

// eviction is one eviction in progress.
type eviction struct {
	core.Evict
	remote *Executor
	// notAfter invalidates unload orders that were delayed by a pause of this
	// process.
	notAfter core.Time
}

// run orders unloads until the inventory has no item of the model.
func (e *eviction) run(ctx context.Context) code.Code {
	for {
		inventory, err := e.remote.fetchInventory()
		if err != nil {
			return code.EngineUnknown
		}
		held := e.modelItems(inventory.Items)
		if len(held) == 0 {
			return code.OK
		}
		for _, item := range held {
			// A new owner took over the slot and loaded the model during
			// this eviction. Its copy must not be unloaded.
			if item.Fence >= e.Fence {
				return code.FencedOut
			}
		}
		if e.unload(held) {
			continue
		}
		select {
		case <-time.After(evictPoll):
		case <-ctx.Done():
			return code.EngineUnknown
		}
	}
}

// modelItems returns the items that are the model or adapters of it.
func (e *eviction) modelItems(items []core.LoadedItem) []core.LoadedItem {
	var held []core.LoadedItem
	for _, item := range items {
		if strings.HasPrefix(cmp.Or(item.Base, item.Key), e.Model+"@") {
			held = append(held, item)
		}
	}
	return held
}

// unload orders the unload of the adapters, or of the base models if no adapters
// are left. It reports whether the engine executed all orders.
func (e *eviction) unload(held []core.LoadedItem) bool {
	adapters := false
	for _, item := range held {
		adapters = adapters || item.Base != ""
	}
	done := true
	for _, item := range held {
		if adapters != (item.Base != "") {
			continue
		}
		if item.Busy {
			done = false
			continue
		}
		result := e.remote.sendOrder(core.Order{
			Kind: core.OrderUnload, Key: item.Key, Base: item.Base, MemoryMiB: item.MemoryMiB,
			Fence: e.Fence, NotAfter: e.notAfter,
		})
		done = done && result == code.OK
	}
	return done
}
