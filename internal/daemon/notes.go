package daemon

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/poison"
	"nutmeglane.example/nutmeglane/internal/router"
)

const (
	// notePause is the pause after a call that failed: a store that is away is not
	// asked for more than readers do.
	notePause = time.Second
	// maxNotes bounds what waits for a store that is away, at up to some KB each. The
	// oldest yield.
	maxNotes = 256
)

// noteStore is the part of the platform's store that keeps notes.
type noteStore interface {
	KeepNote(ctx context.Context, name string, value []byte, lasts time.Duration) error
	DropNote(ctx context.Context, name string) error
}

// noteKeeper writes a router's notes to the platform's store, one after the other, and
// tries each until it is written.
type noteKeeper struct {
	store noteStore
	log   *slog.Logger
	wake  chan struct{}

	mu sync.Mutex
	// waiting are router.Publish and router.Retract effects, oldest first, one a name.
	waiting []router.Effect
}

func newNoteKeeper(store noteStore, log *slog.Logger) *noteKeeper {
	return &noteKeeper{store: store, log: log, wake: make(chan struct{}, 1)}
}

// put takes an effect. It never blocks.
func (k *noteKeeper) put(effect router.Effect) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for i, other := range k.waiting {
		if noteName(other) == noteName(effect) {
			k.waiting[i] = effect
			return
		}
	}
	k.waiting = append(k.waiting, effect)
	if len(k.waiting) > maxNotes {
		k.log.Error("note dropped, as too many wait for the store", "note", noteName(k.waiting[0]))
		k.waiting = k.waiting[1:]
	}
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

func noteName(effect router.Effect) string {
	switch e := effect.(type) {
	case router.Publish:
		return e.Name
	case router.Retract:
		return e.Name
	}
	return ""
}

// run writes until ctx ends.
func (k *noteKeeper) run(ctx context.Context) {
	for ctx.Err() == nil {
		effect := k.take()
		if effect == nil {
			select {
			case <-ctx.Done():
			case <-k.wake:
			}
			continue
		}
		if err := k.write(ctx, effect); err != nil {
			k.log.Warn("note not written", "note", noteName(effect), "error", err.Error())
			k.putBack(effect)
			pause(ctx, notePause)
			continue
		}
		k.log.Info("note written", "note", noteName(effect))
	}
}

func (k *noteKeeper) take() router.Effect {
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.waiting) == 0 {
		return nil
	}
	effect := k.waiting[0]
	k.waiting = k.waiting[1:]
	return effect
}

// putBack lets an effect be tried again, unless a newer one of its name has come.
func (k *noteKeeper) putBack(effect router.Effect) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, other := range k.waiting {
		if noteName(other) == noteName(effect) {
			return
		}
	}
	k.waiting = append([]router.Effect{effect}, k.waiting...)
}

func (k *noteKeeper) write(ctx context.Context, effect router.Effect) error {
	switch e := effect.(type) {
	case router.Publish:
		value, err := core.EncodeMessage(e.News)
		if err != nil {
			return err
		}
		return k.store.KeepNote(ctx, e.Name, value, poison.Keep)
	case router.Retract:
		return k.store.DropNote(ctx, e.Name)
	}
	return nil
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// decodeNotes returns the ends that notes tell of. One that can't be decoded is logged
// and left out.
func decodeNotes(notes [][]byte, log *slog.Logger) []core.ServerEnd {
	var ends []core.ServerEnd
	for _, note := range notes {
		message, err := core.DecodeMessage(note)
		news, ok := message.(core.PoisonNews)
		if err != nil || !ok {
			log.Error("note of another kind left out", "error", err)
			continue
		}
		ends = append(ends, news.Ends...)
	}
	return ends
}
