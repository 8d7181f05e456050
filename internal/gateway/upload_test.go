package gateway

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"nutmeglane.example/nutmeglane/internal/framing"
	"nutmeglane.example/nutmeglane/internal/framing/framingtest"
)

// upload sends a request with a body that its server does not read, over a connection of its own.
func (s *fixture) upload(path string) (raw string, err error) {
	return s.rawSend("POST " + path + " HTTP/1.1\r\nHost: callers.example\r\nNutmeglane-Request-Id: r1\r\nConnection: close\r\n" +
		fmt.Sprintf("Content-Length: %d\r\n\r\n", framingtest.UploadBytes) + strings.Repeat("u", framingtest.UploadBytes))
}

// readsOfUploads are how much a server reads of a request's body before it answers, in bytes.
var readsOfUploads = []int64{0, 1 << 20}

// Guards against a part of an answer that reaches its caller as complete: its server has not read the
// request to its end, and the write of the request takes the error of the reset.
func TestAnswerToAnUploadThatIsResetIsNotComplete(t *testing.T) {
	for name, test := range map[string]struct{ path, answer string }{
		"small":  {"/once/x", answerHead("r1", "") + "part"},
		"large":  {"/once/x", answerHead("r1", "") + strings.Repeat("part", maxBufferedBytes)},
		"stream": {"/once-stream/x", answerHead("r1", closeHead) + event(1) + event(2)},
	} {
		for _, read := range readsOfUploads {
			t.Run(fmt.Sprintf("%s, %d bytes read", name, read), func(t *testing.T) {
				s := newFixture(t, func(conn net.Conn) { framingtest.AnswerEarly(conn, test.answer, read, nil) })
				raw, err := s.upload(test.path)
				if got, err := parseAnswer(raw, err); strings.HasPrefix(raw, "HTTP/1.1 200") && err == nil {
					t.Errorf("the caller got %d bytes as complete", len(got))
				}
			})
		}
	}
}

// Guards against a refusal that its caller doesn't get because it came before the request was read: its
// end is marked.
func TestMarkedAnswerToAnUploadIsGiven(t *testing.T) {
	const refusal = "too large"
	for _, kind := range []framing.Kind{framing.Length, framing.Chunked} {
		t.Run(kind.String(), func(t *testing.T) {
			answer := framingtest.Response(kind, http.StatusRequestEntityTooLarge, sealed, refusal)
			s := newFixture(t, func(conn net.Conn) { framingtest.AnswerEarly(conn, answer, 0, nil) })
			raw, err := s.upload("/once/x")
			got, err := parseAnswer(raw, err)
			if !strings.HasPrefix(raw, "HTTP/1.1 413") || got != refusal || err != nil {
				t.Errorf("%q, %v", raw, err)
			}
		})
	}
}
