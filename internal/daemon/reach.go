package daemon

import (
	"net"
	"net/netip"
	"net/url"
)

// reachableBackend returns the base URL by which other hosts reach an agent's
// backend server, or "" if an argument is malformed.
//
// The agent's settings may name the backend server by a loopback address. An entry
// that used this address would connect to its own host and treat the answers of an
// engine there as those of the agent's engine. Therefore a loopback or unspecified
// address is replaced by the address that the agent advertises.
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
