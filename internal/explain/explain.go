package explain

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

const (
	// before and after are how far around a request's own lines beliefs count.
	// A load from the weight store, the longest cause, takes some ten seconds.
	before = 10 * time.Second
	after  = time.Second
)

// subjects are the fields that name what a decision was about. A line on one of
// them belongs to the story of a request that named it.
var subjects = []string{"instance", "at", "model"}

// general are the beginnings of lines that concern every request of a process.
var general = []string{
	"configuration in force", "platform store", "store read failed", "store history",
	"router starting", "loader starting", "stopping", "ready", "settings",
}

// Story is what the logs tell of one request.
type Explanation struct {
	ID string
	// Own are the lines on the request, Around those on what it met: backend
	// servers, its model, the process that took it. Both by time.
	RequestLines, RelatedLines []Line
}

// Of returns the story of a request.
func (l *Log) Explain(id string) Explanation {
	story := Explanation{ID: id}
	for _, line := range l.Lines {
		if line.text("request") == id {
			story.RequestLines = append(story.RequestLines, line)
		}
	}
	sortByTime(story.RequestLines)
	if len(story.RequestLines) == 0 {
		return story
	}
	from := story.RequestLines[0].Time.Add(-story.RequestLines[0].duration("took") - before)
	to := story.RequestLines[len(story.RequestLines)-1].Time.Add(after)
	met := story.met()
	for _, line := range l.Lines {
		if line.Time.Before(from) || line.Time.After(to) || line.text("request") != "" {
			continue
		}
		if line.concerns(met) || line.isGeneral(story.RequestLines[0].Host) {
			story.RelatedLines = append(story.RelatedLines, line)
		}
	}
	sortByTime(story.RelatedLines)
	return story
}

func sortByTime(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
}

// met is the set of names that the request's lines mention.
func (s *Explanation) met() map[string]bool {
	met := map[string]bool{}
	for _, line := range s.RequestLines {
		for _, name := range subjects {
			if value := line.text(name); value != "" {
				met[value] = true
			}
		}
	}
	return met
}

func (l *Line) concerns(met map[string]bool) bool {
	return slices.ContainsFunc(subjects, func(name string) bool { return met[l.text(name)] })
}

// isGeneral tells that the line is about the process at host as a whole.
func (l *Line) isGeneral(host string) bool {
	return l.Host == host && slices.ContainsFunc(general, func(start string) bool { return strings.HasPrefix(l.Message, start) })
}

// Cause says in words how the request ended and why.
func (s *Explanation) Cause() string {
	if len(s.RequestLines) == 0 {
		return "no line names this request: its log was dropped (see log lines dropped), its process was killed before it was written, or it never arrived"
	}
	last := s.RequestLines[len(s.RequestLines)-1]
	switch last.Message {
	case "request served":
		return s.served(&last)
	case "caller left":
		return fmt.Sprintf("the caller left after %s%s", last.text("took"), s.waits())
	case "request ended without a server's answer":
		return fmt.Sprintf("ended with %s after %s: %s%s%s", last.text("name"), last.text("took"), last.text("reason"), s.failures(), s.waits())
	default:
		return fmt.Sprintf("no end was logged; the last line is %q%s", last.Message, s.failures())
	}
}

// served tells where the time until the first event went.
func (s *Explanation) served(last *Line) string {
	first, waited := last.duration("first"), last.duration("waited")
	text := fmt.Sprintf("served by %s, first event after %s", last.text("instance"), first)
	if waited > 0 {
		text += fmt.Sprintf(", of which it waited %s for its model", waited)
	}
	return text + s.failures() + s.waits()
}

// failures names the attempts that came to nothing.
func (s *Explanation) failures() string {
	var all []string
	for _, line := range s.RequestLines {
		switch line.Message {
		case "attempt failed":
			all = append(all, fmt.Sprintf("%s: %s (%s)", line.text("instance"), line.text("failure"), line.text("cause")))
		case "backend server refused the request":
			all = append(all, fmt.Sprintf("%s refused it with status %v", line.text("instance"), line.Fields["status"]))
		case "no answer in time; trying another server":
			all = append(all, fmt.Sprintf("%s gave no answer within %s", line.text("instance"), line.text("waited")))
		}
	}
	if len(all) == 0 {
		return ""
	}
	return "; before that " + strings.Join(all, ", ")
}

// waits tells what the engine at which it waited did meanwhile.
func (s *Explanation) waits() string {
	loads := 0
	model := ""
	for _, line := range s.RequestLines {
		if line.Message == "request waits for its model" {
			model = line.text("model")
		}
	}
	if model == "" {
		return ""
	}
	for _, line := range s.RelatedLines {
		if line.text("model") == model && line.Message == "order carried out" {
			loads++
		}
	}
	if loads == 0 {
		return fmt.Sprintf("; no engine finished loading %s meanwhile", model)
	}
	return fmt.Sprintf("; %d orders for %s ended meanwhile", loads, model)
}
