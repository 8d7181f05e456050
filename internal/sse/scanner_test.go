package sse

import (
	"bytes"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// result is what a scanner knows after a stream.
type result struct {
	Blocks                  string
	Events                  int
	Position                Position
	InsideEvent, InsideLine bool
}

func scan(stream string, step int) result {
	s := Resume(Position{})
	var blocks []byte
	for rest := []byte(stream); len(rest) > 0; {
		n := min(step, len(rest))
		blocks = append(blocks, s.Feed(rest[:n])...)
		rest = rest[n:]
	}
	return result{string(blocks), s.Events(), s.Position(), s.InsideEvent(), s.InsideLine()}
}

func TestScanner(t *testing.T) {
	tests := []struct {
		name, stream string
		want         result
	}{
		{"nothing", "", result{}},
		{"an event", "id: 1\ndata: a\n\n", result{Blocks: "id: 1\ndata: a\n\n", Events: 1, Position: Position{ID: "1"}}},
		{"CRLF", "id:1\r\ndata\r\n\r\nid:2\r\n\r\n", result{Blocks: "id:1\r\ndata\r\n\r\nid:2\r\n\r\n", Events: 2, Position: Position{ID: "2"}}},
		{"CR", "id: 1\rdata: a\r\r", result{Blocks: "id: 1\rdata: a\r\r", Events: 1, Position: Position{ID: "1"}}},
		{"mixed line ends", "id: 1\r\ndata: a\n\r\nid: 2\n\r", result{Blocks: "id: 1\r\ndata: a\n\r\nid: 2\n\r", Events: 2, Position: Position{ID: "2"}, InsideLine: true}},
		{"a comment", ": ping\n\n", result{Blocks: ": ping\n\n"}},
		{"empty lines", "\n\r\n\n", result{Blocks: "\n\r\n\n"}},
		{"byte order mark", "\xef\xbb\xbfid: 7\n\n", result{Blocks: "\xef\xbb\xbfid: 7\n\n", Events: 1, Position: Position{ID: "7"}}},
		{"an event without id", "id: 1\n\ndata: b\n\n", result{Blocks: "id: 1\n\ndata: b\n\n", Events: 2, Position: Position{ID: "1", After: 1}}},
		{"an empty id", "id: 1\n\nid:\ndata: b\n\n", result{Blocks: "id: 1\n\nid:\ndata: b\n\n", Events: 2, Position: Position{ID: "1", After: 1}}},
		{"no ids", "data: a\n\ndata: b\n\n", result{Blocks: "data: a\n\ndata: b\n\n", Events: 2, Position: Position{After: 2}}},
		{"inside a field", "id: 1\n\nda", result{Blocks: "id: 1\n\n", Events: 1, Position: Position{ID: "1"}, InsideEvent: true, InsideLine: true}},
		{"after a field", "id: 1\n\ndata: b\n", result{Blocks: "id: 1\n\n", Events: 1, Position: Position{ID: "1"}, InsideEvent: true}},
		{"inside the CRLF of a field", "id: 1\r\n\r\ndata: b\r", result{Blocks: "id: 1\r\n\r\n", Events: 1, Position: Position{ID: "1"}, InsideEvent: true, InsideLine: true}},
		{"inside the CRLF of an empty line", "id: 1\r\n\r", result{Blocks: "id: 1\r\n\r", Events: 1, Position: Position{ID: "1"}, InsideLine: true}},
		{"after a comment", "id: 1\n\n: end\n", result{Blocks: "id: 1\n\n", Events: 1, Position: Position{ID: "1"}}},
		{"inside a comment", "id: 1\n\n: en", result{Blocks: "id: 1\n\n", Events: 1, Position: Position{ID: "1"}, InsideLine: true}},
		{"a comment inside an event", "data: b\n: c\n", result{InsideEvent: true}},
	}
	for _, test := range tests {
		for step := 1; step <= len(test.stream)+1; step++ {
			if diff := cmp.Diff(test.want, scan(test.stream, step)); diff != "" {
				t.Errorf("%s, %d bytes at a time (-want +got):\n%s", test.name, step, diff)
			}
		}
	}
}

// Guards against the loss of the position of a stream whose second server sends a comment, or an
// event without id, before anything else.
func TestPositionIsKeptAcrossServers(t *testing.T) {
	s := Resume(Position{ID: "2"})
	s.Feed([]byte(": resumed\n\n"))
	if got := s.Position(); got != (Position{ID: "2"}) {
		t.Errorf("after a comment: %+v", got)
	}
	s.Feed([]byte("data: b\n\n"))
	if got := s.Position(); got != (Position{ID: "2", After: 1}) {
		t.Errorf("after an event without id: %+v", got)
	}
}

// hasWholeBlock reports whether data contains an empty line, by a way that is independent of the
// scanner's.
func hasWholeBlock(data []byte) bool {
	text := strings.NewReplacer("\r\n", "\n", "\r", "\n").Replace(string(data))
	return strings.HasPrefix(text, "\n") || strings.Contains(text, "\n\n")
}

// Each event must be returned as soon as its last byte has come, and no byte may be lost.
func FuzzScanner(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3"), 3)
	f.Add([]byte("\n\n\r\n\r\n"), 1)
	f.Add([]byte("id: 1\r\rdata: a\r\n\r\n: c\n\nda"), 2)
	f.Fuzz(func(t *testing.T, data []byte, step int) {
		if step <= 0 {
			return
		}
		s := Resume(Position{})
		var got []byte
		for rest := data; len(rest) > 0; {
			n := min(step, len(rest))
			got = append(got, s.Feed(rest[:n])...)
			rest = rest[n:]
			if hasWholeBlock(s.Remainder()) {
				t.Fatalf("a complete block was not returned: %q", s.Remainder())
			}
		}
		if all := append(bytes.Clone(got), s.Remainder()...); !bytes.Equal(all, data) {
			t.Fatalf("bytes were lost or added: %q of %q", all, data)
		}
		if whole := scan(string(data), len(data)+1); whole != scan(string(data), step) {
			t.Fatalf("fed at once %+v, in parts %+v", whole, scan(string(data), step))
		}
	})
}
