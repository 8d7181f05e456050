package router

import (
	"slices"
	"testing"
	"time"
)

// lineOf returns the attributes of the last line with a message, as text.
func (w *fixture) lineOf(message string) map[string]string {
	w.t.Helper()
	for _, line := range slices.Backward(w.logs) {
		if line.Message != message {
			continue
		}
		attrs := map[string]string{}
		for _, a := range line.Attrs {
			attrs[a.Key] = a.Value.String()
		}
		return attrs
	}
	w.t.Fatalf("no line %q", message)
	return nil
}

// Guards against an incomplete answer whose line doesn't tell which attempts there were, how they
// ended, how far the request was, and how the end relates to the process's stop and the deadline.
func TestLineOfAnIncompleteAnswerNamesItsAttempts(t *testing.T) {
	w := newFixture(t)
	w.servers(plainService, 1)
	key := w.call("once", nil)
	w.now = w.now.Add(10 * time.Millisecond)
	w.step(Stopping{Until: w.now.Add(7 * time.Second)})
	w.now = w.now.Add(20 * time.Millisecond)
	w.step(AttemptFailed{Key: key, Attempt: 1, Failure: NoAnswer, NothingGiven: true})
	line := w.lineOf("request ended without a server's answer")
	want := map[string]string{
		"name": "OutcomeUnknown", "stage": "between attempts", "tried": "[s0 no answer after 30ms]",
		"since_stop": "20ms", "deadline_in": "770ms",
	}
	for name, value := range want {
		if line[name] != value {
			t.Errorf("%s is %q, want %q", name, line[name], value)
		}
	}
	if w.counts[metricIncomplete] != 1 {
		t.Errorf("counted %v times", w.counts[metricIncomplete])
	}
}

// Guards against a refused request that is counted as an incomplete answer although no server ran it,
// and against a caller that leaves an answer and is not counted.
func TestIncompleteAnswersAreThoseThatMayHaveRun(t *testing.T) {
	w := newFixture(t)
	w.call("once", nil)
	if w.counts[metricIncomplete] != 0 {
		t.Error("a request that was not sent counts")
	}
	w.servers(plainService, 1)
	key := w.call("once", nil)
	w.step(CallerLeft{Key: key})
	if line := w.lineOf("caller left"); line["stage"] != "sent" || line["tried"] != "[s0 left: caller left after 0s]" {
		t.Errorf("line %v", line)
	}
	if w.counts[metricIncomplete] != 1 {
		t.Error("an answer that its caller left does not count")
	}
}
