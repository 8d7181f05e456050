package harness

import (
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
)

// linkKey identifies a connection by the hosts of its two ends.
type linkKey struct{ dialler, listener core.HostID }

// link is an established connection. It preserves the order of messages.
type link struct {
	key                linkKey
	dialler, listener  *Process
	dialInc, listenInc core.Incarnation
	closed             bool
	// silent is set when the network drops all messages of this connection
	// without closing it.
	silent           bool
	delay            time.Duration
	lastToD, lastToL core.Time
}

func (w *World) delay(a, b *Process) time.Duration {
	if a.Host.Zone == b.Host.Zone {
		return sameZoneDelay
	}
	return crossZoneDelay
}

// Cut starts or ends a network partition between two hosts, which drops all
// messages without an error. A connection established before the partition
// stays unusable after its end; new connections work.
func (w *World) Cut(a, b core.HostID, cut bool) {
	for _, key := range []linkKey{{a, b}, {b, a}} {
		w.cuts[key] = cut
		if l := w.links[key]; cut && l != nil {
			w.silence(l)
		}
	}
}

// Silence makes the established connection between two hosts drop all messages
// permanently. New connections work.
func (w *World) Silence(a, b core.HostID) {
	for _, key := range []linkKey{{a, b}, {b, a}} {
		if l := w.links[key]; l != nil {
			w.silence(l)
		}
	}
}

// Break closes the connection between two hosts, as either end does when its
// pings are not answered. Messages in transit are lost; new connections work.
func (w *World) Break(a, b core.HostID) {
	for _, key := range []linkKey{{a, b}, {b, a}} {
		if l := w.links[key]; l != nil {
			w.timeOut(l)
		}
	}
}

func (w *World) silence(l *link) {
	if !l.silent {
		l.silent = true
		w.After(silenceTimeout, func() { w.timeOut(l) })
	}
}

// timeOut closes a connection at both ends because pings are not answered.
func (w *World) timeOut(l *link) {
	if l.closed {
		return
	}
	w.close(l)
	l.dialler.postTo(l.dialInc, core.PeerDown{Peer: l.key.listener})
	l.listener.postTo(l.listenInc, core.PeerDown{Peer: l.key.dialler})
}

// linksOf returns the established connections of a process.
func (w *World) linksOf(p *Process) []*link {
	var all []*link
	for _, host := range w.order {
		for _, key := range []linkKey{{p.Host.ID, host}, {host, p.Host.ID}} {
			if l := w.links[key]; l != nil {
				all = append(all, l)
			}
		}
	}
	return all
}

// postTo posts an event if incarnation is still the current one.
func (p *Process) postTo(incarnation core.Incarnation, event core.Event) {
	if p.Incarnation == incarnation {
		p.post(event)
	}
}

func (w *World) dial(from *Process, to core.HostID) {
	incarnation := from.Incarnation
	fail := func(after time.Duration) {
		w.After(after, func() { from.postTo(incarnation, core.PeerDown{Peer: to}) })
	}
	key := linkKey{from.Host.ID, to}
	if l := w.links[key]; l != nil && !l.closed {
		return
	}
	target := w.processes[to]
	if target == nil || w.cuts[key] || target.paused {
		fail(dialTimeout)
		return
	}
	if !target.alive {
		fail(time.Millisecond)
		return
	}
	d := w.delay(from, target)
	w.After(2*d, func() {
		if !target.alive || target.paused || w.cuts[key] || from.Incarnation != incarnation || !from.alive {
			fail(0)
			return
		}
		l := &link{
			key: key, dialler: from, listener: target,
			dialInc: from.Incarnation, listenInc: target.Incarnation, delay: d,
		}
		w.links[key] = l
		target.post(core.PeerUp{Peer: key.dialler, Incarnation: from.Incarnation})
		from.post(core.PeerUp{Peer: to, Incarnation: target.Incarnation})
	})
}

func (w *World) close(l *link) {
	l.closed = true
	if w.links[l.key] == l {
		delete(w.links, l.key)
	}
}

func (w *World) hangup(from *Process, to core.HostID) {
	l := w.links[linkKey{from.Host.ID, to}]
	if l == nil {
		return
	}
	w.close(l)
	after := l.delay
	if l.silent {
		after = silenceTimeout
	}
	w.reportPeerDown(l.listener, l.listenInc, from.Host.ID, after, false)
}

// reportPeerDown reports the end of a connection after a delay, unless a newer
// connection to the peer has been established by then.
func (w *World) reportPeerDown(to *Process, incarnation core.Incarnation, peer core.HostID, after time.Duration, planned bool) {
	w.After(after, func() {
		if w.links[linkKey{to.Host.ID, peer}] == nil && w.links[linkKey{peer, to.Host.ID}] == nil {
			to.postTo(incarnation, core.PeerDown{Peer: peer, Planned: planned})
		}
	})
}

// dropLinks closes all connections of a process that ended. After a planned end
// the peer first receives all messages sent to it and then the PeerDown.
func (w *World) dropLinks(p *Process, after time.Duration, planned bool) {
	for _, l := range w.linksOf(p) {
		other, inc, last := l.listener, l.listenInc, l.lastToL
		if other == p {
			other, inc, last = l.dialler, l.dialInc, l.lastToD
		}
		switch {
		case l.silent:
			w.close(l)
			w.reportPeerDown(other, inc, p.Host.ID, silenceTimeout, false)
		case planned:
			delete(w.links, l.key)
			w.reportPeerDown(other, inc, p.Host.ID, max(l.delay, last.Sub(w.now)), true)
		default:
			w.close(l)
			w.reportPeerDown(other, inc, p.Host.ID, after, false)
		}
	}
}

func (w *World) send(from *Process, to core.HostID, m core.Message) {
	l := w.links[linkKey{from.Host.ID, to}]
	toListener := l != nil
	if l == nil {
		l = w.links[linkKey{to, from.Host.ID}]
	}
	if l == nil || l.silent {
		return
	}
	target, inc, last := l.listener, l.listenInc, &l.lastToL
	if !toListener {
		target, inc, last = l.dialler, l.dialInc, &l.lastToD
	}
	*last = max(*last, w.now.Add(l.delay))
	w.at(*last, func() {
		if !l.closed && !l.silent {
			target.postTo(inc, core.Received{From: from.Host.ID, Message: m})
		}
	})
}
