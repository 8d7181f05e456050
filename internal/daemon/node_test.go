package daemon

import (
	"testing"

	"nutmeglane.example/nutmeglane/internal/core"
)

// Guards against a deadlock after which no caller is served. A process that was
// suspended for some seconds receives hundreds of messages from its peers while its
// reducer sends one. Events are delivered under the connections' lock, which sending
// needs as well, so the delivery must not wait for the reducer.
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
