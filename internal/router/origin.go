package router

import (
	"slices"
	"strconv"
	"time"

	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/fleet"
	"nutmeglane.example/nutmeglane/internal/origin"
)

// This file finds out which release began a stream that a caller takes up with a new request,
// usually at another router: the one before may have been killed, frozen or cut off.
//
// While a service has several releases, each router tells the release of each stream that may
// be resumed to a few loaders, before the first event is forwarded. All routers choose the same
// loaders by rendezvous hashing of the request's id, and ask them when a caller takes a stream
// up. A stream whose release remains unknown is refused: joined to another release's events it
// would be wrong without anyone noticing.
//
// Loaders are asked even if this router knows one release only. Its view of the registry may be
// old: a router that was frozen would continue a stream of a release that it has not seen. If
// loaders answer that they were told nothing, no router knew of several releases when the stream
// began.
//
// A router that has started within the life of a stream doesn't know which releases were there
// before. All routers may have ended at once, after the last server of a release has left. Until it
// has run for that long, only those loaders count that are told of the stream, whether it has reached
// them yet or not.

const (
	// originKeepers is the number of loaders that are told the origin of a stream, and
	// originsAsked that of the loaders that are asked: routers may differ in which loaders
	// they reach.
	originKeepers = 2
	originsAsked  = 3
	// minOriginAnswers is how many loaders must answer that they were told nothing before that
	// counts: one of them may have been restarted.
	minOriginAnswers = 2
	// originTimeout is how long a request waits for the loaders' answers: many round trips.
	originTimeout = 150 * time.Millisecond
	// originRetryAfter is the Retry-After of a caller whose stream's release is unknown. By
	// then the news of it, if there are any, have reached the loaders.
	originRetryAfter = 100 * time.Millisecond
	// freshRegistry is the age up to which the registry counts as read just now.
	freshRegistry = time.Second
	// maxOrigins bounds the streams that a router remembers, some 120 bytes each. The oldest
	// are dropped first.
	maxOrigins = 1 << 16
	// maxOriginsPerMessage bounds the size of a message.
	maxOriginsPerMessage = 512
)

// Outcomes of the search for the release that began a stream, in metrics.
const (
	originOnlyRelease = "only release"
	originOwnRecord   = "own record"
	originTold        = "told by a loader"
	originUnknown     = "unknown"
	originUnanswered  = "unanswered"
	originAmbiguous   = "ambiguous"
	originMalformed   = "malformed"
)

// originSearch is the search for the release that began a request's stream.
type originSearch struct {
	// wanted is set if the request takes up a stream. stream is that stream, if named is set.
	wanted, named bool
	stream        origin.Stream
	// pending is the number of loaders that were asked at askedAt and have not answered,
	// answers the number of those that were told nothing.
	pending, answers int
	askedAt          core.Time
	// awaitsLoaders is set while the loaders to ask may still connect, awaitsRegistry until the
	// registry was read.
	awaitsLoaders, awaitsRegistry bool
}

// takesUp records the stream that a request takes up. It returns false if the request was
// refused because it can't be told which.
func (r *Router) takesUp(req *request, in fleet.Resumption) bool {
	if in.State == fleet.ResumptionNone || req.route.Kind != fleet.Stream {
		return true
	}
	problem := in.Problem
	if in.State == fleet.ResumptionValid && !req.route.Resumable {
		problem = "streams of this route can't be resumed"
	}
	if problem != "" {
		r.countOrigin(req, originMalformed)
		r.finish(req, code.BadResumption, 0, problem)
		return false
	}
	req.origin.wanted = true
	if in.Stream != "" {
		req.origin.named = true
		req.origin.stream = origin.NewStream(in.Stream, req.route.Name, req.service, req.accountName())
	}
	return true
}

// findOrigin binds a request that takes up a stream to the release that began it. It returns
// false if the request does not proceed: it was refused, or loaders were asked.
func (r *Router) findOrigin(req *request) bool {
	if !req.origin.wanted {
		return true
	}
	if len(r.serversOf(req.service)) == 0 {
		return true // it will be refused
	}
	if !req.origin.named {
		return r.confirmOnlyRelease(req)
	}
	switch name, state := r.origins.Get(r.now, req.origin.stream); {
	case state == origin.Known:
		r.originFound(req, fleet.Release{Name: name, Known: true}, originOwnRecord)
		return true
	case state == origin.Ambiguous:
		r.refuseUnknownOrigin(req, originAmbiguous)
		return false
	case len(r.loaders) == 0, !r.startedWithin(r.streamLives[req.service]) && !r.originsAreKept():
		return r.confirmOnlyRelease(req)
	default:
		r.askOrigin(req)
		return false
	}
}

