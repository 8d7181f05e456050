package gateway

import (
	"net/http"

	"nutmeglane.example/nutmeglane/internal/framing"
)

// given returns the framing of the response that was started, Unknown if none was.
func (c *call) given() framing.Kind {
	if !c.started {
		return framing.Unknown
	}
	return c.framingTo(c.writer.Header().Get("Content-Length") != "")
}

// framingTo returns the framing of a response to the caller, with a given length or without.
func (c *call) framingTo(measured bool) framing.Kind {
	switch {
	case measured:
		return framing.Length
	case c.request.ProtoAtLeast(1, 1):
		return framing.Chunked
	default:
		return framing.UntilClose
	}
}

// breakOff ends a response that was started and isn't complete, in a way that its caller can
// tell from its end. It does not return.
//
// net/http closes the connection without the mark of the framing. A response to HTTP/1.0 has no
// such mark: it ends with its connection, and only a reset tells a break.
func (c *call) breakOff() {
	if c.given() == framing.UntilClose {
		resetConn(c.writer)
	}
	panic(http.ErrAbortHandler)
}

// resetConn closes the connection of a response with a reset. What was written and has not been
// sent yet is lost.
func resetConn(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return // the connection is gone
	}
	if tcp, ok := conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = tcp.SetLinger(0) // fails only on a closed connection
	}
	_ = conn.Close()
}
