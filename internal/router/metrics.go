package router

import "nutmeglane.example/nutmeglane/internal/core"

// The metrics of a router.
const (
	metricRequests  core.Counter = "router_requests_total"
	metricFirstByte core.Counter = "router_first_byte_seconds"
)

// Counters declares the metrics of a router.
var Counters = []core.CounterDef{
	{Name: metricRequests, Help: "Requests that ended, by service and result code.", Labels: []string{"service", "code"}},
	{Name: metricFirstByte, Help: "Time from sending a request to its first byte or event, by service.", Labels: []string{"service"}},
}
