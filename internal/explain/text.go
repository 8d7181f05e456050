package explain

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"
)

// timeLayout is the layout in which times of lines are printed.
const timeLayout = "15:04:05.000"

// Write prints the explanation as text: the cause, then the request's lines, then
// the related lines.
func (s *Explanation) Write(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "%s: %s\n", s.ID, s.Cause())
	writeLines(&b, "\nthe request", s.RequestLines)
	writeLines(&b, "\naround it", s.RelatedLines)
	_, err := io.WriteString(w, b.String())
	return err
}

func writeLines(b *strings.Builder, title string, lines []Line) {
	if len(lines) == 0 {
		return
	}
	fmt.Fprintln(b, title)
	for _, line := range lines {
		fmt.Fprintf(b, "  %s  %s  %s", line.Time.Format(timeLayout), line.Host, line.Message)
		for _, name := range slices.Sorted(maps.Keys(line.Fields)) {
			fmt.Fprintf(b, "  %s=%s", name, formatValue(line.Fields[name]))
		}
		fmt.Fprintln(b)
	}
}

// formatValue formats a field value. Durations are rounded to 1 ms.
func formatValue(value any) string {
	text := fmt.Sprint(value)
	if d, err := time.ParseDuration(text); err == nil {
		return d.Round(time.Millisecond).String()
	}
	return text
}
