package daemon

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/prometheus/client_golang/prometheus"

	"nutmeglane.example/nutmeglane/internal/retrybudget"
	"nutmeglane.example/nutmeglane/internal/router"
)

// Guards against a router whose part of the retry budget can't be seen while retries exceed the
// bound.
func TestRetryGaugesShowEachService(t *testing.T) {
	registry := prometheus.NewRegistry()
	read := func() []router.RetryBudgetState {
		return []router.RetryBudgetState{
			{Service: "records", State: retrybudget.State{Requests: 40, Retries: 3, Unsettled: 2}, SlackPart: 2.5, Routers: 20},
			{Service: "writer", State: retrybudget.State{Requests: 7}},
		}
	}
	if err := registry.Register(retryGauges{read}); err != nil {
		t.Fatal(err)
	}
	families, err := registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	got := map[string]map[string]float64{}
	for _, family := range families {
		got[family.GetName()] = map[string]float64{}
		for _, metric := range family.GetMetric() {
			got[family.GetName()][metric.GetLabel()[0].GetValue()] = metric.GetGauge().GetValue()
		}
	}
	want := map[string]map[string]float64{
		"nutmeglane_router_retry_window_requests": {"records": 40, "writer": 7},
		"nutmeglane_router_retry_window_retries":  {"records": 3, "writer": 0},
		"nutmeglane_router_retry_unsettled":       {"records": 2, "writer": 0},
		"nutmeglane_router_retry_slack_part":      {"records": 2.5, "writer": 0},
		"nutmeglane_router_retry_routers_known":   {"records": 20, "writer": 0},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("gauges (-want +got):\n%s", diff)
	}
}
