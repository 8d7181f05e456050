package router

import (
	"maps"
	"slices"

	"nutmeglane.example/nutmeglane/internal/core"
)

// This file reports parts of prompts that are harmless to the other routers.
//
// A part that few requests hold may be lost at three servers by chance, and be served at one
// router only: the others would block it. A part that most requests hold is served at all routers
// within moments, and reports of all of them would be many. Therefore each router waits a random
// time, and reports only what it has not heard of by then.

const (
	// tellEnds is the number of ends of which a router takes a part to be cleared before it
	// reports that: below what blocks the part at other routers.
	tellEnds = 2
	// firstTellers is how many routers report a part on average in the first tick, if all
	// wait to do so. With each tick it doubles.
	firstTellers = 4
)

// harmlessTell is what this router may have to report of a harmless part.
type harmlessTell struct {
	// ends is the number of ends that were taken off it since the last report, here or heard.
	ends int
	// ticks is for how many ticks the report has been due.
	ticks int
}

// noteHarmless records that ends do not count against a part because of an answer here.
func (r *Router) noteHarmless(f core.Fingerprint, ends int) {
	tell := r.harmless[f]
	if tell == nil {
		tell = &harmlessTell{}
		r.harmless[f] = tell
	}
	tell.ends += ends
}

// noteSpared records the ends that were reported after an answer here had shown that they do not
// count.
func (r *Router) noteSpared() {
	for f, ends := range r.ledger.TakeSpared() {
		r.noteHarmless(f, ends)
	}
}

// heardHarmless notes that another router has reported parts.
func (r *Router) heardHarmless(all []core.Harmless) {
	for _, h := range all {
		delete(r.harmless, h.Suspect)
	}
}

// tellHarmless reports parts that are due, each with a chance that grows with each tick.
func (r *Router) tellHarmless() {
	r.noteSpared()
	var due []core.Harmless
	for _, f := range slices.Sorted(maps.Keys(r.harmless)) {
		tell := r.harmless[f]
		if tell.ends < tellEnds {
			continue
		}
		tell.ticks++
		if r.drawTeller(tell.ticks) {
			due = append(due, r.harmlessNews(f))
			delete(r.harmless, f)
		}
	}
	if len(due) == 0 {
		return
	}
	r.emit(Count{core.Count{Name: metricHarmless, Add: float64(len(due))}})
	r.relayPoison("harmless-"+string(r.opts.Host), core.PoisonNews{Harmless: due})
}

// drawTeller draws whether this router reports what all routers may have to report, in the given tick
// from 1 since the report has been due.
func (r *Router) drawTeller(tick int) bool {
	chance := float64(int(firstTellers)<<min(tick-1, 16)) / float64(r.routers())
	return r.rand.Float64() < chance
}

func (r *Router) harmlessNews(f core.Fingerprint) core.Harmless {
	w := r.ledger.LastWriting(f)
	return core.Harmless{Suspect: f, Ago: r.now.Sub(w.At), Server: w.Server}
}
