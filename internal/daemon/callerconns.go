package daemon

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

const (
	// closeInterval is the pause between two looks for idle connections while the
	// process stops: a tenth of the time in which a caller on a new connection can
	// have its answer.
	drainPollInterval = 20 * time.Millisecond
	// firstRequestWait is how long a new connection counts as one whose request is on
	// its way.
	firstRequestWait = time.Second
)

// callerConns are the connections of a server that is to stop without losing a
// request.
//
// It guards against http.Server.Shutdown, which closes a connection while its
// next request is being read: until the header has been parsed the connection
// counts as idle. On a host that waits for its processor that takes a tenth of a
// second and more, and the caller sees the connection close on a request that
// was read, with nothing to tell whether it ran. Here reading and closing
// exclude each other: a connection of which a byte was read since its last
// answer, or for which one lies in the kernel, is never closed.
//
// It guards as well against resets of callers that connect while the process
// stops: of connections that wait in the kernel to be accepted when the listener
// closes, and of one that is closed before its first request has come.
type callerConns struct {
	listener net.Listener

	// draining is set once connections are to end with their answers.
	draining atomic.Bool

	mu   sync.Mutex
	open map[*callerConn]struct{}
}

func newCallerConns() *callerConns { return &callerConns{open: map[*callerConn]struct{}{}} }

// listen makes the connections of the listener known. It is called once.
func (c *callerConns) wrap(l net.Listener) net.Listener {
	c.listener = l
	return callerListener{l, c}
}

// state is the server's ConnState hook.
func (c *callerConns) state(conn net.Conn, onStateChange http.ConnState) {
	if secure, ok := conn.(*tls.Conn); ok {
		conn = secure.NetConn()
	}
	if caller, ok := conn.(*callerConn); ok && onStateChange == http.StateIdle {
		caller.setIdle()
	}
}

// drain closes the listener once no connection waits there, then connections as they
// fall idle, until none is left or ctx ends.
func (c *callerConns) drain(ctx context.Context) error {
	c.draining.Store(true)
	if c.listener != nil {
		for c.hasPendingConn() && ctx.Err() == nil {
			sleep(ctx, drainPollInterval)
		}
		_ = c.listener.Close() // nobody waits for what it would say
	}
	for c.closeIdle() > 0 {
		if err := ctx.Err(); err != nil {
			return errors.Wrapf(err, "%d connections with requests", c.closeIdle())
		}
		sleep(ctx, drainPollInterval)
	}
	return nil
}

// waiting tells whether a connection waits in the kernel to be accepted.
func (c *callerConns) hasPendingConn() bool {
	withFD, ok := c.listener.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := withFD.SyscallConn()
	if err != nil {
		return false
	}
	waits := false
	err = raw.Control(func(fd uintptr) {
		look := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		n, err := unix.Poll(look, 0)
		waits = err == nil && n > 0 && look[0].Revents&unix.POLLIN != 0
	})
	return err == nil && waits
}

// closeIdle closes the connections without a request and returns how many are
// left.
func (c *callerConns) closeIdle() int {
	c.mu.Lock()
	conns := make([]*callerConn, 0, len(c.open))
	for conn := range c.open {
		conns = append(conns, conn)
	}
	c.mu.Unlock()
	left := 0
	for _, conn := range conns {
		if !conn.closeIfIdle() {
			left++
		}
	}
	return left
}

func (c *callerConns) remove(conn *callerConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.open, conn)
}

type callerListener struct {
	net.Listener
	conns *callerConns
}

// Accept implements net.Listener.
func (l callerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if errors.Is(err, net.ErrClosed) {
		return nil, http.ErrServerClosed // a planned stop, no failure of Serve
	}
	if err != nil {
		return nil, err
	}
	withFD, ok := conn.(syscall.Conn)
	if !ok {
		return nil, errors.Newf("connection of type %T has no descriptor", conn)
	}
	raw, err := withFD.SyscallConn()
	if err != nil {
		return nil, errors.Wrap(err, "descriptor of connection")
	}
	caller := &callerConn{Conn: conn, raw: raw, conns: l.conns, opened: time.Now(), idle: true}
	l.conns.mu.Lock()
	l.conns.open[caller] = struct{}{}
	l.conns.mu.Unlock()
	return caller, nil
}

// callerConn is a caller's connection.
type callerConn struct {
	net.Conn
	raw    syscall.RawConn
	conns  *callerConns
	opened time.Time

	mu sync.Mutex
	// asked is set once a byte was read, idle while none was since the last answer.
	everRead, idle bool
}

// Read implements net.Conn. A byte is taken from the kernel and the connection
// stops being idle in one step under the lock.
func (c *callerConn) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	var n int
	var failed error
	err := c.raw.Read(func(fd uintptr) bool {
		n, failed = c.readFD(int(fd), p)
		return failed != syscall.EAGAIN
	})
	switch {
	case err != nil:
		return 0, err
	case failed != nil:
		return 0, &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: os.NewSyscallError("read", failed)}
	case n == 0:
		return 0, io.EOF
	}
	return n, nil
}

func (c *callerConn) readFD(fd int, p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for {
		n, err := syscall.Read(fd, p)
		if err == syscall.EINTR {
			continue
		}
		if n > 0 {
			c.everRead, c.idle = true, false
		}
		return max(0, n), err
	}
}

// answered notes that the last request has its answer.
//
// It guards against a request that is taken long after the stop was announced: a
// stream whose head went out before then ends in the meantime, its connection is
// kept as its head said, and the caller's next stream would be cut at the stop
// limit. So while connections are drained, one closes with its answer. What its
// caller may have sent by then was not read, which tells it that it did not run.
func (c *callerConn) setIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = true
	if c.conns.draining.Load() {
		_ = c.Close() // it is closed either way
	}
}

// closeIfIdle closes the connection unless it has a request, and reports
// whether it is closed.
func (c *callerConn) closeIfIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	isNew := !c.everRead && time.Since(c.opened) < firstRequestWait
	if !c.idle || isNew || c.hasUnreadData() {
		return false
	}
	_ = c.Close() // it is closed either way
	return true
}

// unread tells whether bytes wait in the kernel.
func (c *callerConn) hasUnreadData() bool {
	waiting := false
	err := c.raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		waiting = err == nil && n > 0
	})
	return err == nil && waiting
}

// CloseWrite ends the answers and leaves reading open, as http.Server does with a caller that
// still sends a body that was refused: closed whole, its connection would be reset, perhaps
// before it has read the refusal.
func (c *callerConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *callerConn) Close() error {
	c.conns.remove(c)
	return c.Conn.Close()
}
