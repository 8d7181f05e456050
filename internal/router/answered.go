package router

import (
	"maps"
	"slices"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/poison"
)

// This file reports to the other routers that a service has answered since servers ended under a part
// of prompts.
//
// A part is blocked only once a server has answered a request without it. A router that gets requests
// with the part and no others never sees that, and would go on ending one server after the other,
// although the other routers have found the part. Each of these waits a random time, and reports only
// if it has not heard such a report by then.

// noteFoundPart records that a part of prompts was found to be poison here.
func (r *Router) noteFoundPart(f core.Fingerprint) {
	if r.ledger.Kind(f) == poison.Part {
		r.foundParts[f] = 0
	}
}

// heardAnswered notes that another router has reported answers of services.
func (r *Router) heardAnswered(answers []core.ServiceAnswered) {
	reported := func(a core.ServiceAnswered) bool {
		return slices.ContainsFunc(answers, func(heard core.ServiceAnswered) bool { return heard.Service == a.Service })
	}
	for f := range r.foundParts {
		if slices.ContainsFunc(r.ledger.LastAnswers(r.now, f), reported) {
			delete(r.foundParts, f)
		}
	}
}

// tellAnswered reports the last answers of the services whose servers ended under parts that were
// found, with a chance that grows with each tick.
func (r *Router) tellAnswered() {
	for _, f := range slices.Sorted(maps.Keys(r.foundParts)) {
		r.foundParts[f]++
		if !r.drawTeller(r.foundParts[f]) {
			continue
		}
		delete(r.foundParts, f)
		r.relayPoison("answered-"+f.String(), core.PoisonNews{Answered: r.ledger.LastAnswers(r.now, f)})
	}
}
