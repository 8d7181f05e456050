package router

import (
	"log/slog"
	"slices"
	"testing"
	"time"

	"nutmeglane.example/nutmeglane/internal/fleet"
)

// answerLimited lets the answer of a request's server come, with what it tells of its
// limit.
func (w *world) answerLimited(key Key, told fleet.ToldLimit) {
	w.t.Helper()
	send := w.lastSend(key)
	w.step(Answered{Key: key, Attempt: send.Attempt, Answer: fleet.Answer{Status: 200, Limit: told}})
	w.step(Done{Key: key, Attempt: send.Attempt})
}

func limitedTo(perSecond float64) fleet.ToldLimit {
	return fleet.ToldLimit{State: fleet.LimitNamed, PerSecond: perSecond}
}

// logged returns the lines with a message.
func (w *world) logged(message string) []Log {
	return slices.DeleteFunc(slices.Clone(w.logs), func(l Log) bool { return l.Message != message })
}

func attrOf(t *testing.T, line Log, name string) any {
	t.Helper()
	i := slices.IndexFunc(line.Attrs, func(a slog.Attr) bool { return a.Key == name })
	if i < 0 {
		t.Fatalf("%q has no attribute %q", line.Message, name)
	}
	return line.Attrs[i].Value.Any()
}

// An operator asks afterwards which server named a limit, since when this router has known
// it, and what it sent there. A limit that can't be read changes nothing.
func TestLimitOfAServerIsSeen(t *testing.T) {
	w := newWorld(t)
	w.servers(plainService, 1)
	w.answerLimited(w.call("once", nil), limitedTo(3))
	w.answerLimited(w.call("once", nil), fleet.ToldLimit{State: fleet.LimitMalformed, Text: "-1"})
	w.run(limitLineInterval)

	lines := w.logged("backend server's limit")
	if len(lines) != 1 || attrOf(t, lines[0], "change") != "named" || attrOf(t, lines[0], "per_second") != 3.0 {
		t.Errorf("lines on the limit: %+v, want one that it was named as 3", lines)
	}
	if lines := w.logged("backend server's limit can't be read; it changes nothing"); len(lines) != 1 {
		t.Errorf("lines on a limit that can't be read: %+v, want 1", lines)
	}
	if lines := w.logged("requests sent to a server with a limit"); len(lines) != 1 || attrOf(t, lines[0], "sent") != int64(1) {
		t.Errorf("lines on what was sent: %+v, want one that tells 1", lines)
	}
	state := w.router.Dump().Backends[0]
	if state.LimitPerSecond == nil || *state.LimitPerSecond != 3 || state.LimitKnownFor < time.Second {
		t.Errorf("the dump tells a limit of %v, known for %v", state.LimitPerSecond, state.LimitKnownFor)
	}
}
