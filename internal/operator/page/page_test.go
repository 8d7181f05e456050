package page

import (
	"net/http/httptest"
	"strings"
	"testing"

	"nutmeglane.example/nutmeglane/internal/api"
	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/core/config"
	"nutmeglane.example/nutmeglane/internal/core/steward"
	"nutmeglane.example/nutmeglane/internal/operator/status"
)

func render(s *api.Snapshot, dump map[string]any) string {
	w := httptest.NewRecorder()
	view := func() status.View { return status.Collect("entry-1", dump) }
	Handler(func() *api.Snapshot { return s }, view).ServeHTTP(w, httptest.NewRequest("GET", "/", nil))
	return w.Body.String()
}

func TestPage(t *testing.T) {
	model := api.Resource{APIVersion: api.Version, Kind: api.KindModel, Metadata: api.Metadata{Name: "beach"},
		Spec: &api.ModelSpec{Version: "2024", MemoryMiB: 1, CheckpointMiB: 1, MaxConcurrent: 1, Replicas: api.ReplicaLimits{Max: 1}}}
	s, err := api.Build(3, []api.Resource{model})
	if err != nil {
		t.Fatal(err)
	}
	dump := map[string]any{
		"config": config.Dump{InForce: 3},
		// A host name is external input and must be escaped.
		"steward": steward.State{Steward: "<script>", Slots: []core.Slot{
			{ID: core.SlotID{Model: "beach"}, Owner: "yoff-1", Generation: 1, State: core.SlotReleasing},
		}},
	}
	got := render(s, dump)
	for _, want := range []string{
		"Revision 3 is in force at 1 of 1 known daemons", "beach", "2024", "slot 0 at yoff-1: releasing",
		"0 of 1 owners take requests", "not reachable", "&lt;script&gt;", "entry-1",
	} {
		if !strings.Contains(got, want) {
			t.Errorf("page lacks %q", want)
		}
	}
	if strings.Contains(got, "<script") {
		t.Error("the page contains a script")
	}
	if empty := render(nil, nil); !strings.Contains(empty, "none declared") {
		t.Error("no page before the first configuration")
	}
}
