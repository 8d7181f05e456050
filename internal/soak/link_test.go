package soak

import (
	"net"
	"sync/atomic"
	"syscall"

	"github.com/cockroachdb/errors"

	"nutmeglane.example/nutmeglane/internal/relay"
)

// resettingLink starts a relay to target that forwards resets by the target. It then resets all
// of its connections, as relays themselves forward each end of a connection as an orderly close.
func (w *world) resettingLink(name, address, target string) {
	var link atomic.Pointer[relay.Relay]
	dial := func() (net.Conn, error) {
		conn, err := net.Dial("tcp", target)
		return watchedConn{conn, &link}, err
	}
	r, err := relay.New(address, dial)
	w.check(err)
	link.Store(r)
	w.links[name] = r
}

// watchedConn resets the connections of a relay when it is reset by its peer.
type watchedConn struct {
	net.Conn
	link *atomic.Pointer[relay.Relay]
}

func (c watchedConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if link := c.link.Load(); link != nil && errors.Is(err, syscall.ECONNRESET) {
		link.Reset()
	}
	return n, err
}
