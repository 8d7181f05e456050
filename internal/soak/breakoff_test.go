package soak

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"
)

// place is where in its bytes an answer breaks off.
type place int

const (
	insideHead place = iota
	// betweenPieces is before the first event, between two, or after the last one.
	betweenPieces
	insidePiece
	// beforeLastByte is between the last line of an event and the empty line that ends it.
	beforeLastByte
	places
)

// ending is what follows the last byte of an answer that breaks off.
type ending int

const (
	// closes is an orderly close of the connection.
	closes ending = iota
	resets
	// marksEnd is the mark with which complete answers end.
	marksEnd
	endings
)

// cut is where and how an answer breaks off: after a number of pieces and, inside the next one,
// after part bytes of it.
type cut struct {
	place        place
	pieces, part int
	ending       ending
}

// drawCut draws a cut that shows in the bytes of an answer and the end of its connection.
func drawCut(p reply) *cut {
	for {
		c := cut{place: place(rand.IntN(int(places))), pieces: rand.IntN(len(p.pieces) + 1), ending: ending(rand.IntN(int(endings)))}
		if c.pieces < len(p.pieces) {
			c.part = c.place.drawPart(p.pieces[c.pieces])
		} else {
			c.place = min(c.place, betweenPieces)
		}
		if c.shows(p) {
			return &c
		}
	}
}

// drawPart draws how many bytes of a piece precede the cut.
func (at place) drawPart(piece string) int {
	switch at {
	case insidePiece:
		return 1 + rand.IntN(len(piece)-2)
	case beforeLastByte:
		return len(piece) - 1
	default:
		return 0
	}
}

// shows reports whether a client can tell the cut from the end of a complete answer. It can't
// tell an orderly close, if the answer ends with its connection, unless that is a stream that
// stops inside an event or before the first one.
func (c cut) shows(p reply) bool {
	insideEvent := p.stream && c.part > 0
	noEvent := p.stream && c.part == 0 && c.pieces == 0
	switch {
	case c.place == insideHead:
		return c.ending != marksEnd
	case c.ending == marksEnd:
		return insideEvent
	case p.framing == byLength:
		return c.pieces < len(p.pieces)
	case p.framing == untilClose && c.ending == closes:
		return insideEvent || noEvent
	default:
		return true
	}
}

// longestBreaking is the maximum time for which servers break answers off.
const longestBreaking = 2 * time.Second

// breakSeed is added to the state of the generator of breakAnswers.
const breakSeed = 81

// breakAnswers draws servers that break answers off until ctx ends.
func breakAnswers(ctx context.Context, w *world, seed uint64) {
	r := rand.New(rand.NewPCG(seed, breakSeed))
	for ctx.Err() == nil {
		servers := [][]*backend{w.engines[:1], w.plains[:1], w.engines[1:3], w.plains, w.engines}[r.IntN(5)]
		setFaults(servers, breaksOff)
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(r.Int64N(int64(longestBreaking)))):
		}
		setFaults(servers, noFault)
	}
}

func setFaults(servers []*backend, m serverFault) {
	for _, b := range servers {
		b.setFault(m)
	}
}

// Guards against a break that no client could see, for which the soak would blame a router.
func TestCutsShow(t *testing.T) {
	body := []string{event("r", 1, firstRelease), event("r", 2, firstRelease)}
	tests := []struct {
		name  string
		reply reply
		cut   cut
		want  bool
	}{
		{"orderly close between two events", reply{pieces: body, stream: true, framing: untilClose}, cut{place: betweenPieces, pieces: 1}, false},
		{"orderly close of a plain answer", reply{pieces: body[:1], framing: untilClose}, cut{place: insidePiece, part: 3}, false},
		{"orderly close inside an event", reply{pieces: body, stream: true, framing: untilClose}, cut{place: insidePiece, pieces: 1, part: 3}, true},
		{"orderly close before any event", reply{pieces: body, stream: true, framing: untilClose}, cut{place: betweenPieces}, true},
		{"reset between two events", reply{pieces: body, stream: true, framing: untilClose}, cut{place: betweenPieces, pieces: 1, ending: resets}, true},
		{"last chunk inside an event", reply{pieces: body, stream: true, framing: byChunks}, cut{place: insidePiece, part: 3, ending: marksEnd}, true},
		{"last chunk between two events", reply{pieces: body, stream: true, framing: byChunks}, cut{place: betweenPieces, pieces: 1, ending: marksEnd}, false},
		{"no last chunk", reply{pieces: body, stream: true, framing: byChunks}, cut{place: betweenPieces, pieces: 2}, true},
		{"reset after the whole length", reply{pieces: body, stream: true, framing: byLength}, cut{place: betweenPieces, pieces: 2, ending: resets}, false},
	}
	for _, test := range tests {
		if got := test.cut.shows(test.reply); got != test.want {
			t.Errorf("%s: %t, want %t", test.name, got, test.want)
		}
	}
}

// Guards against a soak that no longer breaks streams off in some way.
func TestStreamsBreakOffInEachWay(t *testing.T) {
	const draws = 10_000
	type way struct {
		place      place
		firstPiece bool
		ending     ending
	}
	// Fewer show if the answer ends with its connection: not an orderly close between two events.
	for f, want := range map[framing]int{byLength: 18, byChunks: 18, untilClose: 17} {
		p := reply{pieces: []string{event("r", 1, firstRelease), event("r", 2, firstRelease)}, stream: true, framing: f}
		drawn := map[way]int{}
		for range draws {
			c := drawCut(p)
			drawn[way{c.place, c.place != insideHead && c.pieces == 0, c.ending}]++
		}
		if len(drawn) != want {
			t.Errorf("framing %d: %d ways, want %d: %v", f, len(drawn), want, drawn)
		}
	}
}
