package wire

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
)

// relay is a TCP relay. It can drop all bytes in one direction of its newest
// connection while both TCP connections stay open and later connections work.
type relay struct {
	net.Listener
	target string
	mu     sync.Mutex
	// up and down, if true, drop the newest connection's bytes to and from the target.
	up, down *atomic.Bool
}

func newRelay(t *testing.T, target string) *relay {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{Listener: listener, target: target}
	t.Cleanup(func() { listener.Close() })
	go r.run()
	return r
}

func (r *relay) run() {
	for {
		client, err := r.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", r.target)
		if err != nil {
			client.Close()
			continue
		}
		up, down := &atomic.Bool{}, &atomic.Bool{}
		r.mu.Lock()
		r.up, r.down = up, down
		r.mu.Unlock()
		go forward(server, client, up)
		go forward(client, server, down)
	}
}

// forward copies bytes, and closes to at the end of from unless the bytes are dropped:
// a lost path loses the end of the stream too.
func forward(to, from net.Conn, drop *atomic.Bool) {
	io.Copy(writerFunc(func(p []byte) (int, error) {
		if drop.Load() {
			return len(p), nil
		}
		return to.Write(p)
	}), from)
	if !drop.Load() {
		to.Close()
	}
	from.Close()
}

type writerFunc func([]byte) (int, error)

func (f writerFunc) Write(p []byte) (int, error) { return f(p) }

// blackHole drops all bytes in one direction of the newest connection: to the target
// if up is set, else from it.
func (r *relay) blackHole(up bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.up.Store(up)
	r.down.Store(!up)
}
