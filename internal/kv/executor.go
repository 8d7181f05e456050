package kv

import (
	"context"
	"sync"
	"time"

	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
)

// Defaults of ExecutorOptions.
const (
	DefaultWorkers     = 8
	DefaultQueueLimit  = 1024
	DefaultFirstWindow = 250 * time.Millisecond
	DefaultMaxWindow   = 10 * time.Second
	DefaultCoalesce    = 200 * time.Millisecond
)

// ExecutorOptions are the executor's settings; a zero field takes its default.
type ExecutorOptions struct {
	// Workers is the number of effects executed concurrently.
	Workers int
	// QueueLimit is the number of effects that may wait; further ones are answered with
	// KVUnavailable.
	QueueLimit int
	// A failed watch is retried after a uniformly random part of a window (full jitter),
	// which doubles from FirstWindow up to MaxWindow.
	FirstWindow time.Duration
	MaxWindow   time.Duration
	// Coalesce is the delay after a batch of changes before the next watch, which limits
	// the rate of calls for a prefix with many changes.
	Coalesce time.Duration
}

func (o ExecutorOptions) withDefaults() ExecutorOptions {
	if o.Workers == 0 {
		o.Workers = DefaultWorkers
	}
	if o.QueueLimit == 0 {
		o.QueueLimit = DefaultQueueLimit
	}
	if o.FirstWindow == 0 {
		o.FirstWindow = DefaultFirstWindow
	}
	if o.MaxWindow == 0 {
		o.MaxWindow = DefaultMaxWindow
	}
	if o.Coalesce == 0 {
		o.Coalesce = DefaultCoalesce
	}
	return o
}

// Executor executes the reducer's KV effects and watches prefixes.
type Executor struct {
	client *Client
	post   func(core.Event)
	opts   ExecutorOptions
	queue  *queue
	reach  *reachability
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// NewExecutor starts an executor that watches the prefixes and posts core.KVValue,
// core.KVReachable and core.KVResult events. post is called from several goroutines; it may
// block, but must return once Close was called.
func NewExecutor(client *Client, prefixes []string, post func(core.Event), opts ExecutorOptions) *Executor {
	opts = opts.withDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	e := &Executor{
		client: client,
		post:   post,
		opts:   opts,
		queue:  newQueue(opts.QueueLimit),
		reach:  &reachability{post: post},
		ctx:    ctx,
		cancel: cancel,
	}
	for range opts.Workers {
		e.wg.Go(e.work)
	}
	for _, prefix := range prefixes {
		w := newWatcher(e, prefix)
		e.wg.Go(func() { w.run(ctx) })
	}
	return e
}

// Do queues a KV effect and returns without waiting for it; a core.KVResult with the same
// Tag follows. It returns false for any other effect. Effects on one key are executed in
// the order of the calls. An effect that is not complete when Close is called has no
// result.
func (e *Executor) Do(effect core.Effect) bool {
	l, tag, ok := laneOf(effect)
	if !ok {
		return false
	}
	if e.queue.put(l, effect) {
		return true
	}
	// The caller may be the goroutine that receives the events, so posting here could
	// deadlock.
	e.wg.Go(func() { e.post(core.KVResult{Tag: tag, Code: code.KVUnavailable, Key: l.key, Lease: l.lease}) })
	return true
}

func laneOf(effect core.Effect) (lane, uint64, bool) {
	switch eff := effect.(type) {
	case core.KVGet:
		return lane{key: eff.Key}, eff.Tag, true
	case core.KVCas:
		return lane{key: eff.Key}, eff.Tag, true
	case core.KVLease:
		return lane{tag: eff.Tag}, eff.Tag, true
	case core.KVKeepAlive:
		return lane{lease: eff.Lease}, eff.Tag, true
	default:
		return lane{}, 0, false
	}
}

// Close ends all calls and goroutines. Do must not be called after it.
func (e *Executor) Close() {
	e.cancel()
	e.queue.close()
	e.wg.Wait()
	e.client.Close()
}

func (e *Executor) work() {
	for {
		l, effect, ok := e.queue.take()
		if !ok {
			return
		}
		result, err := e.execute(effect)
		if e.ctx.Err() != nil {
			return
		}
		e.reach.note(err)
		result.Code = CodeOf(err)
		e.post(result)
		e.queue.done(l)
	}
}

func (e *Executor) execute(effect core.Effect) (core.KVResult, error) {
	switch eff := effect.(type) {
	case core.KVGet:
		item, err := e.client.Get(e.ctx, eff.Key)
		return itemResult(eff.Tag, item), err
	case core.KVCas:
		item, err := e.client.Cas(e.ctx, CasRequest{Key: eff.Key, Value: eff.Value, Revision: eff.Revision, Lease: eff.Lease})
		if err == nil {
			item.Value = eff.Value
		}
		return itemResult(eff.Tag, item), err
	case core.KVLease:
		lease, err := e.client.Grant(e.ctx, eff.TTL)
		return core.KVResult{Tag: eff.Tag, Lease: lease}, err
	case core.KVKeepAlive:
		err := e.client.KeepAlive(e.ctx, eff.Lease)
		return core.KVResult{Tag: eff.Tag, Lease: eff.Lease}, err
	default:
		panic("kv: laneOf accepts only KV effects")
	}
}

func itemResult(tag uint64, item Item) core.KVResult {
	return core.KVResult{Tag: tag, Key: item.Key, Value: item.Value, Revision: item.Revision}
}

// failuresToDown is the number of consecutive failures, of calls and watches together,
// after which the service counts as unreachable.
//
// It guards against taking one lost answer for an outage: a steward restarts its grace
// period each time the service becomes reachable again, and a few time-outs per hour would
// keep it from ever reassigning a slot. In a real outage the watches fail again within
// their first windows.
const failuresToDown = 2

// reachability derives core.KVReachable events from the results of calls.
type reachability struct {
	post     func(core.Event)
	mu       sync.Mutex
	known    bool
	up       bool
	failures int
}

// note records the result of a call. A refusal because of the rate limit changes nothing:
// the service is reachable but does not serve the call.
func (r *reachability) note(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case answered(err):
		r.failures = 0
		r.set(true)
	case throttled(err):
	default:
		r.failures++
		if r.failures >= failuresToDown {
			r.set(false)
		}
	}
}

// set posts while it holds the lock, so that events are posted in the order of the changes.
func (r *reachability) set(up bool) {
	if r.known && r.up == up {
		return
	}
	r.known = true
	r.up = up
	r.post(core.KVReachable{Up: up})
}
