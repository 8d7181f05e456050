package loader

import (
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/origin"
)

// This file keeps which releases of engines' software began streams, for routers at which
// callers take them up.

// maxOrigins bounds the streams that are remembered, some 120 bytes each. The oldest are
// dropped first.
const maxOrigins = 1 << 14

// originsTold records streams that a router began.
func (l *Loader) originsTold(news core.OriginNews) {
	for _, o := range news.Origins {
		stream := origin.Stream{Request: o.Stream, Scope: o.Scope}
		l.origins.Put(l.now, stream, o.Release, time.Duration(o.Lasts)*time.Millisecond)
	}
}

// originAsked answers which release began a stream.
func (l *Loader) originAsked(router core.HostID, query core.OriginQuery) {
	release, state := l.origins.Get(l.now, origin.Stream{Request: query.Stream, Scope: query.Scope})
	reply := core.OriginReply{RequestID: query.RequestID, State: uint8(state), Release: release}
	l.emit(Forward{Routers: []core.HostID{router}, Message: reply})
}
