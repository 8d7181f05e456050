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
	// drainPollInterval is the interval at which idle connections are closed while the
	// process stops: a tenth of the time within which a caller can get an answer on a
	// new connection.
	drainPollInterval = 20 * time.Millisecond
	// firstRequestWait is how long a new connection without a request is not considered
	// idle, because its first request may be in transit.
	firstRequestWait = time.Second
)

// callerConns tracks the connections of a server, so that it can be stopped without
// losing a request.
//
// http.Server.Shutdown is not used because it closes connections while their next
// request is being read: until the header has been parsed it treats the connection as
// idle. On a host with a busy processor parsing is delayed by a tenth of a second or
// more; the caller then sees its connection close after the request was read and can't
// determine whether it ran. Here reading and closing are mutually exclusive: a
// connection is never closed if a byte was read since its last answer or is available
// in the kernel.
//
// It also prevents resets for callers that connect while the process stops: of
// connections in the kernel's accept queue when the listener closes, and of a
// connection whose first request has not arrived yet.
type callerConns struct {
	listener net.Listener
	// accepts reports whether a new connection is to be accepted; the others are closed unread.
	// It is not asked while connections are drained, nil accepts all.
	accepts func() bool

	// draining is set once connections are to be closed after their answers.
	draining atomic.Bool

	// limit bounds the number of connections; nil without a limit.
	limit *connLimit

	mu   sync.Mutex
	open map[*callerConn]struct{}
}

func newCallerConns() *callerConns { return &callerConns{open: map[*callerConn]struct{}{}} }

// serve makes a server use the connections. It is called once, before the server starts.
func (c *callerConns) serve(server *http.Server) {
	server.ConnState = c.state
	withConn := server.ConnContext
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		if withConn != nil {
			ctx = withConn(ctx, conn)
		}
		return context.WithValue(ctx, callerConnKey{}, callerConnOf(conn))
	}
	server.Handler = serveOpenConns(server.Handler)
}

// callerConnKey is the key of a request's connection in its context.
type callerConnKey struct{}

// callerConnOf returns the connection below TLS, nil if it is not a caller's.
func callerConnOf(conn net.Conn) *callerConn {
	if secure, ok := conn.(*tls.Conn); ok {
		conn = secure.NetConn()
	}
	caller, _ := conn.(*callerConn)
	return caller
}

// wrap returns a listener whose connections are tracked. It is called once.
func (c *callerConns) wrap(l net.Listener) net.Listener {
	c.listener = l
	return callerListener{l, c}
}

// onStateChange is the server's ConnState hook.
func (c *callerConns) state(conn net.Conn, onStateChange http.ConnState) {
	if caller := callerConnOf(conn); caller != nil && onStateChange == http.StateIdle {
		caller.setIdle()
	}
}

// drain closes the listener once its accept queue is empty, then connections as they
// become idle, until none is left or ctx ends.
func (c *callerConns) drain(ctx context.Context) error {
	c.draining.Store(true)
	if c.listener != nil {
		for c.hasPendingConn() && ctx.Err() == nil {
			sleep(ctx, drainPollInterval)
		}
		_ = c.listener.Close() // an error would change nothing
	}
	for c.closeIdle() > 0 {
		if err := ctx.Err(); err != nil {
			return errors.Wrapf(err, "%d connections still have requests", c.closeIdle())
		}
		sleep(ctx, drainPollInterval)
	}
	return nil
}

// hasPendingConn reports whether the kernel's accept queue has a connection.
func (c *callerConns) hasPendingConn() bool {
	withFD, ok := c.listener.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := withFD.SyscallConn()
	if err != nil {
		return false
	}
	pending := false
	err = raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		n, err := unix.Poll(fds, 0)
		pending = err == nil && n > 0 && fds[0].Revents&unix.POLLIN != 0
	})
	return err == nil && pending
}

// closeIdle closes the connections without a request and returns the number of
// those that remain open.
func (c *callerConns) closeIdle() int {
	left := 0
	for _, conn := range c.conns() {
		if !conn.closeIfIdle() {
			left++
		}
	}
	return left
}

// conns returns the open connections. They must not be used under c.mu, which their closing takes.
func (c *callerConns) conns() []*callerConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	conns := make([]*callerConn, 0, len(c.open))
	for conn := range c.open {
		conns = append(conns, conn)
	}
	return conns
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

// Accept implements net.Listener. It closes connections that are not to be accepted.
func (l callerListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.accept()
		if err != nil || l.conns.mayAccept() {
			return conn, err
		}
		_ = conn.Close() // after an error it is closed as well
	}
}

