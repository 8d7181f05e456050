package wire

import (
	"bufio"
	"net"
	"net/http"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// meteredConn counts the bytes of a TCP connection.
type meteredConn struct {
	net.Conn
	metrics Metrics
	// reads counts the reads that brought something.
	reads atomic.Int64
}

// Read implements net.Conn.
func (c *meteredConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.reads.Add(1)
	}
	c.metrics.BytesIn(n)
	return n, err
}

// Write implements net.Conn.
func (c *meteredConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.metrics.BytesOut(n)
	return n, err
}

// hijacker lets the WebSocket library take over a metered connection and
// remembers it: closing it directly is the one way to end a stuck write that
// blocks nobody.
type hijacker struct {
	http.ResponseWriter
	metrics Metrics
	conn    *meteredConn
}

// Hijack implements http.Hijacker.
func (h *hijacker) Hijack() (net.Conn, *bufio.ReadWriter, error) {
	conn, rw, err := http.NewResponseController(h.ResponseWriter).Hijack()
	if err != nil {
		return nil, nil, errors.Wrap(err, "hijack")
	}
	h.conn = &meteredConn{Conn: conn, metrics: h.metrics}
	rw.Writer.Reset(h.conn)
	return h.conn, rw, nil
}
