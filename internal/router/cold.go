package router

import "nutmeglane.example/nutmeglane/internal/limit"

// This file limits the requests to servers that are cold after their start: they take few requests
// a second, from all routers together, and crash under many more. The limit is kept in the same
// way as one that a server names in its answers, and ends when the server is no longer cold.

// coldShare is the part of the tolerated rate that a cold server is given. A bucket that is full
// lets a second's worth through at once, beside what is filled in meanwhile: twice the rate in a
// second.
const coldShare = 0.7

// limitCold limits the requests to a server whose registry entry says that it is cold.
func (r *Router) limitCold(b *backend) {
	if b.SlowFor <= 0 || r.config == nil || r.config.Services[b.Service] == nil {
		return
	}
	perSecond := r.config.Services[b.Service].ColdPerSecond
	if perSecond <= 0 {
		return
	}
	r.applyLimit(b, "its registry entry: cold", limit.Announcement{
		Named: true, PerSecond: coldShare * perSecond, Sent: r.now, Received: r.now, ColdUntil: r.now.Add(b.SlowFor),
	})
}