// mayAccept reports whether a connection that has just been opened, and is counted, stays.
func (c *callerConns) mayAccept() bool {
	if c.draining.Load() {
		return true
	}
	return (c.accepts == nil || c.accepts()) && c.limit.makeRoom(c)
}

func (l callerListener) accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if errors.Is(err, net.ErrClosed) {
		return nil, http.ErrServerClosed // drain closed the listener; Serve has not failed
	}
	if err != nil {
		return nil, err
	}
	withFD, ok := conn.(syscall.Conn)
	if !ok {
		return nil, errors.Newf("connection of type %T has no file descriptor", conn)
	}
	raw, err := withFD.SyscallConn()
	if err != nil {
		return nil, errors.Wrap(err, "file descriptor of connection")
	}
	now := time.Now()
	caller := &callerConn{Conn: conn, raw: raw, conns: l.conns, opened: now, idle: true, idleSince: now}
	l.conns.mu.Lock()
	l.conns.open[caller] = struct{}{}
	l.conns.mu.Unlock()
	return caller, nil
}

// callerConn is a caller's connection that tracks whether it is idle.
type callerConn struct {
	net.Conn
	raw    syscall.RawConn
	conns  *callerConns
	opened time.Time

	mu sync.Mutex
	// everRead is set once a byte was read; idle is set while no byte was read since
	// the last answer.
	everRead, idle bool
	// closing is set once the connection is to be closed and nothing may be read from it.
	closing bool
	// serving is set while a handler serves a request. idleSince is when the connection was opened
	// or last answered.
	serving   bool
	idleSince time.Time
	// writes are the deadlines of writing.
	writes writeDeadlines
}

// Read implements net.Conn. It reads from the kernel and clears the idle state
// atomically, under the lock.
func (c *callerConn) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	var n int
	var readErr error
	err := c.raw.Read(func(fd uintptr) bool {
		n, readErr = c.readFD(int(fd), p)
		return readErr != syscall.EAGAIN
	})
	switch {
	case err != nil:
		return 0, err
	case readErr != nil:
		return 0, &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: os.NewSyscallError("read", readErr)}
	case n == 0:
		return 0, io.EOF
	}
	return n, nil
}

func (c *callerConn) readFD(fd int, p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return 0, syscall.ECONNABORTED
	}
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

// setIdle records that the last request was answered. While connections are drained,
// it closes the connection.
//
// Otherwise a request could be accepted long after the shutdown began: the head of a
// stream that was sent before then keeps the connection alive, and the caller's next
// stream on it would be aborted at the stop limit. A request that the caller has sent
// by the time of closing was not read, from which the caller can infer that it did
// not run.
func (c *callerConn) setIdle() {
	c.mu.Lock()
	c.idle, c.serving, c.idleSince = true, false, time.Now()
	c.closing = c.closing || c.conns.draining.Load()
	closing := c.closing
	c.mu.Unlock()
	if closing {
		_ = c.Close() // after an error it is closed as well
	}
}

// closeIfIdle closes the connection unless it has a request or is new, and reports
// whether it did.
func (c *callerConn) closeIfIdle() bool {
	return c.closeIf(func() bool {
		isNew := !c.everRead && time.Since(c.opened) < firstRequestWait
		return c.idle && !isNew && !c.hasUnreadData()
	})
}

// closeIf closes the connection if a condition holds, which is checked under the lock, and reports
// whether it did. Nothing is read after the check.
//
// It closes without the lock: closing waits until no read is in progress, and a read that begins at
// that moment waits for the lock.
func (c *callerConn) closeIf(condition func() bool) bool {
	c.mu.Lock()
	c.closing = c.closing || condition()
	closing := c.closing
	c.mu.Unlock()
	if closing {
		_ = c.Close() // after an error it is closed as well
	}
	return closing
}

// hasUnreadData reports whether the kernel has received bytes that were not read.
func (c *callerConn) hasUnreadData() bool {
	available := false
	err := c.raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		available = err == nil && n > 0
	})
	return err == nil && available
}

// CloseWrite closes the connection for writing only. http.Server calls it while a caller is
// still sending a body that was refused: closing the connection completely would reset it,
// possibly before the caller has read the refusal.
func (c *callerConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// SetLinger sets what Close does with data that has not been sent, as for a TCP connection. The
// gateway uses it to reset a connection.
func (c *callerConn) SetLinger(seconds int) error {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return errors.Newf("connection of type %T has no linger option", c.Conn)
	}
	return tcp.SetLinger(seconds)
}

// Close implements net.Conn.
func (c *callerConn) Close() error {
	c.conns.remove(c)
	return c.Conn.Close()
}
