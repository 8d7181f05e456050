package sse

import (
	"errors"
	"strings"
	"testing"
)

func numbered(ids ...string) string {
	var b strings.Builder
	for _, id := range ids {
		b.WriteString("id: " + id + "\ndata: x\n\n")
	}
	return b.String()
}

// Guards against events that come twice, or are missing, where a stream continues another one:
// from the first event that is not the next one, nothing may be returned.
func TestContinueReturnsConsecutiveEventsOnly(t *testing.T) {
	const anonymous, comment = "data: x\n\n", ": hello\n\n"
	tests := []struct {
		name, after, stream, want string
		broken                    bool
	}{
		{"next", "2", numbered("3", "4"), numbered("3", "4"), false},
		{"comments between", "2", comment + numbered("3") + comment + numbered("4"), comment + numbered("3") + comment + numbered("4"), false},
		{"no event", "2", comment, comment, false},
		{"the last one again", "2", numbered("2", "3"), "", true},
		{"from the start", "2", numbered("1", "2", "3"), "", true},
		{"gap at once", "2", numbered("4"), "", true},
		{"gap later", "2", numbered("3", "5", "6"), numbered("3"), true},
		{"repeated later", "2", numbered("3", "3"), numbered("3"), true},
		{"back later", "2", numbered("3", "4", "2"), numbered("3", "4"), true},
		{"no id", "2", anonymous, "", true},
		{"empty id", "2", numbered(""), "", true},
		{"no id later", "2", numbered("3") + anonymous, numbered("3"), true},
		{"no number", "2", numbered("three"), "", true},
		{"signed", "2", numbered("+3"), "", true},
		{"too long", "2", numbered("0000000000000000003"), "", true},
		{"carry", "9", numbered("10"), numbered("10"), false},
		{"after no number", "b", numbered("c"), "", true},
		{"start with 0", "", numbered("0", "1"), numbered("0", "1"), false},
		{"start with 1", "", numbered("1", "2"), numbered("1", "2"), false},
		{"start later", "", numbered("2"), "", true},
		{"start without id", "", anonymous, "", true},
	}
	for _, test := range tests {
		for _, step := range []int{1, 7, 1 << 10} {
			s, got := Continue(Position{ID: test.after}), ""
			for rest := test.stream; rest != ""; {
				n := min(step, len(rest))
				got += string(s.Feed([]byte(rest[:n])))
				rest = rest[n:]
			}
			if got != test.want || errors.Is(s.Err(), ErrOutOfOrder) != test.broken {
				t.Errorf("%s, %d bytes at once: %q, %v, want %q", test.name, step, got, s.Err(), test.want)
			}
		}
	}
}

// Guards against a run that is sent on although nothing can show where its stream continues.
func TestNumbered(t *testing.T) {
	for position, want := range map[Position]bool{
		{}: true, {ID: "7"}: true, {ID: "0"}: true, {ID: "x"}: false, {ID: "7", After: 1}: false, {After: 1}: false,
		{ID: strings.Repeat("9", maxIDDigits+1)}: false,
	} {
		if got := position.Numbered(); got != want {
			t.Errorf("%+v: %t, want %t", position, got, want)
		}
	}
}

// FuzzContinue checks that what is returned consists of consecutive events, however the stream is
// split, and is a prefix of the stream.
func FuzzContinue(f *testing.F) {
	f.Add(numbered("3", "4"), uint8(3))
	f.Add(numbered("3", "3"), uint8(1))
	f.Add("id: 3\r\ndata: x\r\r\nid\n\n", uint8(5))
	f.Fuzz(func(t *testing.T, stream string, step uint8) {
		s, got := Continue(Position{ID: "2"}), ""
		for rest := stream; rest != ""; {
			n := min(max(1, int(step)), len(rest))
			got += string(s.Feed([]byte(rest[:n])))
			rest = rest[n:]
		}
		if !strings.HasPrefix(stream, got) {
			t.Fatalf("%q is no prefix of %q", got, stream)
		}
		again := Continue(Position{ID: "2"})
		if whole := string(again.Feed([]byte(got))); whole != got || again.Err() != nil {
			t.Fatalf("returned %q, of which %q continues: %v", got, whole, again.Err())
		}
	})
}
