package gateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
)

// benchEvents are the events of one answer: requests of the users have 10 to 35.
const benchEvents = 14

// streamForever answers each request of a connection with a stream, one write an
// event, as engines do.
func streamForever(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		_, _ = io.WriteString(conn, answerHead(request.Header.Get("Nutmeglane-Request-Id"), streamHead))
		for i := 1; i <= benchEvents; i++ {
			_, _ = io.WriteString(conn, chunk(event(i)))
		}
		_, _ = io.WriteString(conn, "0\r\n\r\n")
	}
}

// BenchmarkStream is one streamed answer through the gateway over loopback,
// with its caller and server.
func BenchmarkStream(b *testing.B) {
	s := newSystem(b, streamForever)
	b.ReportAllocs()
	for i := range b.N {
		if status, _, err := s.call(http.MethodPost, "/stream/x", "r"+strconv.Itoa(i)); status != http.StatusOK || err != nil {
			b.Fatalf("status %d, %v", status, err)
		}
	}
}
