package daemon

import (
	"github.com/prometheus/client_golang/prometheus"

	"nutmeglane.example/nutmeglane/internal/router"
)

// retryGauges implements prometheus.Collector. It reads a router's parts of the budgets of retries
// when metrics are collected.
type retryGauges struct {
	read func() []router.RetryBudgetState
}

// retryGauge is one value of a service's budget.
type retryGauge struct {
	desc *prometheus.Desc
	read func(router.RetryBudgetState) float64
}

func newRetryGauge(name, help string, read func(router.RetryBudgetState) float64) retryGauge {
	return retryGauge{desc: prometheus.NewDesc("nutmeglane_router_retry_"+name, help, []string{"service"}, nil), read: read}
}

var allRetryGauges = []retryGauge{
	newRetryGauge("window_requests", "Requests of this router within the window of the retry budget.",
		func(s router.RetryBudgetState) float64 { return s.Requests }),
	newRetryGauge("window_retries", "Retries of this router within the window of the retry budget.",
		func(s router.RetryBudgetState) float64 { return s.Retries }),
	newRetryGauge("unsettled", "Retries of this router that may still arrive at the service.",
		func(s router.RetryBudgetState) float64 { return float64(s.Unsettled) }),
	newRetryGauge("slack_part", "This router's part of the retries that are allowed beside the ratio.",
		func(s router.RetryBudgetState) float64 { return s.SlackPart }),
	newRetryGauge("routers_known", "Routers among which the retry budget is divided, as far as this one knows.",
		func(s router.RetryBudgetState) float64 { return float64(s.Routers) }),
}

// Describe implements prometheus.Collector.
func (g retryGauges) Describe(out chan<- *prometheus.Desc) {
	for _, each := range allRetryGauges {
		out <- each.desc
	}
}

// Collect implements prometheus.Collector.
func (g retryGauges) Collect(out chan<- prometheus.Metric) {
	for _, state := range g.read() {
		for _, each := range allRetryGauges {
			out <- prometheus.MustNewConstMetric(each.desc, prometheus.GaugeValue, each.read(state), state.Service)
		}
	}
}
