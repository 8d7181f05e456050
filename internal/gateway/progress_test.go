package gateway

import (
	"bytes"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
)

// Guards against a cut stream whose line does not tell what its caller had been given.
func TestLineOfACutStreamTellsWhatItsCallerHad(t *testing.T) {
	s := newFixture(t, func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		readRequest(conn)
		_, _ = io.WriteString(conn, answerHead("r1", streamHead)+chunk(event(1)+event(2))+chunk(event(3)))
	})
	var log bytes.Buffer
	s.gateway.opts.Requests = slog.New(slog.NewTextHandler(&log, nil))
	if _, _, err := s.call(http.MethodPost, "/once-stream/x", "r1"); err == nil {
		t.Fatal("the stream counts as whole")
	}
	s.gateway.mu.Lock()
	defer s.gateway.mu.Unlock()
	for _, want := range []string{"request ended without", "events=3", "bytes=48", "silent_for=", `stage="between attempts, answer begun"`, "broken off after"} {
		if !strings.Contains(log.String(), want) {
			t.Errorf("%q is missing: %s", want, log.String())
		}
	}
}
