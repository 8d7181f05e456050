package gateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"nutmeglane.example/nutmeglane/internal/clock"
	"nutmeglane.example/nutmeglane/internal/router"
)

// Guards against a request whose body ends late in a stop and that is passed on though its answer could
// be cut: it is refused as not run.
func TestUploadThatEndsLateInAStopIsRefused(t *testing.T) {
	for _, path := range []string{"/once/x", "/once-stream/x", "/again/x"} {
		t.Run(path, func(t *testing.T) {
			s := newFixture(t, func(net.Conn) { t.Error("passed on") })
			conn, err := net.Dial("tcp", s.callers.Listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			send := func(part string) {
				if _, err := io.WriteString(conn, part); err != nil {
					t.Fatal(err)
				}
			}
			send("POST " + path + " HTTP/1.1\r\nHost: callers.example\r\nNutmeglane-Request-Id: r1\r\nContent-Length: 4\r\n\r\nno")
			s.gateway.Stop()
			s.gateway.Step(router.Stopping{Until: clock.Now().Add(time.Second)})
			send("te")
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Fatal(err)
			}
			if response.StatusCode != http.StatusServiceUnavailable || !response.Close {
				t.Errorf("status %d, closes %t", response.StatusCode, response.Close)
			}
		})
	}
}
