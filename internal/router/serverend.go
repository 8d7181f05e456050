package router

import (
	"cmp"
	"log/slog"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/fleet"
)

// This file detects that backend servers ended by themselves, and which requests ran there.
// A connection that is closed in the middle of a request proves neither: the server may
// have reset that connection alone. Therefore lost requests are kept until another sign of
// the server's end comes: its port refuses connections, its loader finds it gone, another
// instance or incarnation is at its address, or the registry drops it.
//
// None of these signs is revoked: an answer from the address only shows that a server is
// there, which may be the next incarnation. A wrong sign adds one end, and three ends are needed
// to block a request, at two addresses if it could have run at as many.
//
// A host that loses power closes no connections. Its requests are not lost by a crash of
// the server's process, and count against no request.

// lostWindow is how long a lost request waits for a sign that its server ended: the
// registry drops an entry after three heartbeats (1.2 s each) of silence, and routers
// receive that up to a second later.
const lostWindow = 5 * time.Second

// lostRequest is a request whose connection was closed while it ran.
type lostRequest struct {
	core.LostRequest
	at core.Time
	// parts are the parts of its prompt on which the server may have begun to write, began is
	// set if it had begun to answer.
	parts []promptPart
	began bool
	// only is set if no server at another address could have run it.
	only bool
}

// noteConnection records what a failed attempt reveals about its server.
func (r *Router) noteConnection(b *backend, req *request, a *attempt, e AttemptFailed) {
	switch {
	case e.Peer == PeerRefused:
		r.serverEnded(b, "its port refuses connections")
	case e.Peer == PeerClosed && e.Failure != NotSent:
		r.recordLost(b, req, a)
	}
}

// recordLost records that a request ran at a server when its connection was closed, and whether
// the server had begun to answer it.
//
// A connection that is closed long after a recorded end of the server shows that the server
// had not ended.
//
// Planned ends do not count: a server that announced that it is draining, or whose entry
// was withdrawn, may cut off what still runs there when it exits.
func (r *Router) recordLost(b *backend, req *request, a *attempt) {
	if req.fingerprint == 0 {
		return // unknown
	}
	lost := lostRequest{
		LostRequest: core.LostRequest{
			Fingerprint: req.fingerprint, Age: uint32(r.now.Sub(a.at).Milliseconds()),
			Arrival: uint32(xxhash.Sum64String(req.id)),
		},
		at: r.now, parts: r.suspectParts(req), began: a.began, only: r.onlyAt(b, req),
	}
	switch incarnation := a.incarnation; {
	case b.announced.draining():
	case incarnation.Compare(b.Incarnation) < 0:
		r.recordEnd(b, incarnation, r.now, lost)
	case b.endedAt != 0 && r.now.Sub(b.endedAt) < lostWindow:
		r.recordEnd(b, incarnation, b.endedAt, lost)
	case b.unlistedAt == 0:
		b.endedAt = 0 // a request that still ran there shows that it had not ended
		b.lost = append(b.lost, lost)
	}
}

// serverEnded records that a server's present incarnation has ended, together with the
// requests lost there.
func (r *Router) serverEnded(b *backend, sign string) {
	if b.endedAt != 0 || b.announced.draining() {
		return
	}
	b.endedAt = r.now
	var lost []lostRequest
	for _, l := range b.lost {
		if r.now.Sub(l.at) < lostWindow {
			lost = append(lost, l)
		}
	}
	b.lost = nil
	r.emit(Count{core.Count{Name: metricServerEnds, Labels: []string{b.Service}, Add: 1}})
	r.log(StateChange, "backend server ended by itself", b.attrs("sign", sign, "born", b.Born, "lost", len(lost))...)
	if len(lost) > 0 {
		// The connections closed as the server ended, the sign of its end came later.
		r.recordEnd(b, b.Incarnation, lost[0].at, lost...)
	}
}

func (r *Router) endOf(b *backend, incarnation fleet.Incarnation, at core.Time, lost []lostRequest) core.ServerEnd {
	end := core.ServerEnd{
		Life: serverLife(incarnation), Service: b.Service, Address: b.Address, Sole: r.soleAddress(b),
		Ago: r.now.Sub(at),
	}
	for i, l := range lost {
		end.Requests = append(end.Requests, l.LostRequest)
		if l.only {
			end.Only = append(end.Only, uint16(i))
		}
	}
	end.Parts = partsOf(lost)
	for i, part := range end.Parts {
		end.Parts[i].Written = r.ledger.Written(part.Part)
	}
	return end
}

