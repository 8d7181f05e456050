package front

import (
	"testing"

	"nutmeglane.example/nutmeglane/internal/core"
)

// During a graceful shutdown, requests arrive while readiness is off, and some between
// the reducer's last step and the closing of the listener. Each must be answered, and
// the answer must close the caller's connection.
func TestCloseRefusesOpenAndNewRequests(t *testing.T) {
	h := newHarness(t)
	h.front.SetReady(true)
	send := func() <-chan result { return h.start(h.request("POST", completionsPath, chatBody+"}")) }
	h.front.SetReady(false)
	open := send()
	nextEvent[core.RequestArrived](h)
	h.front.Close()
	for name, answer := range map[string]<-chan result{"open": open, "late": send()} {
		r := h.wait(answer)
		if r.err != nil || r.response.Header.Get("Nutmeglane-Code") != "2004" || r.response.Header.Get("Retry-After") == "" {
			t.Errorf("%s: got %v, want a refusal with 2004", name, r)
		}
		if r.err == nil && !r.response.Close {
			t.Errorf("%s: the connection is kept open", name)
		}
	}
}
