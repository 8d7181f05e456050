package explain

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

const (
	// windowBefore and windowAfter limit how far from a request's own lines related
	// lines are searched. A load from the weight store, the longest cause, takes
	// some ten seconds.
	windowBefore = 10 * time.Second
	windowAfter  = time.Second
)

// subjectFields are the fields that name the subject of a line: a backend server
// or a model. A line is related to a request if the request's lines name one of
// its subjects.
var subjectFields = []string{"instance", "at", "model"}

// processMessages are the prefixes of messages that concern every request of a process.
var processMessages = []string{
	"configuration in force", "platform store", "store read failed", "store history",
	"router starting", "loader starting", "stopping", "ready", "settings",
}

// Explanation holds the log lines that explain what happened to one request.
type Explanation struct {
	ID string
	// RequestLines are the lines about the request, RelatedLines those about its
	// backend servers, its model and the process that received it. Both are sorted
	// by time.
	RequestLines, RelatedLines []Line
}

// Explain collects the lines that explain the request with the given id.
func (l *Log) Explain(id string) Explanation {
	explanation := Explanation{ID: id}
	for _, line := range l.Lines {
		if line.stringField("request") == id {
			explanation.RequestLines = append(explanation.RequestLines, line)
		}
	}
	sortByTime(explanation.RequestLines)
	if len(explanation.RequestLines) == 0 {
		return explanation
	}
	from := explanation.RequestLines[0].Time.Add(-explanation.RequestLines[0].durationField("took") - windowBefore)
	to := explanation.RequestLines[len(explanation.RequestLines)-1].Time.Add(windowAfter)
	met := explanation.subjects()
	for _, line := range l.Lines {
		if line.Time.Before(from) || line.Time.After(to) || line.stringField("request") != "" {
			continue
		}
		if line.mentionsAny(met) || line.isProcessWide(explanation.RequestLines[0].Host) {
			explanation.RelatedLines = append(explanation.RelatedLines, line)
		}
	}
	sortByTime(explanation.RelatedLines)
	return explanation
}

func sortByTime(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
}

// subjects returns the values of the subject fields in the request's lines.
func (s *Explanation) subjects() map[string]bool {
	subjects := map[string]bool{}
	for _, line := range s.RequestLines {
		for _, name := range subjectFields {
			if value := line.stringField(name); value != "" {
				subjects[value] = true
			}
		}
	}
	return subjects
}

func (l *Line) mentionsAny(subjects map[string]bool) bool {
	return slices.ContainsFunc(subjectFields, func(name string) bool { return subjects[l.stringField(name)] })
}

// isProcessWide reports whether the line is about the process at host as a whole.
func (l *Line) isProcessWide(host string) bool {
	return l.Host == host && slices.ContainsFunc(processMessages, func(start string) bool { return strings.HasPrefix(l.Message, start) })
}

// Cause describes in one sentence how the request ended and why.
func (s *Explanation) Cause() string {
	if len(s.RequestLines) == 0 {
		return "no line names this request: its log was dropped (see log lines dropped), its process was killed before it was written, or it never arrived"
	}
	last := s.RequestLines[len(s.RequestLines)-1]
	switch last.Message {
	case "request served":
		return s.servedCause(&last)
	case "caller left":
		return fmt.Sprintf("the caller left after %s%s%s", last.stringField("took"), last.given(), s.permitRefusals("it was refused a permit")+s.loadsMeanwhile())
	case "request ended without a server's answer":
		return fmt.Sprintf("ended with %s after %s: %s%s%s%s", last.stringField("name"), last.stringField("took"), last.stringField("reason"), last.given(), s.permitRefusals("it was refused a permit")+s.failedAttempts(), s.loadsMeanwhile())
	default:
		return fmt.Sprintf("no end was logged; the last line is %q%s", last.Message, s.failedAttempts())
	}
}

// given describes what the caller had been given, and the process's state, when its request ended
// without a whole answer; "" if it had not been sent to a server.
func (l *Line) given() string {
	stage := l.stringField("stage")
	if stage == "" {
		return ""
	}
	text := fmt.Sprintf(" (%s, events given: %v", stage, l.Fields["events"])
	if silent := l.stringField("silent_for"); silent != "" {
		text += fmt.Sprintf(", the last byte of a server %s before", silent)
	}
	if since := l.stringField("since_stop"); since != "" {
		text += fmt.Sprintf(", the process stopping for %s", since)
	}
	return text + ")"
}

// servedCause describes where the time until the first event was spent.
func (s *Explanation) servedCause(last *Line) string {
	first, waited := last.durationField("first"), last.durationField("waited")
	text := fmt.Sprintf("served by %s, first event after %s", last.stringField("instance"), first)
	if waited > 0 {
		text += fmt.Sprintf(", of which it waited %s for its model", waited)
	}
	return text + s.permitRefusals("it was delayed") + s.failedAttempts() + s.loadsMeanwhile()
}

// failedAttempts describes the failed, refused and timed-out attempts.
func (s *Explanation) failedAttempts() string {
	var all []string
	for _, line := range s.RequestLines {
		switch line.Message {
		case "attempt failed":
			all = append(all, fmt.Sprintf("%s: %s (%s)", line.stringField("instance"), line.stringField("failure"), line.stringField("cause")))
		case "backend server refused the request":
			all = append(all, fmt.Sprintf("%s refused it with status %v", line.stringField("instance"), line.Fields["status"]))
		case "server was silent; the request goes on at another one":
			all = append(all, fmt.Sprintf("%s was silent, and the request went on at %s", line.stringField("instance"), line.stringField("other")))
		}
	}
	if len(all) == 0 {
		return ""
	}
	return "; before that " + strings.Join(all, ", ")
}

// loadsMeanwhile describes the orders that engines completed for the request's
// model while the request waited for it; "" if it did not wait.
func (s *Explanation) loadsMeanwhile() string {
	loads := 0
	model := ""
	for _, line := range s.RequestLines {
		if line.Message == "request waits for its model" {
			model = line.stringField("model")
		}
	}
	if model == "" {
		return ""
	}
	for _, line := range s.RelatedLines {
		if line.stringField("model") == model && line.Message == "order carried out" {
			loads++
		}
	}
	if loads == 0 {
		return fmt.Sprintf("; no engine finished loading %s meanwhile", model)
	}
	return fmt.Sprintf("; %d orders for %s ended meanwhile", loads, model)
}