// partsOf returns the parts of the prompts of lost requests, each with the requests that hold it.
func partsOf(lost []lostRequest) []core.LostPart {
	var parts []core.LostPart
	index := map[core.Fingerprint]int{}
	for i, l := range lost {
		for _, part := range l.parts {
			j, known := index[part.fingerprint]
			if !known {
				j = len(parts)
				index[part.fingerprint] = j
				parts = append(parts, core.LostPart{Part: part.fingerprint, Depth: part.depth})
			}
			parts[j].Depth = min(parts[j].Depth, part.depth)
			parts[j].Holders = append(parts[j].Holders, uint16(i))
			parts[j].Began = parts[j].Began || l.began
		}
	}
	return parts
}

// recordEnd adds an end to the ledger, reports it to the other routers, and logs on how
// many servers' ends its requests, and the parts of their prompts, ran.
func (r *Router) recordEnd(b *backend, incarnation fleet.Incarnation, at core.Time, lost ...lostRequest) {
	end := r.endOf(b, incarnation, at, lost)
	r.ledger.Add(r.now, end)
	for _, l := range lost {
		for _, part := range l.parts {
			r.ledger.SetName(part.fingerprint, part.name)
		}
	}
	r.relayPoison("end-"+end.Life.Instance+"-"+string(r.opts.Host), core.PoisonNews{Ends: []core.ServerEnd{end}})
	r.logEnd(end)
	r.findPoison()
}

func (r *Router) logEnd(end core.ServerEnd) {
	most := slices.MaxFunc(end.Requests, func(a, b core.LostRequest) int {
		return r.ledger.Ends(a.Fingerprint) - r.ledger.Ends(b.Fingerprint)
	}).Fingerprint
	attrs := []slog.Attr{
		slog.String("instance", end.Life.Instance), slog.Int64("born", end.Life.Born),
		slog.String("address", end.Address), slog.String("ended_ago", end.Ago.String()), slog.Int("requests", len(end.Requests)),
		slog.String("most_often", most.String()), slog.Int("ends", r.ledger.Ends(most)),
	}
	if len(end.Parts) > 0 {
		part := slices.MaxFunc(end.Parts, func(a, b core.LostPart) int {
			return cmp.Or(r.ledger.Ends(a.Part)-r.ledger.Ends(b.Part), len(b.Holders)-len(a.Holders))
		})
		attrs = append(attrs, slog.Int("parts", len(end.Parts)), slog.String("part", r.ledger.Name(part.Part)),
			slog.String("part_fingerprint", part.Part.String()), slog.Int("part_ends", r.ledger.Ends(part.Part)), slog.Int("part_requests", len(part.Holders)))
	}
	r.log(StateChange, "requests ran on a server that ended", attrs...)
}

func serverLife(i fleet.Incarnation) core.ServerLife {
	return core.ServerLife{Instance: i.Instance, Born: i.Born}
}

// soleAddress reports whether all servers of a service have the same address.
func (r *Router) soleAddress(b *backend) bool {
	for _, other := range r.serversOf(b.Service) {
		if other.Address != b.Address {
			return false
		}
	}
	return true
}

// onlyAt reports whether the model of a request is loaded at the address of a server alone.
func (r *Router) onlyAt(b *backend, req *request) bool {
	if req.prompt == nil || r.engine(req.service) == nil {
		return false
	}
	elsewhere := func(other *backend) bool { return other.Address != b.Address && other.unlistedAt == 0 }
	return !slices.ContainsFunc(r.holders(req.service, req.prompt.Model), elsewhere)
}

// lostLately reports whether requests were lost at a server within lostWindow. An earlier loss
// says nothing about its end: after one reset connection, the removal of the server from the
// registry counted as its end for the rest of its life, and streams that it still served were
// taken from it.
func (r *Router) lostLately(b *backend) bool {
	return slices.ContainsFunc(b.lost, func(l lostRequest) bool { return r.now.Sub(l.at) < lostWindow })
}
