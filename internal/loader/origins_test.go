package loader

import (
	"testing"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/origin"
)

// Guards against a stream that is lost, or joined to another release, because the loader that was
// told its release answers otherwise.
func TestLoaderKeepsOrigins(t *testing.T) {
	l := New(Options{Host: "10.0.0.9"})
	at := core.Time(0)
	ask := func(stream, scope uint64) core.OriginReply {
		t.Helper()
		effects := l.Step(at, OriginAsked{Router: "r", Query: core.OriginQuery{RequestID: 7, Stream: stream, Scope: scope}})
		if len(effects) != 1 {
			t.Fatalf("effects %v", effects)
		}
		reply := effects[0].(Forward).Message.(core.OriginReply)
		if reply.RequestID != 7 {
			t.Errorf("reply %+v", reply)
		}
		return reply
	}
	l.Step(at, OriginsTold{News: core.OriginNews{Origins: []core.StreamOrigin{{Stream: 1, Scope: 2, Release: "v1", Lasts: 1000}}}})
	if got := ask(1, 2); origin.State(got.State) != origin.Known || got.Release != "v1" {
		t.Errorf("told: %+v", got)
	}
	if got := ask(1, 3); origin.State(got.State) != origin.Unknown || got.Release != "" {
		t.Errorf("of another caller: %+v", got)
	}
	at = core.Time(1e9)
	if got := ask(1, 2); origin.State(got.State) != origin.Unknown {
		t.Errorf("after its time: %+v", got)
	}
}

// Routers tell origins only to loaders that say that they understand them.
func TestLoaderSaysThatItKeepsOrigins(t *testing.T) {
	if l := New(Options{}); !l.holdings().KeepsOrigins {
		t.Error("not said")
	}
}
