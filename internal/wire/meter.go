package wire

import (
	"bufio"
	"net"
	"net/http"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// meteredConn is a TCP connection that counts the bytes read and written.
type meteredConn struct {
	net.Conn
	metrics Metrics
	// reads counts the reads that returned data.
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

// hijacker passes a metered connection to the WebSocket library and stores it in
// conn. Closing conn directly is the only way to end a blocked write without
// blocking the caller.
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
