package fleet

import (
	"bufio"
	"context"
	"net/http"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// Metrics has the values of a process's metrics by name, without the prefix
// "nutmeglane_" and summed over labels.
type Metrics map[string]float64

// Names of the metrics that measurements use. MetricStewardElections is above 0 at an
// entry that has become the steward.
const (
	MetricReceived         = "wire_received_bytes_total"
	MetricSent             = "wire_sent_bytes_total"
	MetricConnections      = "wire_connections"
	MetricStewardElections = "steward_offices_total"
)

const metricPrefix = "nutmeglane_"

// scrape reads a process's metrics in the text format.
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

// addLine adds the value of a sample line, "name{labels} value". It ignores all
// other lines and metrics without the prefix.
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
