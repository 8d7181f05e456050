package overhead

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
)

// Result has the measurements of a run.
type Result struct {
	Started    time.Time    `json:"started"`
	Agents     int          `json:"agents"`
	Streams    int          `json:"streams"`
	FirstToken FirstToken   `json:"first_token"`
	Throughput []Throughput `json:"throughput"`
	// Requests is the throughput with answers of one token.
	Requests Throughput `json:"requests"`
}

// WriteJSON writes the result as indented JSON.
func (r *Result) WriteJSON(to io.Writer) error {
	encoder := json.NewEncoder(to)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(r), "write result")
}

// WriteText writes the result as tables.
func (r *Result) WriteText(to io.Writer) error {
	table := tabwriter.NewWriter(to, 0, 0, 2, ' ', tabwriter.AlignRight)
	if f := r.FirstToken; f.Direct.Count > 0 {
		fmt.Fprintf(table, "first token, ms, load average %s\n", f.MachineLoad)
		fmt.Fprintln(table, "calls\tcount\tp50\tp99\tmax\t")
		writeQuantiles(table, "direct", f.Direct)
		writeQuantiles(table, "through entry and agent", f.Through)
		fmt.Fprintf(table, "ratio\t\t%.3f\t%.3f\t\t\n\n", f.RatioP50, f.RatioP99)
	}
	fmt.Fprintln(table, "streams\ttokens/s each\ttokens/s\trequests/s\tentry cores\tagent cores\ttokens per core s\trequests per core s\tload average\t")
	for _, t := range append(r.Throughput, r.Requests) {
		if t.Streams > 0 {
			fmt.Fprintf(table, "%d\t%g\t%.0f\t%.0f\t%.2f\t%.2f\t%.0f\t%.0f\t%s\t\n", t.Streams, t.TokensPerStream, t.TokensPerSecond,
				t.RequestsPerSecond, t.EntryCores, t.AgentCores, t.TokensPerCore, t.RequestsPerCore, t.MachineLoad)
		}
	}
	return errors.Wrap(table.Flush(), "write result")
}

func writeQuantiles(to io.Writer, name string, q Quantiles) {
	fmt.Fprintf(to, "%s\t%d\t%.2f\t%.2f\t%.2f\t\n", name, q.Count, q.P50, q.P99, q.Max)
}
