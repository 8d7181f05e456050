package gateway

import (
	"bufio"
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"nutmeglane.example/nutmeglane/internal/framing"
)

const (
	// dialTimeout is the timeout for connecting to a backend server. A local network
	// responds within milliseconds. A lost SYN packet would only be retransmitted after 1 s,
	// which is as long as a caller's latency objective.
	dialTimeout = 700 * time.Millisecond
	// unackedTimeout closes a connection whose data is not acknowledged (TCP_USER_TIMEOUT).
	// It detects a host that lost power or a network path that drops all packets.
	unackedTimeout = 2 * time.Second
	// maxIdle is the time after which an idle connection is closed, unless the server
	// announced a shorter one.
	maxIdle = 10 * time.Second
	// idleMargin is subtracted from the time that the server announced, so that a request is
	// not sent while the server closes the connection.
	idleMargin = time.Second
	// readerBytes is the size of a connection's read buffer; most events are below 1 KB.
	readerBytes = 4 << 10
)

var errConnLimit = errors.New("all connections to the server are in use")

// pool manages the connections to backend servers, by address. It is safe for concurrent use.
type pool struct {
	mu      sync.Mutex
	servers map[string]*serverConns
}

// serverConns are the connections to one server. open counts those in use and the idle ones.
type serverConns struct {
	idle []*upstream
	open int
}

// upstream is a connection to a backend server. It is used for one request at a time.
type upstream struct {
	*boundedConn
	address string
	// responses is the connection below the bound; it checks the heads of responses.
	responses *framing.Conn
	reader    *bufio.Reader
	// used is set after the first complete response.
	used bool
	// idleUntil is the time after which an idle connection is not used again.
	idleUntil time.Time
	once      sync.Once
	pool      *pool
}

func newPool() *pool { return &pool{servers: map[string]*serverConns{}} }

// get returns an idle connection, or opens a new one if fewer than maxConns are open.
// Otherwise it returns errConnLimit.
func (p *pool) get(ctx context.Context, address string, maxConns int) (*upstream, error) {
	for {
		u, full := p.takeIdle(address, maxConns)
		if full {
			return nil, errConnLimit
		}
		if u == nil {
			break
		}
		if time.Now().Before(u.idleUntil) && u.usable() {
			return u, nil
		}
		u.discard()
	}
	conn, err := dial(ctx, address)
	if err != nil {
		p.connClosed(address)
		return nil, err
	}
	responses := framing.NewConn(conn)
	bounded := &boundedConn{Conn: responses}
	return &upstream{boundedConn: bounded, address: address, responses: responses, reader: bufio.NewReaderSize(bounded, readerBytes), pool: p}, nil
}

// takeIdle removes and returns the idle connection that was used last. If there is none, it
// returns nil and counts a new connection as open, unless maxConns are open already.
func (p *pool) takeIdle(address string, maxConns int) (u *upstream, full bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.servers[address]
	if h == nil {
		h = &serverConns{}
		p.servers[address] = h
	}
	if n := len(h.idle); n > 0 {
		u = h.idle[n-1]
		h.idle = h.idle[:n-1]
		return u, false
	}
	if h.open >= maxConns {
		return nil, true
	}
	h.open++
	return nil, false
}

// put returns a connection to the pool after a complete response. idle is the time that the
// server keeps it open, 0 if unknown.
func (p *pool) put(u *upstream, idle time.Duration) {
	if idle == 0 || idle > maxIdle {
		idle = maxIdle
	} else {
		idle -= idleMargin
	}
	if idle <= 0 || u.unread() {
		u.discard()
		return
	}
	u.used = true
	u.idleUntil = time.Now().Add(idle)
	_ = u.SetDeadline(time.Time{}) // fails only on a closed connection, which usable detects
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.servers[u.address]
	h.idle = append(h.idle, u)
}

func (p *pool) connClosed(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.servers[address]
	h.open--
	if h.open == 0 {
		delete(p.servers, address)
	}
}

// dropIdle closes the idle connections to a server that did not respond or was restarted. What
// made one connection unresponsive may affect all of them.
func (p *pool) dropIdle(address string) {
	p.mu.Lock()
	var idle []*upstream
	if h := p.servers[address]; h != nil {
		idle, h.idle = h.idle, nil
	}
	p.mu.Unlock()
	for _, u := range idle {
		u.discard()
	}
}

// sweep closes the connections whose idle timeout has expired.
func (p *pool) sweep(now time.Time) {
	p.mu.Lock()
	var old []*upstream
	for _, h := range p.servers {
		kept := h.idle[:0]
		for _, u := range h.idle {
			if now.Before(u.idleUntil) {
				kept = append(kept, u)
			} else {
				old = append(old, u)
			}
		}
		h.idle = kept
	}
	p.mu.Unlock()
	for _, u := range old {
		u.discard()
	}
}

// abort resets a connection whose request has not ended.
//
// While a network path is interrupted, the request's bytes wait in the socket's send buffer.
// An ordinary close would deliver them when the path recovers, after the caller has
// disconnected: the server would execute the request without a recipient, and a second time
// for a caller who retries. A reset discards the bytes.
func (u *upstream) abort() {
	if tcp, ok := u.responses.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only on a closed connection
	}
	u.discard()
}

// discard closes a connection and removes it from the pool's count. It may be called repeatedly.
func (u *upstream) discard() {
	u.once.Do(func() {
		_ = u.Close()
		u.pool.connClosed(u.address)
	})
}

// usable reports whether the server has neither closed the idle connection nor sent unexpected
// data on it. It does not consume any data.
//
// A request on a closed connection may or may not be executed. A second response that a faulty
// server sent on the idle connection would be taken for the response to the next request.
func (u *upstream) usable() bool {
	if u.unread() {
		return false
	}
	raw, ok := u.responses.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	rawConn, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	var b [1]byte
	err = rawConn.Read(func(fd uintptr) bool {
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// unread reports whether more was received than the last response.
func (u *upstream) unread() bool { return u.reader.Buffered()+u.responses.Buffered() > 0 }

// expectHead announces that another response to the same request follows.
func (u *upstream) expectHead() {
	unread, _ := u.reader.Peek(u.reader.Buffered()) // can't fail: the bytes are there
	u.responses.ExpectHead(unread)
	u.reader.Reset(u.boundedConn)
	u.allow(framing.MaxHeadBytes)
}

func dial(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, Control: setUnackedTimeout, KeepAlive: -1}
	return dialer.DialContext(ctx, "tcp", address)
}

func setUnackedTimeout(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	return errors.CombineErrors(err, failed)
}
