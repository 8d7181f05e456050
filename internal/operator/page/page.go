// Package page renders the operators' status page: models and adapters with their
// replicas and conditions, hosts, waiting requests and the revision in force. The page is
// read-only HTML without scripts, rendered on the server.
package page

import (
	"bytes"
	_ "embed"
	"html/template"
	"net/http"

	"nutmeglane.example/nutmeglane/internal/api"
	"nutmeglane.example/nutmeglane/internal/operator/status"
)

//go:embed page.html
var source string

var page = template.Must(template.New("page").Parse(source))

// maxAdapters limits the adapters shown, loaded ones first, as a page with tens of
// thousands of idle adapters would be unusable.
const maxAdapters = 200

// row is a model, adapter or service.
type row struct {
	Name, Version string
	Conditions    []status.Condition
	Replicas      []status.Replica
	Loaded        bool
}

// content is the data of the template.
type content struct {
	View                       status.View
	Rollout                    status.Rollout
	Models, Adapters, Services []row
	AdaptersLeftOut            int
}

// Handler serves the page. The snapshot is nil before the first configuration.
func Handler(snapshot func() *api.Snapshot, view func() status.View) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		var b bytes.Buffer
		if err := page.Execute(&b, collect(snapshot(), view())); err != nil {
			http.Error(w, "the page can't be drawn", http.StatusInternalServerError)
			return
		}
		w.Header().Set("Content-Type", "text/html; charset=utf-8")
		w.Header().Set("Content-Security-Policy", "default-src 'none'; style-src 'unsafe-inline'")
		w.Header().Set("Cache-Control", "no-store")
		_, _ = w.Write(b.Bytes())
	})
}

func collect(s *api.Snapshot, view status.View) content {
	c := content{View: view, Rollout: view.Rollout()}
	if s == nil {
		return c
	}
	c.Models = rows(s, view, api.KindModel)
	c.Services = rows(s, view, api.KindService)
	adapters := rows(s, view, api.KindAdapter)
	for _, wanted := range []bool{true, false} {
		for _, adapter := range adapters {
			if adapter.Loaded == wanted && len(c.Adapters) < maxAdapters {
				c.Adapters = append(c.Adapters, adapter)
			}
		}
	}
	c.AdaptersLeftOut = len(adapters) - len(c.Adapters)
	return c
}

func rows(s *api.Snapshot, view status.View, kind api.Kind) []row {
	var result []row
	for _, resource := range s.Resources(kind) {
		state := view.StatusOf(s, resource)
		r := row{Name: resource.Metadata.Name, Conditions: state.Conditions, Replicas: state.Replicas}
		switch spec := resource.Spec.(type) {
		case *api.ModelSpec:
			r.Version = spec.Version
		case *api.AdapterSpec:
			r.Version = spec.Version
		}
		for _, condition := range state.Conditions {
			r.Loaded = r.Loaded || condition.Type == status.Loaded && condition.Status == status.True
		}
		result = append(result, r)
	}
	return result
}
