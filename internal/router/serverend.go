package router

import (
	"log/slog"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/fleet"
)

// This file notices that backend servers end by themselves, and which requests ran
// there. A connection that is closed in the middle of a request shows neither: the
// server may have reset that one alone. So what was lost is kept until another sign
// of the server's end comes: its port refuses connections, its loader finds it gone,
// another instance or life is at its address, or the registry drops it.
//
// None of these signs is taken back: an answer from the address shows no more than that
// something is there, which may be the next life. One that is wrong makes one end, and
// three at two addresses are needed.
//
// A host without power closes no connections. What was there is not lost by a crash
// of the server's process, and counts against no request.

// lostWindow is how long a lost request waits for a sign that its server ended: the
// registry drops an entry after three heartbeats (1.2 s each) of silence, and tells
// it up to a second later.
const lostWindow = 5 * time.Second

// lostRequest is a request whose connection was closed while it ran.
type lostRequest struct {
	core.LostRequest
	at core.Time
}

// noteConnection takes what a failed attempt shows of its server.
func (r *Router) noteConnection(b *backend, req *request, e AttemptFailed) {
	switch {
	case e.Peer == PeerRefused:
		r.serverEnded(b, "its port refuses connections")
	case e.Peer == PeerClosed && e.Failure != NotSent:
		r.lostAt(b, req)
	}
}

// lostAt notes that a request ran at a server when its connection was closed.
//
// A connection that is closed long after the server's end can't have led to it: it had
// not ended then.
//
// It guards against planned ends: a server that announced that it leaves, or whose
// entry was withdrawn, may cut what still runs there when it exits.
func (r *Router) lostAt(b *backend, req *request) {
	if req.fingerprint == 0 {
		return // not told
	}
	lost := core.LostRequest{
		Fingerprint: req.fingerprint, Age: uint32(r.now.Sub(req.attempt.at).Milliseconds()),
		Arrival: uint32(xxhash.Sum64String(req.id)),
	}
	switch life := req.attempt.life; {
	case b.Draining:
	case life.Compare(b.Incarnation) < 0:
		r.takeEnd(r.endOf(b, life, r.now, lost))
	case b.endedAt != 0 && r.now.Sub(b.endedAt) < lostWindow:
		r.takeEnd(r.endOf(b, life, b.endedAt, lost))
	case b.unlistedAt == 0:
		b.endedAt = 0 // what still runs there shows that it had not ended
		b.lost = append(b.lost, lostRequest{lost, r.now})
	}
}

// serverEnded takes in that a server's present life is over, and enters what was lost
// there.
func (r *Router) serverEnded(b *backend, sign string) {
	if b.endedAt != 0 || b.Draining {
		return
	}
	b.endedAt = r.now
	var lost []core.LostRequest
	for _, l := range b.lost {
		if r.now.Sub(l.at) < lostWindow {
			lost = append(lost, l.LostRequest)
		}
	}
	b.lost = nil
	r.emit(Count{core.Count{Name: metricServerEnds, Labels: []string{b.Service}, Add: 1}})
	r.log(StateChange, "backend server ended by itself", b.attrs("sign", sign, "born", b.Born, "lost", len(lost))...)
	if len(lost) > 0 {
		r.takeEnd(r.endOf(b, b.Incarnation, r.now, lost...))
	}
}

func (r *Router) endOf(b *backend, life fleet.Incarnation, at core.Time, requests ...core.LostRequest) core.ServerEnd {
	return core.ServerEnd{
		Life: lifeOf(life), Service: b.Service, Address: b.Address, Sole: r.soleAddress(b),
		Ago: r.now.Sub(at), Requests: requests,
	}
}

// takeEnd enters an end, tells the other routers, and logs under how many servers' ends
// its requests ran.
func (r *Router) takeEnd(end core.ServerEnd) {
	found := r.ledger.Add(r.now, end)
	r.tellOthers("end-"+end.Life.Instance+"-"+string(r.opts.Host), core.PoisonNews{Ends: []core.ServerEnd{end}})
	most := slices.MaxFunc(end.Requests, func(a, b core.LostRequest) int {
		return r.ledger.Ends(a.Fingerprint) - r.ledger.Ends(b.Fingerprint)
	}).Fingerprint
	r.log(StateChange, "requests ran on a server that ended", slog.String("instance", end.Life.Instance), slog.Int64("born", end.Life.Born),
		slog.String("address", end.Address), slog.String("ended_ago", end.Ago.String()), slog.Int("requests", len(end.Requests)),
		slog.String("most_often", most.String()), slog.Int("ends", r.ledger.Ends(most)))
	r.keepFromServers(found)
}

func lifeOf(i fleet.Incarnation) core.ServerLife {
	return core.ServerLife{Instance: i.Instance, Born: i.Born}
}

// soleAddress tells whether a service has servers at no other address.
func (r *Router) soleAddress(b *backend) bool {
	for _, other := range r.serversOf(b.Service) {
		if other.Address != b.Address {
			return false
		}
	}
	return true
}
