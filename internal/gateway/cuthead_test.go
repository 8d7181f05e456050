package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
)

// Guards against a success with an empty or short body, framed as whole, for an answer whose server
// closed the connection in the middle of its head or its body, at any byte.
func TestAnswerCutAtAnyByteIsNoSuccess(t *testing.T) {
	const body = "the whole answer"
	heads := map[string]string{
		"length":             fmt.Sprintf("Content-Type: text/plain\r\nContent-Length: %d\r\n", len(body)),
		"chunked":            "Content-Type: text/plain\r\nTransfer-Encoding: chunked\r\n",
		"until close":        "Content-Type: text/plain\r\n",
		"stream":             chunkedHead,
		"stream until close": closeHead,
	}
	for name, head := range heads {
		for _, path := range []string{"/once/x", "/once-stream/x"} {
			t.Run(name+path, func(t *testing.T) {
				t.Parallel()
				whole := answerHead("r1", head) + body
				if strings.Contains(head, "chunked") {
					whole = answerHead("r1", head) + chunk(body) + "0\r\n\r\n"
				}
				for cut := range len(answerHead("r1", head)) {
					raw, end := newFixture(t, serveOnce(whole[:cut])).rawCall("HTTP/1.1", path)
					if strings.HasPrefix(raw, "HTTP/1.1 200") {
						got, err := parseAnswer(raw, end)
						t.Fatalf("cut at byte %d: status %d with %q, %v", cut, http.StatusOK, got, err)
					}
				}
			})
		}
	}
}
