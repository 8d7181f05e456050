package loader

import (
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
)

const (
	// knownFor is how long a router is connected before it is followed while another
	// is that has been for as long: by then it has heard of all engines and of what
	// is called, which a router that has just started has not.
	knownFor = 3 * time.Second
	// settleTime is how long a loader follows nobody after its first router
	// connected: the time in which the others connect too, some ten ms each on small
	// hosts.
	settleTime = 500 * time.Millisecond
)

// coordinator is the router that the loader follows, "" if none: of those that have
// been connected for long the strongest, of equal ones that of the lowest name; of a
// fleet that has just started the same of all.
//
// It guards against many coordinators: a loader that had just started followed the
// first router that reached it, for some ms, and that one shared out copies and loads
// from the weight store as if no other did. When eight engines came at once, seven
// routers had the same model read from the store, which then served none in time.
func (l *Loader) coordinator() core.HostID {
	if !l.followedKnown {
		l.followed, l.followedKnown = l.toFollow(), true
	}
	return l.followed
}

// toFollow picks the coordinator. Strong ones come first: whoever coordinates hears of all
// engines at once, which in a large fleet takes more than the whole of a small host.
func (l *Loader) toFollow() core.HostID {
	var best, known *router
	settled := false
	for _, r := range l.connected {
		age := l.now.Sub(r.upAt)
		settled = settled || age >= settleTime
		if best == nil || r.processor > best.processor {
			best = r
		}
		if age >= knownFor && (known == nil || r.processor > known.processor) {
			known = r
		}
	}
	switch {
	case known != nil:
		return known.name
	case settled:
		return best.name
	default:
		return ""
	}
}
