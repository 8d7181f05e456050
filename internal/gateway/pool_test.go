package gateway

import (
	"context"
	"io"
	"net"
	"syscall"
	"testing"

	"github.com/cockroachdb/errors"
)

// listen accepts connections on a local address and passes them to the test.
func listen(t testing.TB) (address string, accepted chan net.Conn) {
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

func mustGet(t *testing.T, p *pool, address string) *upstream {
	t.Helper()
	u, err := p.get(context.Background(), address, 4)
	if err != nil {
		t.Fatal(err)
	}
	return u
}

// A caller disconnects while the network path to the server is interrupted. With an ordinary
// close, the request's bytes are delivered when the path recovers, for example 3 s later, and the
// server executes a request without a recipient. The connection must be reset: this discards
// undelivered data, and the server gets an error instead of the end of the stream.
func TestAbortedConnectionIsReset(t *testing.T) {
	address, accepted := listen(t)
	u := mustGet(t, newPool(), address)
	server := <-accepted
	if _, err := u.Write([]byte("POST / HTTP/1.1\r\n")); err != nil {
		t.Fatal(err)
	}
	u.abort()
	if _, err := io.Copy(io.Discard, server); !errors.Is(err, syscall.ECONNRESET) {
		t.Fatalf("the server saw %v, want a reset", err)
	}
}

// A server closes an idle connection or sends a second response on it. The next request must
// use another connection: on the first one, it might be executed without a response, or get
// the wrong one.
func TestUnusableIdleConnectionIsNotReused(t *testing.T) {
	for name, disturb := range map[string]func(net.Conn) error{
		"closed": net.Conn.Close,
		"answered twice": func(c net.Conn) error {
			_, err := c.Write([]byte("HTTP/1.1 200 OK\r\n\r\n"))
			return err
		},
	} {
		t.Run(name, func(t *testing.T) {
			address, accepted := listen(t)
			p := newPool()
			first := mustGet(t, p, address)
			server := <-accepted
			p.put(first, 0)
			if err := disturb(server); err != nil {
				t.Fatal(err)
			}
			// Waits until the end of the stream or the bytes have arrived over loopback.
			_, _ = first.reader.Peek(1)
			if again := mustGet(t, p, address); again == first {
				t.Fatal("the unusable connection was used again")
			}
		})
	}
}

// All routers share the connection limit of a server. Each must keep to its share, or the
// server resets the connections above its limit.
func TestConnectionsAreBounded(t *testing.T) {
	address, _ := listen(t)
	p := newPool()
	for range 4 {
		mustGet(t, p, address)
	}
	if _, err := p.get(context.Background(), address, 4); !errors.Is(err, errConnLimit) {
		t.Fatalf("error %v, want errNoConnFree", err)
	}
}
