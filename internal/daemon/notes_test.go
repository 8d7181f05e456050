package daemon

import (
	"context"
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/router"
)

// flakyStore fails some calls and hands over what was kept.
type flakyStore struct {
	fails int
	kept  chan keptNote
}

type keptNote struct {
	name  string
	value []byte
}

func (s *flakyStore) KeepNote(_ context.Context, name string, value []byte, _ time.Duration) error {
	if s.fails > 0 {
		s.fails--
		return errors.New("away")
	}
	s.kept <- keptNote{name, value}
	return nil
}

func cleared(f core.Fingerprint) core.PoisonNews {
	return core.PoisonNews{Cleared: []core.Fingerprint{f}}
}

// The store is away when a note is to be kept. It is kept once the store is back, and
// of two under one name the newer one only.
func TestNotesAreRetriedAndReplaced(t *testing.T) {
	store := &flakyStore{fails: 1, kept: make(chan keptNote)}
	k := newNoteWriter(store, slog.New(slog.DiscardHandler))
	k.put(router.Publish{Name: "a", News: cleared(1)})
	k.put(router.Publish{Name: "b", News: cleared(2)})
	k.put(router.Publish{Name: "a", News: cleared(3)})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go k.run(ctx)
	for _, want := range []core.Fingerprint{3, 2} {
		kept := <-store.kept
		news := decodeNotes([][]byte{kept.value}, slog.New(slog.DiscardHandler))
		if len(news.Cleared) != 1 || news.Cleared[0] != want {
			t.Errorf("kept %+v under %s, want %s", news, kept.name, want)
		}
	}
}

// The store stays away while servers end by the hundred. What waits is bounded.
func TestPendingNotesAreBounded(t *testing.T) {
	k := newNoteWriter(&flakyStore{}, slog.New(slog.DiscardHandler))
	for i := range 2 * maxPendingNotes {
		k.put(router.Publish{Name: fmt.Sprint(i)})
	}
	if len(k.pending) != maxPendingNotes || k.pending[0].Name != fmt.Sprint(maxPendingNotes) {
		t.Errorf("%d wait, the first is %s", len(k.pending), k.pending[0].Name)
	}
}

// Another program keeps something under the same prefix. It tells nothing.
func TestForeignNotesAreIgnored(t *testing.T) {
	note, err := core.EncodeMessage(core.Counts{Running: 1})
	if err != nil {
		t.Fatal(err)
	}
	if news := decodeNotes([][]byte{[]byte("x"), nil, note}, slog.New(slog.DiscardHandler)); len(news.Ends)+len(news.Cleared) != 0 {
		t.Errorf("told %+v", news)
	}
}
