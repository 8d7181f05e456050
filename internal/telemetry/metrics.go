package telemetry

import (
	"log/slog"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"nutmeglane.example/nutmeglane/internal/core"
)

const namespace = "nutmeglane"

// Histogram buckets: 1 ms to 524 s, and 64 B to 256 MiB.
var (
	secondsBuckets = prometheus.ExponentialBuckets(0.001, 2, 20)
	bytesBuckets   = prometheus.ExponentialBuckets(64, 4, 12)
)

// Metrics holds the metrics of one process in its own registry.
type Metrics struct {
	logger     *slog.Logger
	registry   *prometheus.Registry
	counters   map[core.Counter]*prometheus.CounterVec
	histograms map[core.Counter]*prometheus.HistogramVec
	dropped    prometheus.Counter
}

// NewMetrics registers the metrics that the parts of a process declare, and
// those of the Go runtime and the process. It fails on a name that is declared
// twice or has none of the suffixes that core.CounterDef lists.
func NewMetrics(logger *slog.Logger, defs []core.CounterDef) (*Metrics, error) {
	m := &Metrics{
		logger:     logger,
		registry:   prometheus.NewRegistry(),
		counters:   map[core.Counter]*prometheus.CounterVec{},
		histograms: map[core.Counter]*prometheus.HistogramVec{},
		dropped: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace,
			Name:      "metric_updates_dropped_total",
			Help:      "Updates of metrics that are not declared or have other labels.",
		}),
	}
	m.registry.MustRegister(m.dropped, collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	for _, def := range defs {
		if err := m.add(def); err != nil {
			return nil, errors.Wrapf(err, "metric %s", def.Name)
		}
	}
	return m, nil
}

// Registry returns the registry, for metrics that are not updated by effects.
func (m *Metrics) Registry() *prometheus.Registry { return m.registry }

func (m *Metrics) add(def core.CounterDef) error {
	name := string(def.Name)
	if strings.HasSuffix(name, "_total") {
		vec := prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: name, Help: def.Help,
		}, def.Labels)
		m.counters[def.Name] = vec
		return m.registry.Register(vec)
	}
	buckets, err := bucketsFor(name)
	if err != nil {
		return err
	}
	vec := prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: namespace, Name: name, Help: def.Help, Buckets: buckets,
	}, def.Labels)
	m.histograms[def.Name] = vec
	return m.registry.Register(vec)
}

func bucketsFor(name string) ([]float64, error) {
	switch {
	case strings.HasSuffix(name, "_seconds"):
		return secondsBuckets, nil
	case strings.HasSuffix(name, "_bytes"):
		return bytesBuckets, nil
	default:
		return nil, errors.New("the name must end in _total, _seconds or _bytes")
	}
}

// Do applies a Count, Observe or Note effect. It reports whether the effect was
// one of these.
func (m *Metrics) Do(effect core.Effect) bool {
	switch e := effect.(type) {
	case core.Count:
		m.count(e)
	case core.Observe:
		m.observe(e)
	case core.Note:
		m.note(e)
	default:
		return false
	}
	return true
}

// count adds to a counter. An update that does not match its declaration is
// dropped and counted: the client library panics on wrong labels and on negative
// amounts, and a metric must not terminate a process that serves requests.
func (m *Metrics) count(e core.Count) {
	vec, ok := m.counters[e.Name]
	if !ok || e.Add < 0 {
		m.dropped.Inc()
		return
	}
	counter, err := vec.GetMetricWithLabelValues(e.Labels...)
	if err != nil {
		m.dropped.Inc()
		return
	}
	counter.Add(e.Add)
}

func (m *Metrics) observe(e core.Observe) {
	vec, ok := m.histograms[e.Name]
	if !ok {
		m.dropped.Inc()
		return
	}
	histogram, err := vec.GetMetricWithLabelValues(e.Labels...)
	if err != nil {
		m.dropped.Inc()
		return
	}
	histogram.Observe(e.Value)
}

func (m *Metrics) note(e core.Note) {
	args := make([]any, len(e.Fields))
	for i, field := range e.Fields {
		args[i] = field
	}
	m.logger.Info(e.Name, args...)
}
