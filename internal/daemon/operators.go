package daemon

import (
	"log/slog"
	"net/http"
	"sync"

	"github.com/cockroachdb/errors"

	"nutmeglane.example/nutmeglane/internal/certs"
	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/operator"
	"nutmeglane.example/nutmeglane/internal/operator/auth"
	"nutmeglane.example/nutmeglane/internal/settings"
)

// openPaths need no token: the load balancer and the metrics collector read them,
// and they reveal no configuration.
var openPaths = []string{"/metrics", "/healthz", "/readyz"}

// operatorsHandler serves the operators' address of an entry or agent. All paths but
// openPaths require the token.
func (p *process) operatorsHandler(token string, extra func() map[string]any, mount func(*http.ServeMux)) http.Handler {
	telemetry := p.metrics.Handler(p.dumpState(extra), p.ready.Load)
	guarded := http.NewServeMux()
	guarded.Handle("GET /debug/state", telemetry)
	guarded.Handle("POST "+operator.DrainPath, http.HandlerFunc(p.serveDrain))
	guarded.HandleFunc("/", operator.NotFound)
	if mount != nil {
		mount(guarded)
	}
	mux := http.NewServeMux()
	for _, path := range openPaths {
		mux.Handle(path, telemetry)
	}
	mux.Handle("/", auth.New(token, http.HandlerFunc(operator.Unauthorized)).Wrap(sameOrigin(guarded)))
	return mux
}

// sameOrigin prevents cross-site request forgery: a browser that has shown the
// status page sends its Basic credentials with every request that another site
// makes it send here, such as a request to drain. Browsers mark cross-origin
// requests by headers that other programs do not send.
func sameOrigin(next http.Handler) http.Handler {
	protection := http.NewCrossOriginProtection()
	protection.SetDenyHandler(http.HandlerFunc(operator.CrossOrigin))
	return protection.Handler(next)
}

// drainSignal signals that an operator has requested a graceful shutdown, which may
// happen more than once.
type drainSignal struct {
	once      sync.Once
	requested chan struct{}
}

func (d *drainSignal) request() { d.once.Do(func() { close(d.requested) }) }

// serveDrain starts the same graceful shutdown as SIGTERM.
func (p *process) serveDrain(w http.ResponseWriter, _ *http.Request) {
	p.drain.request()
	operator.WriteDraining(w, string(p.blueprint.Host))
}

// loadCerts reads the certificate files of a listener or dialler. The source is nil
// if the settings name none.
func loadCerts(field string, t settings.TLS, logger *slog.Logger) (*certs.Source, error) {
	source, err := certs.Load(certs.Files(t), logger)
	return source, errors.Wrapf(err, "code %d: settings %s", code.BadSettings, field)
}
