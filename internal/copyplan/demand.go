package copyplan

import (
	"math"
	"slices"
	"time"
)

// demandLasts is how long demand stays at a model: about the time after which it moves to
// others in the deployments observed. Callers are late for as long without a copy.
const demandLasts = 10 * time.Second

// want is what a model still lacks while a round plans its copies.
type want struct {
	m *modelState
	// lacks is the demand beyond what the copies may take, in engines, as far as this router
	// plans for it. It is ignored up to ignored.
	lacks, ignored float64
	// copies is the number of copies, those planned in this round included. backlog is the
	// number that the waiting requests need, as far as this router plans them.
	copies, backlog int
	gain            float64
	// urgency is the gain per second of the nearest load.
	urgency float64
	reason  Reason
	// background is set if no present request needs the copy.
	background bool
}

// planDemanded plans the copies that the present demand needs, all that a model lacks in the
// same round.
func (r *round) planDemanded() {
	r.countPending()
	var wants []*want
	for i := range r.models {
		if w := r.newWant(&r.models[i]); w != nil {
			wants = append(wants, w)
		}
	}
	for len(wants) > 0 {
		best := 0
		for i, w := range wants {
			if w.urgency > wants[best].urgency {
				best = i
			}
		}
		w := wants[best]
		if !r.placeCopy(w) || !w.next(r) {
			wants = append(wants[:best], wants[best+1:]...)
		}
	}
}

// newWant returns what a model lacks, nil if nothing.
func (r *round) newWant(m *modelState) *want {
	// Several routers may coordinate different engines for some 100 ms after a restart. Each
	// plans its part of what is missing; otherwise every one of them would plan all of it.
	w := &want{m: m, copies: len(m.copies), lacks: r.own * m.lacks(), ignored: r.own*minDifference + tolerance}
	missing := max(0, m.copiesForBacklog()-w.copies)
	w.backlog = w.copies + int(math.Ceil(r.own*float64(missing)-tolerance))
	if !w.next(r) {
		return nil
	}
	return w
}

// next determines the reason and the gain of the next copy. It returns false if none is
// missing.
func (w *want) next(r *round) bool {
	m := w.m
	absent := m.places == 0 && m.storeWaits == 0 && w.copies == 0
	switch {
	case absent && (m.Rate > 0 || m.Waiting > 0):
		w.reason, w.gain = Absent, m.callers(m.Rate)
		w.background = m.Waiting == 0 && (m.Uncertain || m.Rate < backgroundEvictRate)
		if w.background && r.StartingUp {
			return false
		}
	case w.lacks > w.ignored:
		w.reason, w.gain = Shortage, m.shortageGain(w.lacks)
	case w.copies < w.backlog:
		w.reason, w.gain = Backlog, m.lateCallers(w.copies)
	case w.copies == 1 && m.copiesForLoss() > 1:
		w.reason, w.gain = SecondPlace, m.gainAfterLoss(m.nearestLoad)
	default:
		return false
	}
	w.urgency = w.gain / max(m.nearestLoad.Seconds(), 0.001)
	return true
}

// callers is the number of callers that are refused or late without any copy, at a rate.
func (m *modelState) callers(rate float64) float64 {
	return rate*demandLasts.Seconds() + float64(m.Waiting)
}

// shortageGain is the number of callers that one more copy serves while it takes what the others
// lack, in engines.
func (m *modelState) shortageGain(lacks float64) float64 {
	return min(lacks, targetLoad) / m.work * demandLasts.Seconds()
}

// lateCallers is how many of the requests that wait one more copy would serve in time.
func (m *modelState) lateCallers(copies int) float64 {
	late := float64(m.Waiting+m.Unread) - float64(copies)*m.readInTime()
	return max(0, min(late, m.readInTime()))
}

// placeCopy plans the next copy of a model at the best engine, and returns false if there is
// none.
func (r *round) placeCopy(w *want) bool {
	m := w.m
	terms := placement{takeover: m.takeover(w.copies + 1), background: w.background}
	if w.reason == SecondPlace {
		terms.takeover = m.takeoverAfterLoss()
	}
	terms.withStore = m.storeWaits+m.storeLoads == 0 && w.reason != SecondPlace && r.storeHasTurn(w.gain) && !r.nearSoon(m)
	c := r.bestEngine(m, terms)
	if c == nil {
		return false
	}
	r.order(m, c, Load{Gain: w.gain, Reason: w.reason, Background: w.background})
	w.background = false
	w.copies++
	w.lacks -= m.partAtNew(c.engine)
	return true
}

// lacks is the demand beyond what the copies may take, in engines. A rate that may be chance
// makes no demand.
func (m *modelState) lacks() float64 {
	if m.Uncertain {
		return 0
	}
	lacks := m.demand()
	for _, part := range m.parts {
		lacks -= part
	}
	return lacks
}

// nearSoon reports whether an engine with a near copy of the model can load it after the
// load that is planned there, which is sooner than from the store.
func (r *round) nearSoon(m *modelState) bool {
	return slices.ContainsFunc(m.near, func(i int) bool {
		e := &r.engines[i]
		return e.taken && !e.Foreign && !e.listed(m.Name) && e.FreeIn < m.StoreLoad
	})
}

// takeover is the number of requests per second that one of the given number of copies
// serves. While rates are unknown, the requests that wait show it.
func (m *modelState) takeover(copies int) float64 {
	arriving := float64(m.Waiting+m.Unread) / max(m.Objective, defaultObjective).Seconds()
	return max(m.predicted, arriving) / float64(copies)
}

// partAtNew is the fraction of an engine that a copy may take that is loaded there.
func (m *modelState) partAtNew(e *engineState) float64 {
	part := m.partAt(e, 0)
	return min(part, max(minPart, targetLoad-e.Load))
}