// originsAreKept reports whether a loader may know the origin of a stream. Without loaders, or with
// those of an older build, what this router sees of the registry must do. So must a registry that
// was read just now while no loader has reported yet, as when all processes start.
func (r *Router) originsAreKept() bool {
	reporting := slices.ContainsFunc(r.sortedLoaders(), func(l *loader) bool { return l.holdings != nil })
	if !reporting {
		return len(r.loaders) > 0 && r.now.Sub(r.storeAnsweredAt) > freshRegistry
	}
	return slices.ContainsFunc(r.sortedLoaders(), func(l *loader) bool { return l.holdings != nil && l.holdings.KeepsOrigins })
}

// assumeOnlyRelease binds a request to the only release that this router knows. It refuses the
// request and returns false if there are several.
func (r *Router) assumeOnlyRelease(req *request, otherwise string) bool {
	release, only := r.onlyRelease(req.service)
	if !only {
		r.refuseUnknownOrigin(req, otherwise)
		return false
	}
	r.originFound(req, release, originOnlyRelease)
	return true
}

// startedWithin reports whether this process has run for less than a duration.
func (r *Router) startedWithin(d time.Duration) bool { return r.runningFor() < d }

// askOrigin asks loaders which release began the stream that a request takes up. It refuses the
// request if there are none to ask, or waits for them if they may still connect.
func (r *Router) askOrigin(req *request) {
	loaders := r.loadersToAsk(req)
	req.origin.awaitsLoaders = len(loaders) == 0 && r.loadersPending(req.service)
	if req.origin.awaitsLoaders {
		return
	}
	req.origin.askedAt = r.now
	for _, l := range loaders {
		req.origin.pending++
		r.emit(AskOrigin{Loader: l.name, Query: core.OriginQuery{
			RequestID: uint64(req.key), Stream: req.origin.stream.Request, Scope: req.origin.stream.Scope,
		}})
	}
	if req.origin.pending == 0 {
		r.refuseUnknownOrigin(req, originUnanswered)
	}
}

// loadersToAsk returns the loaders that are asked for the origin of the stream that a request takes up.
// Those of a router that has just started are among the ones that are told of the stream, and there are
// none unless enough of these are connected.
func (r *Router) loadersToAsk(req *request) []*loader {
	stream := req.origin.stream
	if !r.startedWithin(r.streamLives[req.service]) {
		return r.originLoaders(stream, originsAsked)
	}
	keepers := r.rankLoaders(stream, originsAsked, r.mayKeepOrigins)
	enough := min(minOriginAnswers, len(keepers))
	reached := slices.DeleteFunc(keepers, func(l *loader) bool { return !l.keepsOrigins() })
	if len(reached) < enough {
		return nil
	}
	return reached
}

// originAnswered continues with a request whose origin a loader was asked for.
func (r *Router) originAnswered(e LoaderAnsweredOrigin) {
	req := r.requests[Key(e.Answer.RequestID)]
	if req == nil || req.origin.pending == 0 {
		return
	}
	req.origin.pending--
	switch origin.State(e.Answer.State) {
	case origin.Known:
		req.origin.pending = 0
		r.originFound(req, fleet.Release{Name: e.Answer.Release, Known: true}, originTold)
		r.dispatch(req)
	case origin.Ambiguous:
		req.origin.pending = 0
		r.refuseUnknownOrigin(req, originAmbiguous)
	default:
		req.origin.answers++
		if req.origin.pending == 0 {
			r.decideUnknownOrigin(req, originUnknown)
		}
	}
}

// decideUnknownOrigin continues with a request whose origin no loader knows.
func (r *Router) decideUnknownOrigin(req *request, why string) {
	asked := req.origin.answers + req.origin.pending
	enough := req.origin.answers >= min(minOriginAnswers, asked)
	req.origin.pending = 0
	if !enough {
		r.refuseUnknownOrigin(req, why)
		return
	}
	if r.assumeOnlyRelease(req, why) {
		r.dispatch(req)
	}
}

// originOverdue reports whether the loaders that were asked have not answered in time.
func (r *Router) originOverdue(req *request) bool {
	return req.origin.pending > 0 && r.now.Sub(req.origin.askedAt) >= originTimeout
}

