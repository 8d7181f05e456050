package explain

import (
	"strings"
	"testing"
)

// Lines as routers and loaders write them, out of order and with a truncated one.
const router = `
{"time":"2026-02-07T01:22:24.067Z","level":"INFO","msg":"request waits for its model","host":"front-1","request":"a1","model":"m7","at":"i-9","ready_in":"2.4s","waiting":1}
{"time":"2026-02-07T01:22:26.387Z","level":"INFO","msg":"request served","host":"front-1","request":"a1","model":"m7","instance":"i-9","attempts":1,"waited":"2.288s","first":"2.306s","took":"2.344s"}
{"time":"2026-02-07T01:22:25.000Z","level":"INFO","msg":"platform store does not answer; working from what is known","host":"front-1","backends":4}
{"time":"2026-02-07T01:22:25.500Z","level":"INFO","msg":"attempt failed","host":"front-1","request":"b2","model":"m7","instance":"i-3","attempt":1,"failure":"broken off","cause":"unexpected EOF"}
{"time":"2026-02-07T01:22:25.501Z","level":"INFO","msg":"request ended without a server's answer","host":"front-1","request":"b2","model":"m7","code":3001,"name":"OutcomeUnknown","reason":"the attempt failed: broken off","retry_after":"0s","took":"120ms"}
{"time":"2026-02-07T01:22:25.502Z","level":"INFO","msg":"backend server left out","host":"front-1","instance":"i-3","failures":3}
{"time":"2026-02-07T01:22:25.503Z","level":"INFO","msg":"requ
`

const loader = `
  26.3844 side-1 {"time":"2026-02-07T01:22:26.384Z","level":"INFO","msg":"order carried out","host":"side-1","order":"load","model":"m7","took":"781ms","tier":"disk"}
  24.0000 side-1 {"time":"2026-02-07T01:22:24.000Z","level":"INFO","msg":"order carried out","host":"side-1","order":"load","model":"m8","took":"781ms","tier":"disk"}
  02.0000 side-1 {"time":"2026-02-07T01:22:02.000Z","level":"INFO","msg":"order carried out","host":"side-1","order":"load","model":"m7","took":"781ms","tier":"disk"}
`

func readLogs(t *testing.T) *Log {
	t.Helper()
	var l Log
	for _, text := range []string{router, loader} {
		if err := l.Read(strings.NewReader(text)); err != nil {
			t.Fatal(err)
		}
	}
	return &l
}

// A response was late. The request's own lines show that it waited; the reason is
// in the log of the loader next to the engine. Lines about other models, and older
// lines, must be left out, as they would hide it.
func TestLateResponseExplainedByModelLoad(t *testing.T) {
	l := readLogs(t)
	explanation := l.Explain("a1")
	if want := "served by i-9, first event after 2.306s, of which it waited 2.288s for its model; 1 orders for m7 ended meanwhile"; explanation.Cause() != want {
		t.Errorf("cause %q, want %q", explanation.Cause(), want)
	}
	var around []string
	for _, line := range explanation.RelatedLines {
		around = append(around, line.Message)
	}
	if got := strings.Join(around, "; "); got != "platform store does not answer; working from what is known; order carried out" {
		t.Errorf("around it: %s", got)
	}
}

// A response was interrupted. The explanation must contain the failure of its
// attempt and the state that the router then assigned to that backend server.
func TestInterruptedResponseExplainedByBackendFailure(t *testing.T) {
	explanation := readLogs(t).Explain("b2")
	want := "ended with OutcomeUnknown after 120ms: the attempt failed: broken off; before that i-3: broken off (unexpected EOF)"
	if explanation.Cause() != want {
		t.Errorf("cause %q, want %q", explanation.Cause(), want)
	}
	var b strings.Builder
	if err := explanation.Write(&b); err != nil || !strings.Contains(b.String(), "backend server left out") {
		t.Errorf("%v: %s", err, b.String())
	}
}

// A process was killed while it wrote a line. The line must be counted and the
// others read. An id that no line names must be reported as unknown, not as served.
func TestTruncatedLinesAreCounted(t *testing.T) {
	l := readLogs(t)
	if l.Malformed != 1 || len(l.Lines) != 9 {
		t.Errorf("%d bad and %d good lines, want 1 and 9", l.Malformed, len(l.Lines))
	}
	if explanation := l.Explain("nobody"); !strings.HasPrefix(explanation.Cause(), "no line names this request") {
		t.Errorf("cause %q", explanation.Cause())
	}
}

// FuzzRead checks that a log file with arbitrary bytes does not crash the reader.
func FuzzRead(f *testing.F) {
	f.Add(router)
	f.Add("{}\n{\"time\":1}\n\x00")
	f.Fuzz(func(_ *testing.T, text string) {
		var l Log
		_ = l.Read(strings.NewReader(text)) // a line that is too long
		story := l.Explain("a1")
		_ = story.Cause()
	})
}
