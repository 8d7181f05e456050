package loader

import (
	"testing"

	"nutmeglane.example/nutmeglane/internal/core"
)

// One router learns that a server has a limit. All others must receive it at once, and so
// must one that connects later: they would exceed the limit. The answer to a request for
// a permit must go only to the router that asked.
func TestLimitIsSentToAllRouters(t *testing.T) {
	w := newFixture(t)
	for _, name := range []core.HostID{"r1", "r2"} {
		w.step(RouterUp{Router: name})
	}
	announcement := core.ReportedLimit{Named: true, PerSecond: 3, SentAgo: 2, ReceivedAgo: 1}
	server := core.ServerLife{Instance: "s"}
	w.step(LimitRequested{Router: "r1", Request: core.LimitRequest{Server: server, Limit: announcement}})
	w.step(RouterUp{Router: "r3"})
	for _, name := range []core.HostID{"r1", "r2", "r3"} {
		sent := w.limits[name]
		if len(sent) != 1 || sent[0].Server != server || !sent[0].Limit.Named || sent[0].Limit.PerSecond != 3 {
			t.Errorf("%s was sent %+v, want the limit once", name, sent)
		}
	}
	w.step(LimitRequested{Router: "r2", Request: core.LimitRequest{Server: server, Limit: announcement, RequestID: 7}})
	if n := len(w.limits["r1"]) + len(w.limits["r3"]); n != 2 {
		t.Errorf("the others were sent %d answers to another router's request", n-2)
	}
	if sent := w.limits["r2"]; len(sent) != 2 || sent[1].RequestID != 7 {
		t.Errorf("the requesting router was sent %+v", sent)
	}
}
