package router

import (
	"cmp"
	"maps"
	"slices"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/framing"
)

// This file counts how the answers of backend servers ended, which tells an answer that broke
// off from a complete one.

// AnswerEnd is how the answer of an attempt ended.
type AnswerEnd struct {
	// Framing is how the answer marks its end, End how its end came.
	Framing framing.Kind
	End     framing.End
	// Events is the number of complete events of a stream, Leftover the number of bytes after
	// the last one.
	Events, Leftover int
	// Unresumable is set if a stream can't be resumed exactly after the events that the caller
	// has, as the last ones have no id.
	Unresumable bool
}

func (e AnswerEnd) logAttrs() []any {
	return []any{"framing", e.Framing.String(), "end", e.End.String(), "events", e.Events, "leftover", e.Leftover}
}

// answerEndKey groups answers by how they ended.
type answerEndKey struct {
	service  string
	framing  framing.Kind
	end      framing.End
	leftover string
	outcome  string
}

// Values of the label leftover: whether bytes followed the last complete event of a stream.
const (
	noLeftover   = "none"
	partialEvent = "partial event"
)

// Values of the label outcome: what the caller was given.
const (
	givenWhole = "whole"
	brokenOff  = "broken off"
)

// AnswerEndCount is the dump of the number of answers of a service that ended in one way.
type AnswerEndCount struct {
	Service, Framing, End string
	// Leftover is whether bytes followed the last complete event of a stream, Outcome what
	// the caller was given.
	Leftover, Outcome string
	Count             int
}

// countAnswerEnd counts an answer by how it ended and by what the caller was given.
func (r *Router) countAnswerEnd(service string, e AnswerEnd, outcome string) {
	leftover := noLeftover
	if e.Leftover > 0 {
		leftover = partialEvent
	}
	r.answerEnds[answerEndKey{service: service, framing: e.Framing, end: e.End, leftover: leftover, outcome: outcome}]++
	r.emit(Count{core.Count{Name: metricAnswerEnds, Labels: []string{service, e.Framing.String(), e.End.String(), leftover, outcome}, Add: 1}})
}

func (r *Router) dumpAnswerEnds() []AnswerEndCount {
	var counts []AnswerEndCount
	for _, key := range slices.SortedFunc(maps.Keys(r.answerEnds), compareAnswerEnds) {
		counts = append(counts, AnswerEndCount{
			Service: key.service, Framing: key.framing.String(), End: key.end.String(),
			Leftover: key.leftover, Outcome: key.outcome, Count: r.answerEnds[key],
		})
	}
	return counts
}

func compareAnswerEnds(a, b answerEndKey) int {
	return cmp.Or(cmp.Compare(a.service, b.service), cmp.Compare(a.framing, b.framing), cmp.Compare(a.end, b.end),
		cmp.Compare(a.leftover, b.leftover), cmp.Compare(a.outcome, b.outcome))
}
