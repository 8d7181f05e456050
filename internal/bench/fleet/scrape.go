package fleet

import (
	"bufio"
	"context"
	"net/http"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// Metrics are a process's counters and gauges by name, summed over labels,
// without the system's prefix.
type Metrics map[string]float64

// Names of metrics that measurements read.
const (
	MetricReceived         = "wire_received_bytes_total"
	MetricSent             = "wire_sent_bytes_total"
	MetricConnections      = "wire_connections"
	MetricStewardElections = "steward_offices_total"
)

const metricPrefix = "nutmeglane_"

// scrape reads the text form of a process's metrics.
func scrape(ctx context.Context, client *http.Client, address string) (Metrics, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/metrics", nil)
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, errors.Wrap(err, "scrape")
	}
	defer func() { _ = response.Body.Close() }()
	metrics := Metrics{}
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		metrics.addLine(lines.Text())
	}
	return metrics, errors.Wrap(lines.Err(), "read metrics")
}

// addLine takes a sample line, "name{labels} value".
func (m Metrics) addLine(line string) {
	rest, ours := strings.CutPrefix(line, metricPrefix)
	if !ours {
		return
	}
	space := strings.LastIndexByte(rest, ' ')
	if space < 0 {
		return
	}
	value, err := strconv.ParseFloat(rest[space+1:], 64)
	if err != nil {
		return
	}
	name, _, _ := strings.Cut(rest[:space], "{")
	m[name] += value
}
