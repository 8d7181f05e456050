// Package relay is a TCP proxy on loopback for tests. It simulates faults of the
// network between two processes: connections are delayed, reset, blocked in one
// or both directions, or silently dropped.
package relay

import (
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// copyBytes is the maximum size of a read from a connection.
const copyBytes = 32 << 10

// Direction is a direction of transfer through a relay.
type Direction uint8

// The directions, from the point of view of the dialler.
const (
	// In is the direction from the dialler to the target.
	In Direction = iota
	// Out is the direction from the target to the dialler.
	Out
)

// Relay forwards connections to a target. Its methods are safe for concurrent
// use.
type Relay struct {
	listener net.Listener
	dial     func() (net.Conn, error)
	tasks    sync.WaitGroup

	mu sync.Mutex
	// changed is signalled when a cut or the relay ends.
	changed *sync.Cond
	closed  bool
	held    [2]bool
	delay   time.Duration
	conns   map[*conn]bool
}

// conn is one connection through a relay.
type conn struct {
	dialler, target net.Conn
	// silent marks directions that read and discard all bytes and don't
	// forward the end of the connection.
	silent [2]bool
}

// New listens on address, "IP:port", and forwards each connection to the one that
// dial returns. If dial fails, the incoming connection is closed.
func New(address string, dial func() (net.Conn, error)) (*Relay, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "relay")
	}
	r := &Relay{listener: listener, dial: dial, conns: map[*conn]bool{}}
	r.changed = sync.NewCond(&r.mu)
	r.tasks.Go(r.serve)
	return r, nil
}

// DialTo returns a dial function for a fixed target, "IP:port".
func DialTo(target string) func() (net.Conn, error) {
	return func() (net.Conn, error) { return net.Dial("tcp", target) }
}

// Address returns the relay's "IP:port".
func (r *Relay) Address() string { return r.listener.Addr().String() }

// Close closes all connections and waits for the relay's goroutines.
func (r *Relay) Close() {
	_ = r.listener.Close()
	r.mu.Lock()
	r.closed = true
	for c := range r.conns {
		c.close()
	}
	r.changed.Broadcast()
	r.mu.Unlock()
	r.tasks.Wait()
}

// Cut blocks all bytes in one direction, on open and new connections, until Heal.
// No bytes are lost, as on a path that drops packets temporarily.
func (r *Relay) Cut(direction Direction) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.held[direction] = true
}

// Delay delays the bytes of each read by d.
func (r *Relay) Delay(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = d
}

// Heal ends cuts and delays. Silenced connections remain silent.
func (r *Relay) Heal() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.held, r.delay = [2]bool{}, 0
	r.changed.Broadcast()
}

// Silence makes the open connections permanently discard all bytes in a
// direction. New connections are not affected.
func (r *Relay) Silence(direction Direction) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		c.silent[direction] = true
	}
}

// Reset resets the open connections (TCP RST).
func (r *Relay) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		for _, end := range []net.Conn{c.dialler, c.target} {
			if tcp, ok := end.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0) // fails only on a closed connection
			}
		}
		c.close()
	}
}

func (r *Relay) serve() {
	for {
		dialler, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.tasks.Go(func() { r.forward(dialler) })
	}
}

func (r *Relay) forward(dialler net.Conn) {
	target, err := r.dial()
	if err != nil {
		_ = dialler.Close()
		return
	}
	c := &conn{dialler: dialler, target: target}
	if !r.add(c) {
		c.close()
		return
	}
	defer r.remove(c)
	var copiers sync.WaitGroup
	copiers.Go(func() { r.copy(c, target, dialler, In) })
	copiers.Go(func() { r.copy(c, dialler, target, Out) })
	copiers.Wait()
}

// add registers a connection. It returns false if the relay is closed.
func (r *Relay) add(c *conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return false
	}
	r.conns[c] = true
	return true
}

func (r *Relay) remove(c *conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, c)
	c.close()
}

func (r *Relay) copy(c *conn, to, from net.Conn, direction Direction) {
	buffer := make([]byte, copyBytes)
	for {
		n, err := from.Read(buffer)
		if r.awaitPassage(c, direction) {
			if err != nil {
				return
			}
			continue
		}
		if n > 0 {
			if _, failed := to.Write(buffer[:n]); failed != nil {
				err = failed
			}
		}
		if err != nil {
			c.close()
			return
		}
	}
}

// awaitPassage waits for the end of a cut and for the delay. It reports whether
// the direction is silent, so that the bytes are to be discarded.
func (r *Relay) awaitPassage(c *conn, direction Direction) bool {
	r.mu.Lock()
	for r.held[direction] && !r.closed {
		r.changed.Wait()
	}
	silent, delay := c.silent[direction], r.delay
	r.mu.Unlock()
	if delay > 0 {
		time.Sleep(delay)
	}
	return silent
}

func (c *conn) close() {
	_ = c.dialler.Close()
	_ = c.target.Close()
}
