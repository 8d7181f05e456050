package sse

import (
	"testing"

	"github.com/cockroachdb/errors"

	"nutmeglane.example/nutmeglane/internal/framing"
)

// Guards against a part of a stream that counts as the whole one, and against the reverse.
func TestIncomplete(t *testing.T) {
	const event = "id: 1\ndata: a\n\n"
	tests := []struct {
		stream             string
		marked, untilClose error
	}{
		{event, nil, nil},
		{event + ": end\n", nil, nil},
		{event + "id: 2\n", ErrInsideEvent, ErrInsideEvent},
		{event + "i", ErrInsideEvent, ErrInsideEvent},
		{event + ": en", nil, ErrInsideLine},
		{"data: a\r\n\r", nil, ErrInsideLine},
		{"", nil, ErrNoEvent},
		{": hello\n\n", nil, ErrNoEvent},
	}
	for _, test := range tests {
		s := &Scanner{}
		s.Feed([]byte(test.stream))
		for kind, want := range map[framing.Kind]error{
			framing.Length: test.marked, framing.Chunked: test.marked, framing.UntilClose: test.untilClose,
		} {
			if got := s.Incomplete(kind); !errors.Is(got, want) {
				t.Errorf("%q, %v: %v, want %v", test.stream, kind, got, want)
			}
		}
	}
}
