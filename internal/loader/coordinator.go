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
// been connected for long the one of the lowest name; of a fleet that has just
// started the lowest of all.
//
// It guards against many coordinators: a loader that had just started followed the
// first router that reached it, for some ms, and that one shared out copies and loads
// from the weight store as if no other did. When eight engines came at once, seven
// routers had the same model read from the store, which then served none in time.
func (l *Loader) coordinator() core.HostID {
	if !l.followedKnown {
		l.followed, l.followedKnown = l.lowest(), true
	}
	return l.followed
}

func (l *Loader) lowest() core.HostID {
	first, settled := core.HostID(""), false
	for _, r := range l.connected {
		age := l.now.Sub(r.upAt)
		if age >= knownFor {
			return r.name
		}
		settled = settled || age >= settleTime
		if first == "" {
			first = r.name
		}
	}
	if !settled {
		return ""
	}
	return first
}
