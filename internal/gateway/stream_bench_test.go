package gateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
)

// benchEvents is the number of events in a response; real responses have 10 to 35.
const benchEvents = 14

// serveStreams responds to each request of a connection with a stream, with one write per
// event, as engines do.
func serveStreams(conn net.Conn) {
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

// BenchmarkStream measures a streamed response through the gateway over loopback, including
// the caller and the server.
func BenchmarkStream(b *testing.B) {
	s := newFixture(b, serveStreams)
	b.ReportAllocs()
	for i := range b.N {
		if status, _, err := s.call(http.MethodPost, "/stream/x", "r"+strconv.Itoa(i)); status != http.StatusOK || err != nil {
			b.Fatalf("status %d, %v", status, err)
		}
	}
}
