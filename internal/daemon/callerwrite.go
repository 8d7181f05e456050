package daemon

import (
	"sync"
	"time"
)

const (
	// unreadTimeout is how long a caller may leave what was written to it unread. Each piece of
	// writtenPiece bytes gets that time anew, so that a slow caller gets any answer.
	unreadTimeout = 30 * time.Second
	writtenPiece  = 16 << 10
)

// writeDeadlines are the deadlines for writing to a caller.
type writeDeadlines struct {
	mu sync.Mutex
	// set is the deadline that the server has set, zero without one. until is the one in force.
	set, until time.Time
}

// Write implements net.Conn. It fails if the caller reads nothing for unreadTimeout.
//
// Otherwise a caller that reads nothing would hold the connection, its request and the answer for as
// long as it likes.
func (c *callerConn) Write(p []byte) (written int, err error) {
	for {
		piece := p[written:min(written+writtenPiece, len(p))]
		if err := c.extendWriteDeadline(time.Now()); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(piece)
		written += n
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

// extendWriteDeadline moves the deadline in force ahead once half of unreadTimeout is over, since each
// change of it costs time. It never moves it beyond the deadline that the server has set.
func (c *callerConn) extendWriteDeadline(now time.Time) error {
	c.writes.mu.Lock()
	defer c.writes.mu.Unlock()
	if c.writes.until.Sub(now) >= unreadTimeout/2 {
		return nil
	}
	until := now.Add(unreadTimeout)
	if !c.writes.set.IsZero() && c.writes.set.Before(until) {
		until = c.writes.set
	}
	c.writes.until = until
	return c.Conn.SetWriteDeadline(until)
}

// SetWriteDeadline implements net.Conn.
func (c *callerConn) SetWriteDeadline(at time.Time) error {
	c.writes.mu.Lock()
	defer c.writes.mu.Unlock()
	c.writes.set, c.writes.until = at, at
	return c.Conn.SetWriteDeadline(at)
}

// SetDeadline implements net.Conn.
func (c *callerConn) SetDeadline(at time.Time) error {
	if err := c.SetReadDeadline(at); err != nil {
		return err
	}
	return c.SetWriteDeadline(at)
}
