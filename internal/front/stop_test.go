package front

import (
	"testing"

	"nutmeglane.example/nutmeglane/internal/core"
)

// TestClose: a planned stop. Requests come while readiness is off, and some
// between the reducer's last step and the end of the listener. Callers must be
// told to use another connection, and nobody may be left without an answer.
func TestCloseRefusesOpenAndNewRequests(t *testing.T) {
	h := newHarness(t)
	h.front.SetReady(true)
	ask := func() <-chan result { return h.start(h.request("POST", completionsPath, chatBody+"}")) }
	h.front.SetReady(false)
	open := ask()
	nextEvent[core.RequestArrived](h)
	h.front.Close()
	for name, answer := range map[string]<-chan result{"open": open, "late": ask()} {
		r := h.wait(answer)
		if r.err != nil || r.response.Header.Get("Nutmeglane-Code") != "2004" || r.response.Header.Get("Retry-After") == "" {
			t.Errorf("%s: got %v, want a refusal with 2004", name, r)
		}
		if r.err == nil && !r.response.Close {
			t.Errorf("%s: the connection is kept", name)
		}
	}
}
