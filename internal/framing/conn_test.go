package framing

import (
	"io"
	"net"
	"strings"
	"syscall"
	"testing"

	"github.com/cockroachdb/errors"
)

// startConn returns a connection over which one side has sent the parts, each in a write of its own, and
// closed it.
func startConn(t *testing.T, parts ...string) *Conn {
	t.Helper()
	client, server := net.Pipe()
	t.Cleanup(func() { _ = client.Close() })
	go func() {
		defer func() { _ = server.Close() }()
		for _, part := range parts {
			if _, err := io.WriteString(server, part); err != nil {
				return
			}
		}
	}()
	return NewConn(client)
}

const (
	interimHead = "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"
	soundHead   = "HTTP/1.1 200 OK\nA: b\r\n c\r\n\r\n"
)

// Guards against a sound answer that is refused or changed because of how its bytes come.
func TestConnReturnsSoundHeads(t *testing.T) {
	const sent = interimHead + soundHead + "HTTP/1.1 000 body\r\n\r\n"
	for name, parts := range map[string][]string{"at once": {sent}, "byte by byte": strings.Split(sent, "")} {
		t.Run(name, func(t *testing.T) {
			conn := startConn(t, parts...)
			conn.BeginRequest(false)
			conn.EndRequest()
			if got, err := io.ReadAll(conn); string(got) != sent || err != nil {
				t.Errorf("%q, %v", got, err)
			}
		})
	}
}

// Guards against the head of a later response that isn't checked, because the read that receives it
// began before the request.
func TestConnChecksTheHeadOfEachResponse(t *testing.T) {
	conn := startConn(t, soundHead, "HTTP/1.1 000 X\r\n\r\n")
	conn.BeginRequest(false)
	head := make([]byte, len(soundHead))
	if _, err := io.ReadFull(conn, head); err != nil {
		t.Fatal(err)
	}
	conn.begun.Store(false)
	conn.Conn = beforeRead{conn.Conn, func() { conn.BeginRequest(false) }}
	for range 2 {
		if n, err := conn.Read(head); n != 0 || !errors.Is(err, ErrMalformed) {
			t.Errorf("%q, %v", head[:n], err)
		}
	}
}

// beforeRead calls a function in each read.
type beforeRead struct {
	net.Conn
	call func()
}

func (b beforeRead) Read(p []byte) (int, error) {
	b.call()
	return b.Conn.Read(p)
}

// Guards against a head that is taken for a complete one, or one without end that is kept.
func TestConnFailsAtAnIncompleteHead(t *testing.T) {
	for _, test := range []struct {
		sent []string
		want error
	}{
		{nil, nil},
		{[]string{"HTTP/1.1 200 OK\r\nA: b\r\n"}, io.ErrUnexpectedEOF},
		{[]string{"HTTP/1.1 200 OK\r\n", strings.Repeat("A: b\r\n", MaxHeadBytes)}, ErrHeadTooLong},
		{[]string{strings.Repeat(interimHead, MaxHeadBytes)}, ErrHeadTooLong},
		{[]string{"no answer"}, ErrMalformed},
	} {
		conn := startConn(t, test.sent...)
		conn.BeginRequest(false)
		if _, err := io.ReadAll(conn); !errors.Is(err, test.want) {
			t.Errorf("%.40q: %v, want %v", test.sent, err, test.want)
		}
	}
}

// failedWrite is a connection whose writes fail.
type failedWrite struct{ net.Conn }

func (failedWrite) Write([]byte) (int, error) { return 0, syscall.EPIPE }

// Guards against a part of a response that looks complete: the connection ended while its request was
// being written, or a write has taken the error of the reset.
func TestConnEndsInOrderOnlyAfterTheRequest(t *testing.T) {
	for _, test := range []struct {
		name    string
		request func(*Conn)
		want    error
	}{
		{"written", (*Conn).EndRequest, nil},
		{"written while the end is read", func(c *Conn) { go c.EndRequest() }, nil},
		{"write failed", func(c *Conn) {
			c.Conn = failedWrite{c.Conn}
			go func() { _, _ = c.Write(nil) }()
		}, syscall.ECONNRESET},
	} {
		t.Run(test.name, func(t *testing.T) {
			conn := startConn(t, soundHead+"part")
			conn.BeginRequest(false)
			test.request(conn)
			if got, err := io.ReadAll(conn); string(got) != soundHead+"part" || !errors.Is(err, test.want) {
				t.Errorf("%q, %v", got, err)
			}
		})
	}
}
