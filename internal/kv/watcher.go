package kv

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"nutmeglane.example/nutmeglane/internal/core"
)

// failuresToList is the number of consecutive failures after which a watcher lists again
// instead of resuming its watch. A single broken connection is resumed, so that a short
// interruption does not make every process read whole prefixes; after an outage the service
// may have been restored to another state.
const failuresToList = 2

// watcher posts the changes of the keys with one prefix: it lists, then watches from the
// listed revision.
type watcher struct {
	prefix string
	client *Client
	post   func(core.Event)
	reach  *reachability
	opts   ExecutorOptions
	// listed is false if the next step has to list.
	listed   bool
	revision int64
	// known has the last posted revision of each existing key.
	known    map[string]int64
	failures int
}

func newWatcher(e *Executor, prefix string) *watcher {
	return &watcher{
		prefix: prefix,
		client: e.client,
		post:   e.post,
		reach:  e.reach,
		opts:   e.opts,
		known:  map[string]int64{},
	}
}

func (w *watcher) run(ctx context.Context) {
	for ctx.Err() == nil {
		pause(ctx, w.step(ctx))
	}
}

// step lists or watches once and returns the delay before the next step. A compacted watch
// is also followed by a delay, since the list may be compacted again at once.
func (w *watcher) step(ctx context.Context) time.Duration {
	changed, err := w.call(ctx)
	if ctx.Err() != nil {
		return 0
	}
	w.reach.note(err)
	if err != nil {
		return w.failed()
	}
	w.failures = 0
	if changed {
		return w.opts.Coalesce
	}
	return 0
}

func (w *watcher) call(ctx context.Context) (changed bool, err error) {
	if !w.listed {
		return false, w.list(ctx)
	}
	return w.watch(ctx)
}

func (w *watcher) failed() time.Duration {
	window := min(w.opts.MaxWindow, w.opts.FirstWindow<<min(w.failures, maxDoublings))
	w.failures++
	if w.failures >= failuresToList {
		w.listed = false
	}
	return rand.N(window)
}

// maxDoublings prevents an overflow of the window.
const maxDoublings = 16

// list posts the differences from the previously posted keys. A key that is missing in the
// list was deleted while there was no watch.
func (w *watcher) list(ctx context.Context) error {
	snapshot, err := w.client.List(ctx, w.prefix)
	if err != nil {
		return err
	}
	present := make(map[string]int64, len(snapshot.Items))
	for _, item := range snapshot.Items {
		present[item.Key] = item.Revision
		if w.known[item.Key] != item.Revision {
			w.post(core.KVValue(item))
		}
	}
	for _, key := range core.SortedKeys(w.known) {
		if _, exists := present[key]; !exists {
			w.post(core.KVValue{Key: key})
		}
	}
	w.known = present
	w.revision = snapshot.Revision
	w.listed = true
	return nil
}

func (w *watcher) watch(ctx context.Context) (changed bool, err error) {
	batch, err := w.client.Watch(ctx, w.prefix, w.revision)
	if errors.Is(err, ErrCompacted) {
		w.listed = false
		return true, nil
	}
	if err != nil {
		return false, err
	}
	for _, change := range batch.Changes {
		w.apply(change)
	}
	w.revision = batch.Revision
	return len(batch.Changes) > 0, nil
}

func (w *watcher) apply(change Change) {
	if change.Deleted {
		delete(w.known, change.Key)
		w.post(core.KVValue{Key: change.Key})
		return
	}
	w.known[change.Key] = change.Revision
	w.post(core.KVValue(change.Item))
}

// pause waits until d has passed or ctx is done.
func pause(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
