package router

import (
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
)

// This file finds out whether a stream that a caller takes up can have begun at one release only,
// where no loader can tell.
//
// What this router sees of the registry may be old: while it was cut off from the store or stood still,
// servers of another release may have joined, and streams may have begun there through other routers.
// Therefore the only release that it knows counts only after a read of the registry that began after
// the request had arrived, so after the stream had begun, and only if all changes were read since.

// registryReadLimit is how long a request waits for a read of the registry: a read that is under way may
// wait for changes, and the next one may be due only after a pause.
const registryReadLimit = time.Second

// confirmOnlyRelease binds a request to the only release of its service, once the registry was read
// since the request arrived. It returns false if the request does not proceed: it was refused, or waits
// for that read.
func (r *Router) confirmOnlyRelease(req *request) bool {
	_, only := r.onlyRelease(req.service)
	switch {
	case !only || r.registryAsOf >= req.arrived:
		return r.assumeConfirmedRelease(req)
	case r.ownReadsFailSince != 0:
		r.refuseUnknownOrigin(req, originUnanswered)
		return false
	}
	req.origin.awaitsRegistry = true
	r.awaitRegistry = append(r.awaitRegistry, req.key)
	r.requestStoreRead()
	return false
}

// assumeConfirmedRelease is assumeOnlyRelease after a read of the registry. It refuses the request if
// the registry may lack entries, because the store was away, or if servers of another release may have
// come and gone unseen while the stream lasted.
func (r *Router) assumeConfirmedRelease(req *request) bool {
	req.origin.awaitsRegistry = false
	switch {
	case r.mayRelist() || r.registryGapAt != 0 && r.now.Sub(r.registryGapAt) < r.streamLives[req.service]:
		r.refuseUnknownOrigin(req, originUnanswered)
		return false
	case !req.origin.named:
		return r.assumeOnlyRelease(req, originUnknown)
	default:
		return r.assumeOnlyRelease(req, originUnanswered)
	}
}

// registryConfirmed continues with the requests that arrived before a read of the registry began.
func (r *Router) registryConfirmed(asOf core.Time) {
	r.registryAsOf = max(r.registryAsOf, asOf)
	waiting := r.awaitRegistry
	r.awaitRegistry = nil
	for _, key := range waiting {
		req := r.requests[key]
		switch {
		case req == nil || !req.origin.awaitsRegistry:
		case r.registryAsOf < req.arrived:
			r.awaitRegistry = append(r.awaitRegistry, key)
		case r.assumeConfirmedRelease(req):
			r.dispatch(req)
		}
	}
}

// checkRegistryWait ends the wait of a request for a read of the registry that fails or takes too long,
// and requests another read otherwise.
func (r *Router) checkRegistryWait(req *request) {
	if r.ownReadsFailSince != 0 || r.now.Sub(req.arrived) >= registryReadLimit {
		req.origin.awaitsRegistry = false
		r.refuseUnknownOrigin(req, originUnanswered)
		return
	}
	r.requestStoreRead()
}
