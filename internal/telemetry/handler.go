package telemetry

import (
	"encoding/json"
	"io"
	"net/http"

	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// Handler serves GET /metrics (Prometheus text), /healthz (200 while the
// process runs), /readyz (200 while ready returns true, else 503) and
// /debug/state (the result of dump, as JSON). dump and ready must be safe for
// concurrent use.
func (m *Metrics) Handler(dump func() any, ready func() bool) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		writeText(w, http.StatusOK, "ok\n")
	})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !ready() {
			writeText(w, http.StatusServiceUnavailable, "not ready\n")
			return
		}
		writeText(w, http.StatusOK, "ready\n")
	})
	mux.HandleFunc("GET /debug/state", func(w http.ResponseWriter, _ *http.Request) {
		m.writeState(w, dump())
	})
	return mux
}

func (m *Metrics) writeState(w http.ResponseWriter, state any) {
	body, err := json.MarshalIndent(state, "", "  ")
	if err != nil {
		m.logger.Error("state dump failed", "error", err.Error())
		writeText(w, http.StatusInternalServerError, "state can't be encoded\n")
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(append(body, '\n'))
}

func writeText(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	_, _ = io.WriteString(w, text)
}
