package window

import (
	"testing"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
)

const start = core.Time(time.Hour)

func TestWindowCountsWhatIsWithin(t *testing.T) {
	w := New(8*time.Second, 80)
	w.Add(start, 100)
	if got := w.Total(start.Add(7900 * time.Millisecond)); got != 100 {
		t.Errorf("within the window %.0f", got)
	}
	if got := w.Total(start.Add(8300 * time.Millisecond)); got != 0 {
		t.Errorf("after the window %.0f", got)
	}
	w.Add(start.Add(9*time.Second), 100)
	if got := w.RoomIn(start.Add(10*time.Second), 50); got < 6500*time.Millisecond || got > 8*time.Second {
		t.Errorf("room in %v", got)
	}
	other := New(8*time.Second, 16)
	other.AddParts(start.Add(10*time.Second), w.Parts(start.Add(10*time.Second), 8))
	if got := other.Total(start.Add(10 * time.Second)); got < 99 || got > 101 {
		t.Errorf("copied %.0f of 100", got)
	}
}
