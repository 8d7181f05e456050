package load

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
)

// writeUntilClose writes a response whose end is that of its connection, without its last cut
// bytes, and closes the connection in an orderly way.
func writeUntilClose(w http.ResponseWriter, body string, cut int) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err) // a server of HTTP/1.1 allows it
	}
	defer func() { _ = conn.Close() }()
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nNutmeglane-Request-Id: %s\r\n\r\n%s", testID, body[:len(body)-cut])
}

// Guards against an answer that broke off at any byte of its end and that counts as correct,
// because its connection was closed in an orderly way.
func TestCutAnswersAreFound(t *testing.T) {
	classes := map[string]Class{
		"streamed": {Calls: modelCalls(), StreamShare: 1},
		"whole":    {Calls: modelCalls()},
		"service":  {Calls: serviceCalls("GET")},
	}
	for name, class := range classes {
		for cut := range 40 {
			answer := func(w http.ResponseWriter, r *http.Request) {
				recorder := httptest.NewRecorder()
				serveRight(recorder, r)
				writeUntilClose(w, recorder.Body.String(), cut)
			}
			summary := runAgainst(t, &system{answer: answer}, class, nil)
			if got := summary.FaultCounts[FaultCut]; got != min(cut, 1) || got != summary.Faults() {
				t.Errorf("%s without its last %d bytes: %v, %v", name, cut, summary.FaultCounts, summary.Examples)
			}
		}
	}
}

// Guards against a refusal that broke off and that counts as a whole one: its caller has no
// message.
func TestCutRefusalIsFound(t *testing.T) {
	refusals := map[string]func(http.ResponseWriter){
		"closed": func(w http.ResponseWriter) {
			w.Header().Set("Content-Length", "50")
			refuse(w, "1")
			_, _ = io.WriteString(w, `{"error":`)
		},
		"aborted": func(w http.ResponseWriter) {
			refuse(w, "1")
			_, _ = io.WriteString(w, `{"error":`)
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		},
	}
	for name, refusal := range refusals {
		for _, class := range []Class{{Calls: modelCalls()}, {Calls: serviceCalls("GET")}} {
			s := &system{answer: func(w http.ResponseWriter, _ *http.Request) { refusal(w) }}
			summary := runAgainst(t, s, class, nil)
			if summary.FaultCounts[FaultCut] != 1 || summary.Faults() != 1 {
				t.Errorf("%s: %v, %v", name, summary.FaultCounts, summary.Examples)
			}
		}
	}
}
