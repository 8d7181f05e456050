package daemon

import (
	"github.com/prometheus/client_golang/prometheus"

	"nutmeglane.example/nutmeglane/internal/body"
)

// bodyGauges implements prometheus.Collector. It reads what the bodies of requests hold when metrics
// are collected.
type bodyGauges struct{ memory *body.Memory }

// bodyGauge is one value of the bodies' memory.
type bodyGauge struct {
	desc  *prometheus.Desc
	value prometheus.ValueType
	read  func(body.State) float64
}

func newBodyGauge(name, help string, value prometheus.ValueType, read func(body.State) float64) bodyGauge {
	return bodyGauge{prometheus.NewDesc("nutmeglane_request_bodies_"+name, help, nil, nil), value, read}
}

var allBodyGauges = []bodyGauge{
	newBodyGauge("held_bytes", "Memory that the bodies of requests hold.", prometheus.GaugeValue,
		func(s body.State) float64 { return float64(s.Held) }),
	newBodyGauge("limit_bytes", "Memory that the bodies of requests may hold.", prometheus.GaugeValue,
		func(s body.State) float64 { return float64(s.Limit) }),
	newBodyGauge("held", "Bodies of requests in memory.", prometheus.GaugeValue,
		func(s body.State) float64 { return float64(s.Bodies) }),
	newBodyGauge("refused_total", "Bodies that were refused because the memory for bodies was taken.", prometheus.CounterValue,
		func(s body.State) float64 { return float64(s.Refused) }),
	newBodyGauge("dropped_total", "Bodies that were not read further because others needed their memory or connection.", prometheus.CounterValue,
		func(s body.State) float64 { return float64(s.Dropped) }),
	newBodyGauge("too_large_total", "Bodies that were refused because they are over the limit of their size.", prometheus.CounterValue,
		func(s body.State) float64 { return float64(s.TooLarge) }),
}

// Describe implements prometheus.Collector.
func (g bodyGauges) Describe(out chan<- *prometheus.Desc) {
	for _, each := range allBodyGauges {
		out <- each.desc
	}
}

// Collect implements prometheus.Collector.
func (g bodyGauges) Collect(out chan<- prometheus.Metric) {
	state := g.memory.State()
	for _, each := range allBodyGauges {
		out <- prometheus.MustNewConstMetric(each.desc, each.value, each.read(state))
	}
}
