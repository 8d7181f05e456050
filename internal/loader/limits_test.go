package loader

import (
	"testing"

	"nutmeglane.example/nutmeglane/internal/core"
)

// One router hears that a server has a limit. The others must know at once, also one that
// connects later: they would send there what the limit has no room for. The answer to a
// question goes to the router alone that asked.
func TestAllRoutersAreToldOfALimit(t *testing.T) {
	w := newWorld(t)
	for _, name := range []core.HostID{"r1", "r2"} {
		w.step(RouterUp{Router: name})
	}
	word := core.ReportedLimit{Named: true, PerSecond: 3, SentAgo: 2, HeardAgo: 1}
	server := core.ServerLife{Instance: "s"}
	w.step(RouterAskedLimit{Router: "r1", Ask: core.LimitAsk{Server: server, Limit: word}})
	w.step(RouterUp{Router: "r3"})
	for _, name := range []core.HostID{"r1", "r2", "r3"} {
		told := w.limits[name]
		if len(told) != 1 || told[0].Server != server || !told[0].Limit.Named || told[0].Limit.PerSecond != 3 {
			t.Errorf("%s was told %+v, want the limit once", name, told)
		}
	}
	w.step(RouterAskedLimit{Router: "r2", Ask: core.LimitAsk{Server: server, Limit: word, Ask: 7}})
	if n := len(w.limits["r1"]) + len(w.limits["r3"]); n != 2 {
		t.Errorf("the others were told %d times of a question", n-2)
	}
	if told := w.limits["r2"]; len(told) != 2 || told[1].Ask != 7 {
		t.Errorf("the asker was told %+v", told)
	}
}
