package framing_test

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"golang.org/x/net/http/httpguts"

	"nutmeglane.example/nutmeglane/internal/framing"
	"nutmeglane.example/nutmeglane/internal/framing/framingtest"
)

// received is a connection on which bytes have arrived.
type received struct {
	net.Conn
	io.Reader
}

func (r received) Read(p []byte) (int, error) { return r.Reader.Read(p) }

// Guards against a head that passes the check and that net/http reads in another way: refused, with
// a status that HTTP does not have, or with a field whose name is no token.
func FuzzHead(f *testing.F) {
	for _, test := range framingtest.MalformedHeads("A: b\r\n c\r\n", "body") {
		f.Add([]byte(test.Answer))
	}
	f.Add([]byte("HTTP/1.1 200 OK\nA: b\r\n\nHTTP/1.1 000 X\r\n\r\n"))
	f.Fuzz(func(t *testing.T, answer []byte) {
		conn := framing.NewConn(received{Reader: bytes.NewReader(answer)})
		conn.BeginRequest(false)
		conn.EndRequest()
		passed, _ := io.ReadAll(conn)
		if len(passed) == 0 {
			return
		}
		response, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(passed)), nil)
		switch {
		case err != nil && (strings.Contains(err.Error(), "Content-Length") || strings.Contains(err.Error(), "transfer encoding")):
			return // a sound head with a framing that is refused
		case err != nil:
			t.Fatalf("%q: %v", passed, err)
		}
		if response.StatusCode < 100 || response.StatusCode > 599 {
			t.Errorf("%q: status %d", passed, response.StatusCode)
		}
		for name := range response.Header {
			if !httpguts.ValidHeaderFieldName(name) {
				t.Errorf("%q: field %q", passed, name)
			}
		}
	})
}
