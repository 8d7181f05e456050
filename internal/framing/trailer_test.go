package framing

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"
)

// Guards against a server's end that isn't noticed: its connection was closed behind the last
// chunk, before the line that ends the response.
func TestEndOfAChunkedBodyThatStopsBehindItsLastChunk(t *testing.T) {
	for _, rest := range []string{"", "0", "0\r", "0\r\n", "0\r\n\r", "0\r\nX-Sum: 1", "0\r\nX-Sum: 1\r\n"} {
		raw := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n" + rest
		response, err := http.ReadResponse(bufio.NewReader(strings.NewReader(raw)), nil)
		if err != nil {
			t.Fatal(err)
		}
		_, err = io.Copy(io.Discard, response.Body)
		if got := EndOf(Chunked, err); got != Closed {
			t.Errorf("%q: %v (%v), want %v", rest, got, err, Closed)
		}
	}
}
