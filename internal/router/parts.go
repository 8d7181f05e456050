package router

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/fleet"
	"nutmeglane.example/nutmeglane/internal/poison"
)

// This file relates the parts of prompts to servers that ended: which parts a server may have
// crashed on, and which are harmless since a server wrote an answer on them.
//
// A server that crashes on a part does so as it begins to write an answer on it. Therefore a
// request whose answer began well before the end is no evidence against its parts, and shows
// that they are harmless. A request that waited or was being read shows neither: the router
// can't tell it from one that the server was about to answer, so it counts against its parts.

// liveAfter is how long a server must continue to run after it began an answer, for the answer
// to show that the parts of its prompt are harmless. A server that crashes on a part does so
// before its first event or some 10 ms later.
const liveAfter = 250 * time.Millisecond

// promptPart is a part of a prompt that other requests may hold as well.
type promptPart struct {
	fingerprint core.Fingerprint
	name        string
	// depth is its position in the prompt, from 0.
	depth uint16
}

// partFingerprint identifies a part of prompts to a service, whatever the model, adapter, route
// and client account of the requests that hold it.
func partFingerprint(service, id string) core.Fingerprint {
	h := xxhash.New()
	_, _ = h.WriteString(service) // never fails
	_, _ = h.Write([]byte{0})
	_, _ = h.WriteString(id)
	return core.Fingerprint(h.Sum64())
}

// sharedParts returns the parts of the request's prompt that other requests may hold: all but
// the last one, which belongs to the request itself.
func (req *request) sharedParts() []promptPart {
	if req.parts != nil || req.prompt == nil || len(req.prompt.Parts) < 2 {
		return req.parts
	}
	shared := req.prompt.Parts[:len(req.prompt.Parts)-1]
	req.parts = make([]promptPart, 0, len(shared))
	for i, part := range shared {
		if part.ID != "" {
			req.parts = append(req.parts, promptPart{partFingerprint(req.service, part.ID), part.ID, uint16(min(i, math.MaxUint16))})
		}
	}
	return req.parts
}

// suspectParts returns the parts on which the request's server may have crashed, none if its
// answer shows that they are harmless. Of many parts it returns those that are suspects already,
// then those on which no server is known to have written, and then the first ones.
func (r *Router) suspectParts(req *request) []promptPart {
	if req.attempt.answered && r.now.Sub(req.attempt.firstAt()) >= liveAfter {
		return nil
	}
	parts := req.sharedParts()
	if len(parts) <= poison.MaxParts {
		return parts
	}
	bySuspicion := slices.SortedStableFunc(slices.Values(parts), func(a, b promptPart) int {
		return cmp.Or(cmp.Compare(r.ledger.Ends(b.fingerprint), r.ledger.Ends(a.fingerprint)), r.compareWritten(a, b))
	})
	return bySuspicion[:poison.MaxParts]
}

// compareWritten orders parts on which no server is known to have written before others.
func (r *Router) compareWritten(a, b promptPart) int {
	switch written := r.ledger.Written(a.fingerprint); {
	case written == r.ledger.Written(b.fingerprint):
		return 0
	case written:
		return 1
	default:
		return -1
	}
}

// firstAt returns when the answer began. It is valid once the attempt is answered.
func (a *attempt) firstAt() core.Time { return a.at.Add(a.first) }

// checkLived notes that a server continued to run after it began to answer.
func (r *Router) checkLived(req *request) {
	if req.backend == nil || !req.attempt.answered || r.now.Sub(req.attempt.firstAt()) < liveAfter {
		return
	}
	r.lived(req)
}

// lived notes that the parts of a request's prompt are harmless, once for each attempt.
func (r *Router) lived(req *request) {
	a := req.attempt
	if a.lived || !a.answered {
		return
	}
	a.lived = true
	r.ledger.Answered(req.service, a.firstAt())
	var names []string
	for _, part := range req.sharedParts() {
		if r.partServed(part, a) {
			names = append(names, part.name)
		}
	}
	if len(names) > 0 {
		r.log(StateChange, "parts of a prompt are harmless: a server wrote on them", req.attrs(
			"instance", a.incarnation.Instance, "began_ago", r.now.Sub(a.firstAt()).String(), "parts", names)...)
	}
}

// partServed takes the ends before an answer off a part. It reports whether there were any.
func (r *Router) partServed(part promptPart, a *attempt) bool {
	wasPoison := r.ledger.Poison(part.fingerprint)
	ends := r.ledger.Served(part.fingerprint, poison.Writing{At: a.firstAt(), Server: a.incarnation.Instance})
	if ends == 0 {
		return false
	}
	r.noteHarmless(part.fingerprint, ends)
	if wasPoison {
		r.harmless[part.fingerprint].ends = tellEnds
		r.emit(Publish{Name: part.fingerprint.String(), News: core.PoisonNews{Harmless: []core.Harmless{r.harmlessNews(part.fingerprint)}}})
		delete(r.published, part.fingerprint)
	}
	return true
}

// partNames are the names of the shared parts of a prompt for logs.
func partNames(prompt *fleet.Prompt) []string {
	if prompt == nil || len(prompt.Parts) < 2 {
		return nil
	}
	var names []string
	for _, part := range prompt.Parts[:min(len(prompt.Parts)-1, poison.MaxParts)] {
		names = append(names, part.ID)
	}
	return names
}
