package copyplan

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// targetLoad is the fraction of an engine's time that its requests may take. Above it,
	// waits grow faster than linearly.
	targetLoad = 0.6
	// minPart is the fraction that a copy may take at least, beside whatever the engine's
	// other models take.
	minPart = 0.2
	// minDifference is the fraction of an engine by which the demand must exceed what the
	// copies may take for a further one, or fall short of it for one to be spare. Rates vary
	// by chance, and each change costs a load.
	minDifference = 0.2
	// defaultObjective is used for a model whose objective is unknown.
	defaultObjective = time.Second
	// busyCopies is the number of copies of a busy model.
	busyCopies = 2
)

// partsOf returns the fractions of an engine that the copies of a model may take, largest
// first.
func (r *round) partsOf(m *modelState) []float64 {
	parts := make([]float64, 0, len(m.copies))
	for _, i := range m.copies {
		parts = append(parts, m.partAt(&r.engines[i], m.rateAtCopy()))
	}
	slices.SortFunc(parts, func(a, b float64) int { return cmp.Compare(b, a) })
	return parts
}

// partAt returns the fraction of an engine that a copy of the model may take there. own is
// the part of the engine's requests that are the model's.
func (m *modelState) partAt(e *engineState, own float64) float64 {
	others := e.busy - own*m.work
	part := min(targetLoad, max(minPart, targetLoad-others))
	if e.Budget > 0 {
		part = min(part, max(0, e.Budget-(e.called-own))*m.work)
	}
	return part
}

// demand is the load of the predicted rate, in engines.
func (m *modelState) demand() float64 { return m.predicted * m.work }

// requiredCopies returns how many copies the model needs. With a reserve, in engines, the
// copies must be able to take that much more than the demand; without one, they may lack
// minDifference.
func (m *modelState) requiredCopies(reserve float64) int {
	return max(1, m.copiesForBacklog(), m.copiesForRate(reserve), m.copiesForLoss())
}

func (m *modelState) copiesForRate(reserve float64) int {
	if m.Uncertain {
		return 1
	}
	missing := m.demand() + reserve
	if reserve == 0 {
		missing -= minDifference
	}
	for i, part := range m.parts {
		if missing <= tolerance {
			return i
		}
		missing -= part
	}
	if missing <= tolerance {
		return len(m.parts)
	}
	return len(m.parts) + int(math.Ceil((missing-tolerance)/targetLoad))
}

// tolerance absorbs rounding errors of sums of parts.
const tolerance = 1e-9

// copiesForBacklog returns how many copies read the requests that wait or are unread within
// half of the objective.
//
// When a whole fleet returns, rates are unknown and only the waiting requests show what is
// called.
func (m *modelState) copiesForBacklog() int {
	return int(math.Ceil(float64(m.Waiting+m.Unread)/m.readInTime() - minDifference))
}

// readInTime is how many requests one copy reads within half of the objective, at least one.
func (m *modelState) readInTime() float64 {
	objective := m.Objective
	if objective <= 0 {
		objective = defaultObjective
	}
	return max(1, objective.Seconds()/2/m.work)
}

func (m *modelState) copiesForLoss() int {
	if m.Busy {
		return busyCopies
	}
	return 1
}
