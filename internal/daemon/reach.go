package daemon

import (
	"net"
	"net/netip"
	"net/url"
)

// reachableBackend returns the base URL by which other hosts reach the backend
// server beside an agent.
//
// Failure: the settings name the backend server by a loopback address, as the
// agent sees it. An entry that used it would talk to whatever listens on its
// own host, and take that engine's word for this one's. Guard: a loopback or
// unspecified address is replaced by the one that the agent advertises.
func reachableBackend(backend, advertise string) string {
	u, err := url.Parse(backend)
	if err != nil {
		return ""
	}
	own, err := netip.ParseAddrPort(advertise)
	if err != nil {
		return ""
	}
	address, err := netip.ParseAddr(u.Hostname())
	local := err == nil && (address.IsLoopback() || address.IsUnspecified())
	if !local && u.Hostname() != "localhost" || own.Addr().IsLoopback() {
		return backend
	}
	host := own.Addr().String()
	if port := u.Port(); port != "" {
		u.Host = net.JoinHostPort(host, port)
	} else if own.Addr().Is6() {
		u.Host = "[" + host + "]"
	} else {
		u.Host = host
	}
	return u.String()
}
