package gateway

import (
	"net/http/httptest"
	"testing"
)

// Guards against a stream that counts as stalled an hour after its start although its attempt has
// no limit on pauses.
func TestStallTimerIsStartedByEvents(t *testing.T) {
	g := newFixture(t).gateway
	c := g.register(httptest.NewRequest("POST", "/stream/x", nil), nil)
	if c.newStallTimer(&answer{attempt: 1}).Stop() {
		t.Error("the timer runs before the first event")
	}
}
