package explain

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"
)

// clock is how times of lines are printed.
const clock = "15:04:05.000"

// Write prints the story for people: the cause first, then the request's lines,
// then what was believed around them.
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
		fmt.Fprintf(b, "  %s  %s  %s", line.Time.Format(clock), line.Host, line.Message)
		for _, name := range slices.Sorted(maps.Keys(line.Fields)) {
			fmt.Fprintf(b, "  %s=%s", name, shorten(line.Fields[name]))
		}
		fmt.Fprintln(b)
	}
}

// shorten prints a value; durations to the ms.
func shorten(value any) string {
	text := fmt.Sprint(value)
	if d, err := time.ParseDuration(text); err == nil {
		return d.Round(time.Millisecond).String()
	}
	return text
}
