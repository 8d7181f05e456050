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
)

const (
	// dialTimeout bounds a connection to a backend server: a local network
	// answers within milliseconds, and a lost first packet is sent again after
	// a second, which is as long as a caller's objective.
	dialTimeout = 700 * time.Millisecond
	// unackedTimeout ends a connection whose bytes are not acknowledged. It
	// finds a host that lost power or a path that went silent.
	unackedTimeout = 2 * time.Second
	// idleLimit closes connections that were not used for long, unless the
	// server named a shorter time.
	idleLimit = 10 * time.Second
	// idleMargin is kept from the time that the server named: a request must
	// not cross the server's close.
	idleMargin = time.Second
	// readerBytes is the buffer of a connection; most events are below 1 KB.
	readerBytes = 4 << 10
)

var errNoConnFree = errors.New("all connections to the server are in use")

// pool holds the connections to backend servers.
type pool struct {
	mu    sync.Mutex
	hosts map[string]*hostConns
}

type hostConns struct {
	idle []*upstream
	open int
}

// upstream is a connection to a backend server. It serves one request at a
// time.
type upstream struct {
	net.Conn
	address string
	reader  *bufio.Reader
	used    bool
	// idleUntil is when it is too old for another request.
	idleUntil time.Time
	once      sync.Once
	pool      *pool
}

func newPool() *pool { return &pool{hosts: map[string]*hostConns{}} }

// get returns an idle connection, or dials one if there are fewer than most.
func (p *pool) get(ctx context.Context, address string, most int) (*upstream, error) {
	for {
		u, full := p.takeIdle(address, most)
		if full {
			return nil, errNoConnFree
		}
		if u == nil {
			break
		}
		if time.Now().Before(u.idleUntil) && u.quiet() {
			return u, nil
		}
		u.discard()
	}
	conn, err := dial(ctx, address)
	if err != nil {
		p.closed(address)
		return nil, err
	}
	return &upstream{Conn: conn, address: address, reader: bufio.NewReaderSize(conn, readerBytes), pool: p}, nil
}

// takeIdle takes the connection that was used last. Without one it counts a
// new one, unless the host is full.
func (p *pool) takeIdle(address string, most int) (u *upstream, full bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[address]
	if h == nil {
		h = &hostConns{}
		p.hosts[address] = h
	}
	if n := len(h.idle); n > 0 {
		u = h.idle[n-1]
		h.idle = h.idle[:n-1]
		return u, false
	}
	if h.open >= most {
		return nil, true
	}
	h.open++
	return nil, false
}

// put gives a connection back after an answer that ended cleanly.
func (p *pool) put(u *upstream, idle time.Duration) {
	if idle == 0 || idle > idleLimit {
		idle = idleLimit
	} else {
		idle -= idleMargin
	}
	if idle <= 0 || u.reader.Buffered() > 0 {
		u.discard()
		return
	}
	u.used = true
	u.idleUntil = time.Now().Add(idle)
	_ = u.SetDeadline(time.Time{}) // fails only on a closed connection, which quiet finds
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[u.address]
	h.idle = append(h.idle, u)
}

func (p *pool) closed(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[address]
	h.open--
	if h.open == 0 {
		delete(p.hosts, address)
	}
}

// dropIdle closes the idle connections to a server that did not answer: what
// silenced one connection may have silenced all.
func (p *pool) dropIdle(address string) {
	p.mu.Lock()
	var idle []*upstream
	if h := p.hosts[address]; h != nil {
		idle, h.idle = h.idle, nil
	}
	p.mu.Unlock()
	for _, u := range idle {
		u.discard()
	}
}

// sweep closes connections that were idle for too long.
func (p *pool) sweep(now time.Time) {
	p.mu.Lock()
	var old []*upstream
	for _, h := range p.hosts {
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
// It guards against a request that arrives after its caller has left: behind a
// path that is cut, its bytes wait in our socket, and an ordinary close sends
// them first once the path heals. The server would run it for nobody, and a
// caller who came back would have two runs. A reset drops them.
func (u *upstream) abort() {
	if tcp, ok := u.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only on a closed connection
	}
	u.discard()
}

// discard closes a connection for good.
func (u *upstream) discard() {
	u.once.Do(func() {
		_ = u.Close()
		u.pool.closed(u.address)
	})
}

// quiet tells that the server has neither closed the connection nor sent
// anything unasked, without taking anything from it.
//
// It guards against a server that closed an idle connection, or that sent a
// second answer on it: a request sent then may or may not run, and the stray
// answer would be taken for its own.
func (u *upstream) quiet() bool {
	if u.reader.Buffered() > 0 {
		return false
	}
	raw, ok := u.Conn.(syscall.Conn)
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
