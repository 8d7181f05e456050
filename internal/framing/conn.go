package framing

import (
	"bytes"
	"io"
	"net"
	"slices"
	"sync/atomic"
	"syscall"

	"github.com/cockroachdb/errors"
)

// headReadBytes is how much is read at once of a head that did not come in one part.
const headReadBytes = 1 << 10

// ErrHeadTooLong means that the heads of a response exceed MaxHeadBytes.
var ErrHeadTooLong = errors.New("the head of a response is too long")

// errReset means that the peer closed the connection without having received the whole request.
var errReset = errors.Wrap(syscall.ECONNRESET, "closed before the request was received")

// Conn is a client's connection over which responses come one at a time. It returns the bytes of a
// head only once it is complete and the head of a response. The first one that isn't, an interim one
// too, fails its read and all later ones.
//
// Heads are checked here, and not after they were parsed, because a parser may drop or rename what it
// reads.
//
// Behind a head it returns io.EOF only if the peer had received the whole request and closed the
// connection in an orderly way. A reset looks like that too if a write has taken its error: a socket
// reports an error once, and reads from then on only find the end.
//
// A read and a write may be concurrent, two reads may not.
type Conn struct {
	net.Conn

	// begun is set by BeginRequest until the next read returns; upgrade while the request asks for
	// another protocol.
	begun, upgrade atomic.Bool
	writing        *requestWrite
	// inHead is set while the head of a response is expected.
	inHead bool
	// held are bytes that were received and not returned, of which the first ready ones may be. No
	// head ends in the first scanned bytes behind those. heads is the number of bytes of the heads of
	// the response.
	held                  []byte
	ready, scanned, heads int
	// failed is the error of all later reads.
	failed error
}

// NewConn returns a connection over which no request was sent yet.
func NewConn(conn net.Conn) *Conn { return &Conn{Conn: conn, writing: newRequestWrite()} }

// BeginRequest must be called before a request is written: what is received from then on begins with
// the head of a response. Upgrade is set if the request asks for another protocol.
func (c *Conn) BeginRequest(upgrade bool) {
	c.upgrade.Store(upgrade)
	c.writing.begin()
	c.begun.Store(true)
}

// EndRequest must be called when a request was written, or when its write has failed.
func (c *Conn) EndRequest() { c.writing.end() }

// ExpectHead announces that another response to the same request follows. Unread are the bytes that
// were read behind the response before. It must not be called during a read.
func (c *Conn) ExpectHead(unread []byte) {
	c.held = append(bytes.Clone(unread), c.held...)
	c.ready = 0
	c.begun.Store(true)
}

// Buffered returns the number of bytes that were received and not returned. It must not be called
// during a read.
func (c *Conn) Buffered() int { return len(c.held) }

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	c.startHead()
	if len(c.held) == 0 && c.failed == nil {
		n, err := c.Conn.Read(p)
		c.startHead() // a request may begin while a read waits
		switch {
		case !c.inHead && errors.Is(err, io.EOF):
			return n, c.closed()
		case !c.inHead || n == 0:
			return n, err
		}
		c.held = bytes.Clone(p[:n])
	}
	c.checkHeads()
	for c.ready == 0 && c.failed == nil {
		c.failed = c.receive()
		c.checkHeads()
	}
	if c.ready == 0 {
		return 0, c.failed
	}
	n := copy(p, c.held[:c.ready])
	c.held, c.ready = c.held[n:], c.ready-n
	if len(c.held) == 0 {
		c.held = nil // idle connections need no memory
	}
	return n, nil
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err != nil {
		c.writing.fail()
	}
	return n, err
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.writing.fail()
	return c.Conn.Close()
}

// closed returns the error of a read that has found the connection closed behind a head.
func (c *Conn) closed() error {
	if !c.writing.wait() || wasReset(c.Conn) {
		return errReset
	}
	return io.EOF
}

func (c *Conn) startHead() {
	if c.begun.Swap(false) {
		c.inHead, c.scanned, c.heads = true, 0, 0
	}
}

// receive reads more of an incomplete head.
func (c *Conn) receive() error {
	size := len(c.held)
	c.held = slices.Grow(c.held, headReadBytes)
	n, err := c.Conn.Read(c.held[size : size+headReadBytes])
	c.held = c.held[:size+n]
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// checkHeads checks the complete heads among the bytes held, and makes them ready up to the first one
// that is malformed. What follows the last head of a response is ready too.
func (c *Conn) checkHeads() {
	for c.inHead && c.failed == nil {
		rest := c.held[c.ready:]
		n := headLength(rest, c.scanned)
		c.failed = c.checkHead(rest, n)
		if n == 0 {
			c.scanned = max(0, len(rest)-len("\n\r"))
			return
		}
	}
}

// checkHead checks the first n bytes of the rest, which are a complete head, or the whole rest, which
// is an incomplete one, if n is 0.
func (c *Conn) checkHead(rest []byte, n int) error {
	size := n
	if n == 0 {
		size = len(rest)
	}
	if c.heads+size > MaxHeadBytes {
		return ErrHeadTooLong
	}
	if n == 0 {
		return checkBeginning(rest)
	}
	status, err := checkHead(rest[:n], c.upgrade.Load())
	if err != nil {
		return err
	}
	c.ready, c.scanned, c.heads = c.ready+n, 0, c.heads+n
	if !isInterim(status) {
		c.inHead, c.ready = false, len(c.held)
	}
	return nil
}
