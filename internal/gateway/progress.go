package gateway

import (
	"log/slog"
	"sync/atomic"

	"nutmeglane.example/nutmeglane/internal/clock"
	"nutmeglane.example/nutmeglane/internal/core"
)

// progress is how far the answer to a request has come, for the line on its end. It is written by
// the goroutine of the request and read by any.
type progress struct {
	// events and bytes are what the caller was given of a stream's events and of any body.
	events, bytes atomic.Int64
	// lastByte is when a server last sent something, as a core.Time; 0 before.
	lastByte atomic.Int64
}

func (p *progress) gave(bytes int) { p.bytes.Add(int64(bytes)) }

func (p *progress) gaveEvents(n int) { p.events.Add(int64(n)) }

// received records that a server has sent something.
func (p *progress) received() { p.lastByte.Store(int64(clock.Now())) }

func (p *progress) attrs() []slog.Attr {
	silent := ""
	if last := core.Time(p.lastByte.Load()); last != 0 {
		silent = clock.Now().Sub(last).String()
	}
	return []slog.Attr{slog.Int64("events", p.events.Load()), slog.Int64("bytes", p.bytes.Load()), slog.String("silent_for", silent)}
}
