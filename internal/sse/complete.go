package sse

import (
	"strings"

	"github.com/cockroachdb/errors"

	"nutmeglane.example/nutmeglane/internal/framing"
)

// Why a stream is not complete although its framing ends.
var (
	ErrInsideEvent = errors.New("the stream ended inside an event")
	ErrInsideLine  = errors.New("the connection was closed inside a line of the stream")
	ErrNoEvent     = errors.New("the connection was closed before an event")
)

// mediaType is the content type of a stream of server-sent events.
const mediaType = "text/event-stream"

// IsMediaType reports whether a Content-Type is that of a stream of server-sent events.
func IsMediaType(contentType string) bool {
	name, _, _ := strings.Cut(contentType, ";")
	return strings.EqualFold(strings.TrimSpace(name), mediaType)
}

// Incomplete returns why a stream is not complete that ended as its framing says, nil if it is.
//
// The framing alone does not tell: a server that fails may end its response as usual, and if
// the response ends with its connection, each end looks like that. Therefore a stream that
// stops inside an event is never complete. If the connection marks the end, neither is one
// that stops inside a line, or that has no event.
func (s *Scanner) Incomplete(k framing.Kind) error {
	switch {
	case s.InsideEvent():
		return ErrInsideEvent
	case k == framing.UntilClose && s.InsideLine():
		return ErrInsideLine
	case k == framing.UntilClose && s.Events() == 0:
		return ErrNoEvent
	default:
		return nil
	}
}
