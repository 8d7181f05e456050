package framing

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"

	"github.com/cockroachdb/errors"
)

func TestOf(t *testing.T) {
	tests := []struct {
		method, response string
		want             Kind
	}{
		{http.MethodGet, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", Length},
		{http.MethodGet, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", Chunked},
		{http.MethodGet, "HTTP/1.1 200 OK\r\n\r\nok", UntilClose},
		{http.MethodGet, "HTTP/1.0 200 OK\r\n\r\nok", UntilClose},
		{http.MethodGet, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nok", UntilClose},
		{http.MethodGet, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", NoBody},
		{http.MethodGet, "HTTP/1.1 204 No Content\r\n\r\n", NoBody},
		{http.MethodGet, "HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n", NoBody},
		{http.MethodHead, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n", NoBody},
	}
	for _, test := range tests {
		request, err := http.NewRequest(test.method, "http://x/", nil)
		if err != nil {
			t.Fatal(err)
		}
		response, err := http.ReadResponse(bufio.NewReader(strings.NewReader(test.response)), request)
		if err != nil {
			t.Fatal(err)
		}
		if got := Of(response); got != test.want {
			t.Errorf("%s %q: %v, want %v", test.method, test.response, got, test.want)
		}
		_ = response.Body.Close()
	}
}

func TestEndOf(t *testing.T) {
	reset := &net.OpError{Op: "read", Err: os.NewSyscallError("read", syscall.ECONNRESET)}
	tests := []struct {
		kind Kind
		err  error
		want End
	}{
		{Length, nil, NotEnded},
		{Length, io.EOF, Marked},
		{Chunked, io.EOF, Marked},
		{NoBody, io.EOF, Marked},
		{UntilClose, io.EOF, Closed},
		{Unknown, errors.Wrap(io.EOF, "read answer"), Closed},
		{Length, io.ErrUnexpectedEOF, Closed},
		{Chunked, io.ErrUnexpectedEOF, Closed},
		{UntilClose, errors.Wrap(reset, "read body"), Reset},
		{Chunked, os.ErrDeadlineExceeded, TimedOut},
		{UntilClose, syscall.ETIMEDOUT, TimedOut},
		{UntilClose, net.ErrClosed, Aborted},
		{Chunked, errors.New("malformed chunked encoding"), Malformed},
	}
	for _, test := range tests {
		if got := EndOf(test.kind, test.err); got != test.want {
			t.Errorf("%v, %v: %v, want %v", test.kind, test.err, got, test.want)
		}
	}
}