func (r *Router) originFound(req *request, release fleet.Release, how string) {
	req.bound, req.release = true, release
	r.countOrigin(req, how)
	r.log(SingleRequest, "stream is taken up", req.attrs("release", release.String(), "known_by", how,
		"asked_for", req.askedFor(r.now).String())...)
}

// askedFor is how long ago loaders were asked, 0 if none were.
func (req *request) askedFor(now core.Time) time.Duration {
	if req.origin.askedAt == 0 {
		return 0
	}
	return now.Sub(req.origin.askedAt)
}

func (r *Router) refuseUnknownOrigin(req *request, why string) {
	req.origin.pending = 0
	r.countOrigin(req, why)
	r.log(SingleRequest, "release that began a stream is not known", req.attrs("outcome", why, "named", req.origin.named,
		"releases", r.releasesOf(req.service), "asked_for", req.askedFor(r.now).String())...)
	r.finish(req, code.UnknownOrigin, r.retryAfterIn(originRetryAfter), "the release that began the stream is not known: "+why)
}

func (r *Router) countOrigin(req *request, outcome string) {
	r.emit(Count{core.Count{Name: metricOrigins, Labels: []string{req.service, outcome}, Add: 1}})
}

// recordOrigin records the release that a request's stream is bound to, before its first event
// is forwarded.
func (r *Router) recordOrigin(req *request) {
	if !req.route.Resumable || !req.release.Known {
		return
	}
	stream := origin.NewStream(req.id, req.route.Name, req.service, req.accountName())
	life := r.streamLives[req.service]
	r.origins.Put(r.now, stream, req.release.Name, life)
	if r.service(req.service).releases.several {
		record := r.originRecord(stream, req.release.Name, life)
		for _, l := range r.originLoaders(stream, originKeepers) {
			r.emit(TellOrigins{Loader: l.name, News: core.OriginNews{Origins: []core.StreamOrigin{record}}})
		}
	}
}

func (r *Router) originRecord(s origin.Stream, release string, left time.Duration) core.StreamOrigin {
	return core.StreamOrigin{Stream: s.Request, Scope: s.Scope, Release: release, Lasts: uint32(left.Milliseconds())}
}

// originLoaders returns the connected loaders that keep the origin of a stream, in order of
// preference.
func (r *Router) originLoaders(s origin.Stream, most int) []*loader {
	return r.rankLoaders(s, most, (*loader).keepsOrigins)
}

// mayKeepOrigins reports whether a loader of a listed engine keeps origins or may do so once it has
// reported.
func (r *Router) mayKeepOrigins(l *loader) bool {
	return r.engineAt(l) != nil && (l.holdings == nil || l.holdings.KeepsOrigins)
}

// rankLoaders returns the first of the loaders that fit, in order of preference for a stream.
func (r *Router) rankLoaders(s origin.Stream, most int, fits func(*loader) bool) []*loader {
	key := strconv.FormatUint(s.Request, 16)
	var chosen []*loader
	var scores []uint64
	for _, l := range r.sortedLoaders() {
		if !fits(l) {
			continue
		}
		score := core.Score(key, string(l.name))
		i := 0
		for i < len(scores) && scores[i] >= score {
			i++
		}
		if i < most {
			chosen, scores = slices.Insert(chosen, i, l), slices.Insert(scores, i, score)
			chosen, scores = chosen[:min(most, len(chosen))], scores[:min(most, len(scores))]
		}
	}
	return chosen
}

// keepsOrigins reports whether a loader can be told the origins of streams.
func (l *loader) keepsOrigins() bool { return l.up && l.holdings != nil && l.holdings.KeepsOrigins }

// tellOrigins tells loaders all origins that this router recorded: to one loader that has
// just connected those that it is to keep, or to all loaders if to is nil.
func (r *Router) tellOrigins(to *loader) {
	byLoader := map[*loader][]core.StreamOrigin{}
	r.origins.Each(r.now, func(s origin.Stream, release string, left time.Duration) {
		for _, l := range r.originLoaders(s, originKeepers) {
			if to == nil || l == to {
				byLoader[l] = append(byLoader[l], r.originRecord(s, release, left))
			}
		}
	})
	for _, l := range r.sortedLoaders() {
		for part := range slices.Chunk(byLoader[l], maxOriginsPerMessage) {
			r.emit(TellOrigins{Loader: l.name, News: core.OriginNews{Origins: part}})
		}
	}
}

// anySeveral reports whether any service has several releases.
func (r *Router) anySeveral() bool {
	for _, s := range r.services {
		if s.releases.several {
			return true
		}
	}
	return false
}
