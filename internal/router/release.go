package router

import (
	"slices"
	"strings"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/fleet"
)

// This file keeps a stream at the release of its server's software that began it.
//
// Events of two releases do not fit together, and servers do not check which release began
// the stream that they resume. Joined, such events reach the caller as one answer, and nothing
// shows that it is wrong. Therefore a stream is bound to the release whose first event is
// about to be forwarded. Without a server of that release, or if the release is not known, the
// answer is broken off.

// bind binds a request to the release that it was sent to, before its first event is
// forwarded.
func (r *Router) bind(req *request) {
	if req.bound || req.route.Kind != fleet.Stream {
		return
	}
	req.bound, req.release = true, attemptRelease(req.backend, req.attempt)
}

// attemptRelease returns the release of the server at which an attempt is. If the server has
// restarted since the request was sent, it is not known which incarnation runs it.
func attemptRelease(b *backend, a *attempt) fleet.Release {
	switch {
	case a.incarnation.Compare(b.Incarnation) != 0:
		return fleet.Release{}
	case !a.release.Known:
		return b.Release // told after the request was sent
	default:
		return a.release
	}
}

// leaveOtherRelease moves a request away from a server that turns out to have another release
// than the one that its stream is bound to, before an event of it is forwarded. It reports
// whether it did.
func (r *Router) leaveOtherRelease(req *request) bool {
	if !req.bound || req.release.Same(attemptRelease(req.backend, req.attempt)) {
		return false
	}
	r.emit(Abandon{Key: req.key, Attempt: req.number})
	r.log(SingleRequest, "server restarted with another release; its answer is left", req.attrs("instance", req.backend.Instance,
		"release", req.release.String(), "now", req.backend.Release.String())...)
	r.release(req, leftOtherRelease)
	req.arrivals++
	req.mayHaveRun = true
	r.retry(req, "its server restarted with another release")
	return true
}

// fits reports whether a request's stream may begin, or continue, at a server.
func (req *request) fits(b *backend) bool { return !req.bound || req.release.Same(b.Release) }

// boundRelease returns the release that a request is bound to, the unknown one if it is not.
func (req *request) boundRelease() fleet.Release {
	if !req.bound {
		return fleet.Release{}
	}
	return req.release
}

// ofRelease says in a reason for logs which servers a request may be sent to.
func (req *request) ofRelease() string {
	if req.bound {
		return "of release " + req.release.String() + " "
	}
	return ""
}

// boundTried names the servers that a bound request was sent to.
func (req *request) boundTried() string {
	if !req.bound {
		return ""
	}
	return strings.Join(slices.Sorted(slices.Values(req.tried)), " ")
}

// Outcomes of the attempt to resume a stream at another server.
const (
	resumedAtRelease  = "sent to its release"
	noServerOfRelease = "no server of its release"
)

// noteResumption counts and logs where a stream continues that has broken off.
func (r *Router) noteResumption(req *request, outcome string) {
	r.emit(Count{core.Count{Name: metricResumptions, Labels: []string{req.service, outcome}, Add: 1}})
	r.log(SingleRequest, "stream resumes", req.attrs("release", req.release.String(), "outcome", outcome,
		"releases", r.releasesOf(req.service))...)
}

// releasesOf counts the servers of a service that take requests, by release.
func (r *Router) releasesOf(service string) map[string]int {
	counts := map[string]int{}
	for _, b := range r.serversOf(service) {
		if r.accepts(b) {
			counts[b.Release.String()]++
		}
	}
	return counts
}
