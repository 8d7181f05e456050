package router

import (
	"testing"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
)

// Requests wait for a model, and their engine's loader speaks. Each word made all
// routers answer, and each answer the loader: on some days a thousand messages a
// second at each router, and 20 times the processor time. A word that changes
// nothing for the queue is not answered.
func TestLoadersWordIsNotAnsweredWithoutNews(t *testing.T) {
	w := newWorld(t)
	w.servers(engineService, 2)
	near := core.Holdings{OnDisk: []string{"m1"}, FreeMB: 80_000, FreeIn: time.Second}
	for i := range 2 {
		w.holds(i, near)
	}
	key := w.call("patient", prompt("m1"))
	if len(w.sends[key]) != 0 {
		t.Fatal("the request does not wait")
	}
	clear(w.demands)
	for i := range 2 {
		w.now = w.now.Add(time.Millisecond)
		w.holds(i, near)
	}
	if len(w.demands) != 0 {
		t.Fatalf("loaders were answered without news: %v", w.demands)
	}
	w.call("patient", prompt("m1"))
	if len(w.demands) != 1 {
		t.Fatalf("a further request was told to %d loaders, wanted the one that loads", len(w.demands))
	}
}
