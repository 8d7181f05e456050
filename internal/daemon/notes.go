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
	// releaseNotePrefix precedes the service's name in the names of notes on services with
	// several releases.
	releaseNotePrefix = "releases-"
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
	pending []note
}

// note is a value that is to be written to the store under a name, for a period.
type note struct {
	name    string
	message core.Message
	lasts   time.Duration
}

func newNoteWriter(store noteStore, log *slog.Logger) *noteWriter {
	return &noteWriter{store: store, log: log, wake: make(chan struct{}, 1)}
}

// put queues news of poison requests.
func (k *noteWriter) put(news router.Publish) {
	k.queue(note{name: news.Name, message: news.News, lasts: poison.Retention})
}

// putReleases queues a note on a service with several releases.
func (k *noteWriter) putReleases(e router.PublishReleases) {
	k.queue(note{name: releaseNotePrefix + e.Note.Service, message: e.Note, lasts: e.Note.Lasts})
}

// queue queues a note without blocking. It replaces a pending note of the same name.
func (k *noteWriter) queue(n note) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if i := k.indexOf(n.name); i >= 0 {
		k.pending[i] = n
		return
	}
	k.pending = append(k.pending, n)
	if len(k.pending) > maxPendingNotes {
		k.log.Error("note dropped, as too many wait for the store", "note", k.pending[0].name)
		k.pending = k.pending[1:]
	}
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// indexOf returns the index of the pending note with a name, or -1.
func (k *noteWriter) indexOf(name string) int {
	return slices.IndexFunc(k.pending, func(other note) bool { return other.name == name })
}

// run writes pending notes until ctx ends.
func (k *noteWriter) run(ctx context.Context) {
	for ctx.Err() == nil {
		n, ok := k.take()
		if !ok {
			select {
			case <-ctx.Done():
			case <-k.wake:
			}
			continue
		}
		if err := k.write(ctx, n); err != nil {
			k.log.Warn("note not written", "note", n.name, "error", err.Error())
			k.requeue(n)
			sleep(ctx, noteRetryDelay)
			continue
		}
		k.log.Info("note written", "note", n.name)
	}
}

func (k *noteWriter) take() (n note, ok bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.pending) == 0 {
		return note{}, false
	}
	n = k.pending[0]
	k.pending = k.pending[1:]
	return n, true
}

// requeue puts a note back to be retried, unless a newer one of its name is pending.
func (k *noteWriter) requeue(n note) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.indexOf(n.name) < 0 {
		k.pending = slices.Insert(k.pending, 0, n)
	}
}

func (k *noteWriter) write(ctx context.Context, n note) error {
	value, err := core.EncodeMessage(n.message)
	if err != nil {
		return err
	}
	return k.store.PutNote(ctx, n.name, value, n.lasts)
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
		if _, ok := message.(core.ReleaseNote); ok {
			continue // see releaseNotes
		}
		news, ok := message.(core.PoisonNews)
		if !ok {
			log.Error("note contains an unexpected message type; ignored", "kind", fmt.Sprintf("%T", message))
			continue
		}
		all.Ends = append(all.Ends, news.Ends...)
		all.Cleared = append(all.Cleared, news.Cleared...)
		all.Harmless = append(all.Harmless, news.Harmless...)
	}
	return all
}

// releaseNotes returns the notes on services with several releases.
func releaseNotes(notes [][]byte) []core.ReleaseNote {
	var found []core.ReleaseNote
	for _, value := range notes {
		message, err := core.DecodeMessage(value)
		if err != nil {
			continue // decodeNotes logs it
		}
		if note, ok := message.(core.ReleaseNote); ok {
			found = append(found, note)
		}
	}
	return found
}
