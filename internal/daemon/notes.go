package daemon

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/poison"
	"nutmeglane.example/nutmeglane/internal/router"
)

const (
	// noteRetryDelay is the delay after a failed call, so that an unreachable store
	// gets no more calls for notes than from readers.
	noteRetryDelay = time.Second
	// maxPendingNotes limits the notes that are pending while the store is
	// unreachable; each has up to some KB. The oldest are dropped first.
	maxPendingNotes = 256
)

// noteStore is the part of the platform's store API that stores notes.
type noteStore interface {
	PutNote(ctx context.Context, name string, value []byte, lasts time.Duration) error
}

// noteWriter writes a router's notes to the platform's store, one after the other, and
// retries each until it is written, replaced by a newer one of its name, or dropped.
type noteWriter struct {
	store noteStore
	log   *slog.Logger
	wake  chan struct{}

	mu sync.Mutex
	// pending contains at most one note per name, oldest first.
	pending []router.Publish
}

func newNoteWriter(store noteStore, log *slog.Logger) *noteWriter {
	return &noteWriter{store: store, log: log, wake: make(chan struct{}, 1)}
}

// put queues a note without blocking. It replaces a pending note of the same name.
func (k *noteWriter) put(note router.Publish) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if i := k.indexOf(note.Name); i >= 0 {
		k.pending[i] = note
		return
	}
	k.pending = append(k.pending, note)
	if len(k.pending) > maxPendingNotes {
		k.log.Error("note dropped, as too many wait for the store", "note", k.pending[0].Name)
		k.pending = k.pending[1:]
	}
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// indexOf returns the index of the pending note with a name, or -1.
func (k *noteWriter) indexOf(name string) int {
	return slices.IndexFunc(k.pending, func(other router.Publish) bool { return other.Name == name })
}

// run writes pending notes until ctx ends.
func (k *noteWriter) run(ctx context.Context) {
	for ctx.Err() == nil {
		note, ok := k.take()
		if !ok {
			select {
			case <-ctx.Done():
			case <-k.wake:
			}
			continue
		}
		if err := k.write(ctx, note); err != nil {
			k.log.Warn("note not written", "note", note.Name, "error", err.Error())
			k.requeue(note)
			sleep(ctx, noteRetryDelay)
			continue
		}
		k.log.Info("note written", "note", note.Name)
	}
}

func (k *noteWriter) take() (note router.Publish, ok bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.pending) == 0 {
		return router.Publish{}, false
	}
	note = k.pending[0]
	k.pending = k.pending[1:]
	return note, true
}

// requeue puts a note back to be retried, unless a newer one of its name is pending.
func (k *noteWriter) requeue(note router.Publish) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.indexOf(note.Name) < 0 {
		k.pending = slices.Insert(k.pending, 0, note)
	}
}

func (k *noteWriter) write(ctx context.Context, note router.Publish) error {
	value, err := core.EncodeMessage(note.News)
	if err != nil {
		return err
	}
	return k.store.PutNote(ctx, note.Name, value, poison.Retention)
}

// sleep returns after a duration, or when ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// decodeNotes returns the news of poison requests that notes contain. Notes that can't be
// decoded are logged and ignored.
func decodeNotes(notes [][]byte, log *slog.Logger) core.PoisonNews {
	var all core.PoisonNews
	for _, note := range notes {
		message, err := core.DecodeMessage(note)
		if err != nil {
			log.Error("note can't be decoded; ignored", "error", err.Error())
			continue
		}
		news, ok := message.(core.PoisonNews)
		if !ok {
			log.Error("note contains an unexpected message type; ignored", "kind", fmt.Sprintf("%T", message))
			continue
		}
		all.Ends = append(all.Ends, news.Ends...)
		all.Cleared = append(all.Cleared, news.Cleared...)
	}
	return all
}
