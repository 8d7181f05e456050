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

// flakyStore fails the first calls and sends each stored note to a channel.
type flakyStore struct {
	fails int
	kept  chan keptNote
}

type keptNote struct {
	name  string
	value []byte
}

func (s *flakyStore) PutNote(_ context.Context, name string, value []byte, _ time.Duration) error {
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

// The store is unreachable when a note is to be stored. The note is stored once the store is
// available again; of two notes with the same name only the newer one is.
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
			t.Errorf("stored %+v under %s, want %s", news, kept.name, want)
		}
	}
}

// Guards against unbounded memory: the store stays unreachable while hundreds of servers
// end, each of which causes a note.
func TestPendingNotesAreBounded(t *testing.T) {
	k := newNoteWriter(&flakyStore{}, slog.New(slog.DiscardHandler))
	for i := range 2 * maxPendingNotes {
		k.put(router.Publish{Name: fmt.Sprint(i)})
	}
	if len(k.pending) != maxPendingNotes || k.pending[0].name != fmt.Sprint(maxPendingNotes) {
		t.Errorf("%d pending, the first is %s", len(k.pending), k.pending[0].name)
	}
}

// Another program stores values under the same prefix. They must be ignored.
func TestForeignNotesAreIgnored(t *testing.T) {
	note, err := core.EncodeMessage(core.Counts{Running: 1})
	if err != nil {
		t.Fatal(err)
	}
	if news := decodeNotes([][]byte{[]byte("x"), nil, note}, slog.New(slog.DiscardHandler)); len(news.Ends)+len(news.Cleared) != 0 {
		t.Errorf("decoded %+v, want nothing", news)
	}
}

// Guards against a note on several releases that a starting router does not find, or that an error
// hides.
func TestReleaseNotesAreFoundAmongOthers(t *testing.T) {
	store := &flakyStore{}
	k := newNoteWriter(store, slog.New(slog.DiscardHandler))
	k.putReleases(router.PublishReleases{Note: core.ReleaseNote{Service: "s", Lasts: time.Second}})
	if n, ok := k.take(); !ok || n.name != "releases-s" || n.lasts != time.Second {
		t.Fatalf("queued %+v", n)
	}
	value, err := core.EncodeMessage(core.ReleaseNote{Service: "s", Lasts: time.Second})
	if err != nil {
		t.Fatal(err)
	}
	notes := [][]byte{[]byte("x"), value}
	if found := releaseNotes(notes); len(found) != 1 || found[0].Service != "s" {
		t.Errorf("found %+v", found)
	}
	if news := decodeNotes(notes, slog.New(slog.DiscardHandler)); len(news.Ends)+len(news.Cleared) != 0 {
		t.Errorf("news %+v", news)
	}
}
