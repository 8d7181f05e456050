package loader

import (
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
)

const (
	// coordinatorMinAge is how long a router must have been connected to be preferred as
	// coordinator. By then it has received the state of all engines and the current
	// demand, which a router that has just started lacks.
	coordinatorMinAge = 3 * time.Second
	// startupDelay is how long a loader selects no coordinator after its first router
	// connected. The other routers connect within this time, some ten ms each on small
	// hosts.
	startupDelay = 500 * time.Millisecond
)

// coordinator returns the router whose placement decisions the loader follows, "" if
// none. Of the routers connected for at least coordinatorMinAge it is the one with the
// largest processor share; ties go to the lowest name. If there is none, as in a fleet
// that has just started, all connected routers count.
//
// It guards against several coordinators at once: a loader that had just started followed
// the first router that connected, for some ms, and that router assigned copies and loads
// from the weight store as if there were no other. When eight engines joined at once,
// seven routers had the same model read from the store, and none of the loads ended in
// time.
func (l *Loader) coordinator() core.HostID {
	if !l.coordinatorSelected {
		l.selected, l.coordinatorSelected = l.selectCoordinator(), true
	}
	return l.selected
}

// selectCoordinator selects the coordinator. Routers with a larger processor share come
// first: the coordinator receives messages of all engines, which in a large fleet takes
// more than a whole small host.
func (l *Loader) selectCoordinator() core.HostID {
	var best, established *router
	started := false
	for _, r := range l.connected {
		age := l.now.Sub(r.connectedAt)
		started = started || age >= startupDelay
		if best == nil || r.processor > best.processor {
			best = r
		}
		if age >= coordinatorMinAge && (established == nil || r.processor > established.processor) {
			established = r
		}
	}
	switch {
	case established != nil:
		return established.name
	case started:
		return best.name
	default:
		return ""
	}
}
