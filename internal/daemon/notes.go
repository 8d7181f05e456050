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
	// notePause is the pause after a call that failed: a store that is away is not
	// asked for more than readers do.
	noteRetryDelay = time.Second
	// maxNotes bounds what waits for a store that is away, at up to some KB each. The
	// oldest yield.
	maxPendingNotes = 256
)

// noteStore is the part of the platform's store that keeps notes.
type noteStore interface {
	KeepNote(ctx context.Context, name string, value []byte, lasts time.Duration) error
}

// noteKeeper writes a router's notes to the platform's store, one after the other, and
// tries each until it is written.
type noteWriter struct {
	store noteStore
	log   *slog.Logger
	wake  chan struct{}

	mu sync.Mutex
	// waiting are oldest first, one a name.
	pending []router.Publish
}

func newNoteWriter(store noteStore, log *slog.Logger) *noteWriter {
	return &noteWriter{store: store, log: log, wake: make(chan struct{}, 1)}
}

// put takes a note. It never blocks.
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

// find returns the place of a note that waits, -1 without one.
func (k *noteWriter) indexOf(name string) int {
	return slices.IndexFunc(k.pending, func(other router.Publish) bool { return other.Name == name })
}

// run writes until ctx ends.
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

// putBack lets a note be tried again, unless a newer one of its name has come.
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
	return k.store.KeepNote(ctx, note.Name, value, poison.Keep)
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// decodeNotes returns what notes tell of poison requests. One that can't be decoded is
// logged and left out.
func decodeNotes(notes [][]byte, log *slog.Logger) core.PoisonNews {
	var all core.PoisonNews
	for _, note := range notes {
		message, err := core.DecodeMessage(note)
		if err != nil {
			log.Error("note can't be read and is left out", "error", err.Error())
			continue
		}
		news, ok := message.(core.PoisonNews)
		if !ok {
			log.Error("note of another kind is left out", "kind", fmt.Sprintf("%T", message))
			continue
		}
		all.Ends = append(all.Ends, news.Ends...)
		all.Cleared = append(all.Cleared, news.Cleared...)
	}
	return all
}
