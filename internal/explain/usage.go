package explain

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"
)

// Usage summarizes a run: the durations of cold starts, and how long engines kept
// models loaded without requests.
type Usage struct {
	// Cold holds the times from arrival to first event of cold requests, by the
	// location of the nearest copy of the model: memory, disk, store, or adapter.
	Cold map[string][]time.Duration
	// Models and IdleModels are summed over loaded models (model-seconds), Engines
	// and IdleEngines over engines (engine-seconds).
	Models, IdleModels, Engines, IdleEngines time.Duration
}

// Usage summarizes all lines read. Loaders log running totals since their start,
// so only the last line of each loader run counts.
func (l *Log) Usage() Usage {
	u := Usage{Cold: map[string][]time.Duration{}}
	last := map[string]Line{}
	for _, line := range l.Lines {
		switch line.Message {
		case "request served":
			if tier := line.stringField("cold"); tier != "" {
				u.Cold[tier] = append(u.Cold[tier], line.durationField("first"))
			}
		case "loader starting":
			u.add(last[line.Host])
			delete(last, line.Host)
		case "engine use":
			last[line.Host] = line
		}
	}
	for _, line := range last {
		u.add(line)
	}
	return u
}

// add adds the last totals of one loader run.
func (u *Usage) add(line Line) {
	u.Models += line.durationField("models")
	u.IdleModels += line.durationField("models_idle")
	u.Engines += line.durationField("engine")
	u.IdleEngines += line.durationField("engine_idle")
}

// Write prints the totals as tables.
func (u *Usage) Write(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "cold start from\trequests\tp50\tp95\tp99")
	var all []time.Duration
	for _, tier := range []string{"memory", "disk", "store", "adapter"} {
		writeTier(w, tier, u.Cold[tier])
		all = append(all, u.Cold[tier]...)
	}
	writeTier(w, "any", all)
	fmt.Fprintln(w, "\nloaded\tseconds\tidle\tshare")
	writeIdle(w, "models", u.Models, u.IdleModels)
	writeIdle(w, "engines", u.Engines, u.IdleEngines)
	return w.Flush()
}

func writeTier(w io.Writer, tier string, times []time.Duration) {
	times = slices.Sorted(slices.Values(times))
	at := func(part float64) time.Duration {
		if len(times) == 0 {
			return 0
		}
		return times[int(part*float64(len(times)-1))].Round(time.Millisecond)
	}
	fmt.Fprintf(w, "%s\t%d\t%s\t%s\t%s\n", tier, len(times), at(0.5), at(0.95), at(0.99))
}

func writeIdle(w io.Writer, what string, all, idle time.Duration) {
	share := 0.0
	if all > 0 {
		share = float64(idle) / float64(all)
	}
	fmt.Fprintf(w, "%s\t%.0f\t%.0f\t%.2f\n", what, all.Seconds(), idle.Seconds(), share)
}
