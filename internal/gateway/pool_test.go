package gateway

import (
	"context"
	"io"
	"net"
	"syscall"
	"testing"

	"github.com/cockroachdb/errors"
)

// listener accepts connections and hands them to the test.
func listener(t testing.TB) (address string, accepted chan net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	accepted = make(chan net.Conn, 16)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			accepted <- conn
		}
	}()
	return l.Addr().String(), accepted
}

func get(t *testing.T, p *pool, address string) *upstream {
	t.Helper()
	u, err := p.get(context.Background(), address, 4)
	if err != nil {
		t.Fatal(err)
	}
	return u
}

// A caller leaves while the path to the server is cut. Its request's bytes were
// delivered once the path healed, three seconds later, and the server ran a
// request that nobody waited for. A reset drops what has not arrived; the
// server sees it as an error, not as an orderly end.
func TestAbortedConnectionIsReset(t *testing.T) {
	address, accepted := listener(t)
	u := get(t, newPool(), address)
	server := <-accepted
	if _, err := u.Write([]byte("POST / HTTP/1.1\r\n")); err != nil {
		t.Fatal(err)
	}
	u.abort()
	if _, err := io.Copy(io.Discard, server); !errors.Is(err, syscall.ECONNRESET) {
		t.Fatalf("the server saw %v, want a reset", err)
	}
}

// A server closes an idle connection, or sends a second answer on it. The next
// request must go out on another connection: on the first it might run without
// an answer, or get the stray one.
func TestSpoiltIdleConnectionIsNotUsed(t *testing.T) {
	for name, spoil := range map[string]func(net.Conn) error{
		"closed": net.Conn.Close,
		"answered twice": func(c net.Conn) error {
			_, err := c.Write([]byte("HTTP/1.1 200 OK\r\n\r\n"))
			return err
		},
	} {
		t.Run(name, func(t *testing.T) {
			address, accepted := listener(t)
			p := newPool()
			first := get(t, p, address)
			server := <-accepted
			p.put(first, 0)
			if err := spoil(server); err != nil {
				t.Fatal(err)
			}
			// Waits until the end or the bytes have arrived, so that the test
			// does not race with the loopback.
			_, _ = first.reader.Peek(1)
			if again := get(t, p, address); again == first {
				t.Fatal("the spoilt connection was used again")
			}
		})
	}
}

// Connections to a server are shared by all routers: each must keep to its
// part, or the server resets what is above its limit.
func TestConnectionsAreBounded(t *testing.T) {
	address, _ := listener(t)
	p := newPool()
	for range 4 {
		get(t, p, address)
	}
	if _, err := p.get(context.Background(), address, 4); !errors.Is(err, errNoConnFree) {
		t.Fatalf("error %v, want errNoConnFree", err)
	}
}
