package load

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"nutmeglane.example/nutmeglane/internal/core"
)

// WriteText writes the summary as tables.
func (s *Summary) WriteText(to io.Writer) error {
	table := tabwriter.NewWriter(to, 0, 0, 2, ' ', tabwriter.AlignRight)
	p := func(format string, args ...any) { _, _ = fmt.Fprintf(table, format, args...) }
	p("run %s, seed %d: %d of %d requests sent in %.1f s\n", s.RunID, s.Seed, s.Sent, s.Planned, s.ElapsedSeconds)
	for _, bound := range s.Bounds {
		p("BOUND HIT: %s: %s\n", bound.Name, bound.Detail)
	}
	p("sending lagged by p99 %s, max %s ms\n", ms(s.SendLag.P99), ms(s.SendLag.Max))
	s.writePhases(p)
	s.writeLatencies(p)
	s.writeOutcomes(p)
	s.writeFaults(p)
	return table.Flush()
}

type printer func(format string, args ...any)

func (s *Summary) writePhases(p printer) {
	p("\nphase\tmultiplier\tsent/s\tgoodput/s\ttokens/s\t\n")
	for _, phase := range s.Phases {
		p("%s\t%gx\t%.1f\t%.1f\t%.0f\t\n", phase.Phase, phase.Multiplier,
			phase.SentPerSecond, phase.GoodputPerSecond, phase.TokensPerSecond)
	}
}

func (s *Summary) writeLatencies(p printer) {
	p("\nclass\tphase\tlatency (ms)\tcount\tp50\tp90\tp99\tp99.9\tmax\t\n")
	for _, series := range s.Series {
		for _, row := range []struct {
			name string
			q    Quantiles
		}{
			{"first token", series.FirstToken}, {"between tokens", series.BetweenTokens},
			{"whole", series.Whole}, {"refusal", series.Refusal},
		} {
			if row.q.Count > 0 {
				p("%s\t%s\t%s\t%d\t%s\t%s\t%s\t%s\t%s\t\n", series.Class, series.Phase, row.name, row.q.Count,
					ms(row.q.P50), ms(row.q.P90), ms(row.q.P99), ms(row.q.P999), ms(row.q.Max))
			}
		}
	}
}

func ms(v float64) string { return fmt.Sprintf("%.1f", v) }

func (s *Summary) writeOutcomes(p printer) {
	p("\nclass\tphase\tsent\tgoodput/s\toutcomes\t\n")
	for _, series := range s.Series {
		var parts []string
		for _, outcome := range core.SortedKeys(series.Outcomes) {
			parts = append(parts, fmt.Sprintf("%s: %d", outcome, series.Outcomes[outcome]))
		}
		p("%s\t%s\t%d\t%.1f\t%s\t\n", series.Class, series.Phase, series.Sent, series.GoodputPerSecond, strings.Join(parts, ", "))
	}
}

func (s *Summary) writeFaults(p printer) {
	p("\nfaults: %d\n", s.Faults())
	for _, fault := range Faults {
		p("  %s: %d\n", fault, s.FaultCounts[fault])
	}
	if s.Referees == nil {
		p("  no referee was read: runs that callers can't see were not checked\n")
	} else {
		p("  double runs of other calls: %d\n  memory violations: %d\n", s.UnclaimedDoubleRuns, s.Referees.MemoryViolations)
		p("referees: %d loads, %d double runs, %d runs cut by an unload\n", s.Referees.Loads, s.Referees.DoubleRuns, s.Referees.RunsCut)
	}
	for _, e := range s.Examples {
		p("  %s: class %s, phase %s, request %d (%s): %s\n", e.Fault, e.Class, e.Phase, e.Number, e.RequestID, e.Detail)
	}
}
