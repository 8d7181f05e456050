package daemon

import (
	"testing"

	"nutmeglane.example/nutmeglane/internal/core"
)

// A process wakes up after some seconds of being frozen, to hundreds of messages
// of its peers, while its reducer is sending one. The connections' lock is held
// while events are handed over, and sending needs it: were handing over to wait
// for the reducer, both would wait for good, and no caller would be served.
func TestQueueEventsDoesNotBlock(t *testing.T) {
	const events = 10_000
	release, done := make(chan struct{}), make(chan struct{})
	seen := 0
	put := queueEvents(func(core.Event) {
		<-release
		if seen++; seen == events {
			close(done)
		}
	})
	for range events {
		put(core.Tick{})
	}
	close(release)
	<-done
}
