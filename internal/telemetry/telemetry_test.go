package telemetry

import (
	"bytes"
	"io"
	"log/slog"
	"net/http/httptest"
	"strings"
	"testing"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/settings"
)

var defs = []core.CounterDef{
	{Name: "requests_total", Help: "Requests.", Labels: []string{"outcome"}},
	{Name: "wait_seconds", Help: "Waits."},
	{Name: "body_bytes", Help: "Sizes."},
}

func get(t *testing.T, m *Metrics, path string, ready bool) (int, string) {
	t.Helper()
	w := httptest.NewRecorder()
	dump := func() any { return map[string]int{"slots": 3} }
	m.Handler(dump, func() bool { return ready }).ServeHTTP(w, httptest.NewRequest("GET", path, nil))
	return w.Code, w.Body.String()
}

func TestEffectsReachMetricsAndLog(t *testing.T) {
	var log bytes.Buffer
	logger, err := NewLogger(&log, settings.Log{Level: "info", Format: "json"})
	if err != nil {
		t.Fatal(err)
	}
	m, err := NewMetrics(logger, defs)
	if err != nil {
		t.Fatal(err)
	}
	effects := []core.Effect{
		core.Count{Name: "requests_total", Labels: []string{"whole"}, Add: 2},
		core.Observe{Name: "wait_seconds", Value: 0.25},
		core.Observe{Name: "body_bytes", Value: 100},
		core.Note{Name: "slot moved", Fields: []string{"slot", "m/0"}},
		// Each of these would panic in the client library or has no metric.
		core.Count{Name: "requests_total", Add: 1},
		core.Count{Name: "requests_total", Labels: []string{"whole"}, Add: -1},
		core.Count{Name: "unknown_total", Add: 1},
		core.Observe{Name: "wait_seconds", Labels: []string{"x"}, Value: 1},
	}
	for _, effect := range effects {
		if !m.Do(effect) {
			t.Errorf("%T was not handled", effect)
		}
	}
	if m.Do(core.Exit{}) {
		t.Error("Exit was handled")
	}
	_, body := get(t, m, "/metrics", true)
	for _, line := range []string{
		`nutmeglane_requests_total{outcome="whole"} 2`,
		`nutmeglane_wait_seconds_sum 0.25`,
		`nutmeglane_body_bytes_bucket{le="256"} 1`,
		`nutmeglane_metric_updates_dropped_total 4`,
	} {
		if !strings.Contains(body, line) {
			t.Errorf("/metrics lacks %s", line)
		}
	}
	if got := log.String(); !strings.Contains(got, `"msg":"slot moved","slot":"m/0"`) {
		t.Errorf("log is %s", got)
	}
}

func TestHandler(t *testing.T) {
	m, err := NewMetrics(slog.New(slog.DiscardHandler), nil)
	if err != nil {
		t.Fatal(err)
	}
	tests := []struct {
		path  string
		ready bool
		code  int
		body  string
	}{
		{"/healthz", false, 200, "ok"},
		{"/readyz", false, 503, "not ready"},
		{"/readyz", true, 200, "ready"},
		{"/debug/state", true, 200, `"slots": 3`},
		{"/other", true, 404, ""},
	}
	for _, test := range tests {
		code, body := get(t, m, test.path, test.ready)
		if code != test.code || !strings.Contains(body, test.body) {
			t.Errorf("%s: got %d %q, want %d %q", test.path, code, body, test.code, test.body)
		}
	}
}

func TestBadDefinitions(t *testing.T) {
	for _, bad := range [][]core.CounterDef{{{Name: "waits"}}, {{Name: "a_total"}, {Name: "a_total"}}} {
		if _, err := NewMetrics(slog.New(slog.DiscardHandler), bad); err == nil {
			t.Errorf("%v was accepted", bad)
		}
	}
	if _, err := NewLogger(io.Discard, settings.Log{Level: "loud", Format: "json"}); err == nil {
		t.Error("log level loud was accepted")
	}
}
