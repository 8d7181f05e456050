// Package sse splits a stream of server-sent events (WHATWG HTML, "Server-sent events") into
// its events without changing a byte of it.
package sse

import "bytes"

// Scanner splits a stream into blocks. A block ends with an empty line; it is an event if it
// has a field, and otherwise consists of comments. Lines end with LF, CRLF or CR.
//
// The zero value is at the start of a stream.
type Scanner struct {
	// buffer holds the bytes from the start of the first block that is not complete. Its
	// first returned bytes were returned by the last Feed and are dropped by the next one.
	buffer   []byte
	returned int
	// lineStart is the offset of the current line in buffer, scanned that of the first byte
	// that was not examined.
	lineStart, scanned int
	// afterCR is set if the last byte examined was a CR: a LF that follows belongs to it.
	// crlf is set once a line ended with both.
	afterCR, crlf bool

	// inEvent is set if the current block has a field. blockID is its id, if blockHasID.
	inEvent, blockHasID bool
	blockID             string

	begun    bool
	events   int
	position Position

	// checked is set if the ids of events must follow each other. err is set at the first event
	// whose id does not.
	checked bool
	err     error
}

// Resume returns a scanner of a stream that continues another one after a position, which is
// the zero Position at the start.
func Resume(after Position) *Scanner { return &Scanner{position: after} }

// Position is the point in a stream from which another server can resume it.
type Position struct {
	// ID is the id of the last event that has one, "" before the first one.
	ID string
	// After is the number of events since then. Unless it is 0, a server that resumes the
	// stream after ID repeats them.
	After int
}

// Exact reports whether a stream that is resumed there continues after its last event.
func (p Position) Exact() bool { return p.After == 0 }

// ByteOrderMark may precede a stream. It is not part of the first line.
var ByteOrderMark = []byte("\xef\xbb\xbf")

// Feed adds data and returns all complete blocks that were not returned yet. The result is
// valid until the next call.
func (s *Scanner) Feed(data []byte) []byte {
	s.drop()
	s.buffer = append(s.buffer, data...)
	for s.err == nil && s.scanned < len(s.buffer) {
		if s.skipLF() {
			continue
		}
		i := indexLineEnd(s.buffer[s.scanned:])
		if i < 0 {
			s.scanned = len(s.buffer)
			break
		}
		line := s.buffer[s.lineStart : s.scanned+i]
		s.afterCR = s.buffer[s.scanned+i] == '\r'
		s.scanned += i + 1
		s.lineStart = s.scanned
		s.endLine(line)
	}
	return s.buffer[:s.returned]
}

// drop removes the blocks that the last Feed returned.
func (s *Scanner) drop() {
	if s.returned == 0 {
		return
	}
	s.buffer = append(s.buffer[:0], s.buffer[s.returned:]...)
	s.lineStart -= s.returned
	s.scanned -= s.returned
	s.returned = 0
}

// skipLF consumes the LF of a CRLF whose CR has ended the line. It reports whether there was
// one.
func (s *Scanner) skipLF() bool {
	if !s.afterCR {
		return false
	}
	s.afterCR = false
	if s.buffer[s.scanned] != '\n' {
		return false
	}
	s.crlf = true
	if s.returned == s.scanned {
		s.returned++ // it belongs to the empty line that ended the block before
	}
	s.scanned++
	s.lineStart = s.scanned
	return true
}

// indexLineEnd returns the index of the first LF or CR, -1 without one.
func indexLineEnd(data []byte) int {
	lf := bytes.IndexByte(data, '\n')
	if lf >= 0 {
		data = data[:lf]
	}
	if cr := bytes.IndexByte(data, '\r'); cr >= 0 {
		return cr
	}
	return lf
}

func (s *Scanner) endLine(line []byte) {
	if !s.begun {
		s.begun = true
		line = bytes.TrimPrefix(line, ByteOrderMark)
	}
	switch {
	case len(line) == 0:
		s.endBlock()
	case line[0] != ':':
		s.addField(line)
	}
}

func (s *Scanner) addField(line []byte) {
	s.inEvent = true
	name, value, _ := bytes.Cut(line, []byte{':'})
	if string(name) == "id" {
		s.blockHasID, s.blockID = true, string(bytes.TrimSpace(value))
	}
}

func (s *Scanner) endBlock() {
	if s.checked && s.inEvent && !(s.blockHasID && s.position.precedes(s.blockID)) {
		s.err = ErrOutOfOrder
		return
	}
	switch {
	case !s.inEvent:
	case s.blockHasID && s.blockID != "":
		s.events++
		s.position = Position{ID: s.blockID}
	default:
		s.events++
		s.position.After++
	}
	s.inEvent, s.blockHasID, s.blockID = false, false, ""
	s.returned = s.scanned
}

// Events returns the number of complete events so far.
func (s *Scanner) Events() int { return s.events }

// Position returns the position after the last complete event.
func (s *Scanner) Position() Position { return s.position }

// Remainder returns the bytes after the last complete block.
func (s *Scanner) Remainder() []byte { return s.buffer[s.returned:] }

// InsideEvent reports whether the stream ends inside an event: a field, or a part of one, has
// come without the empty line that ends its event.
func (s *Scanner) InsideEvent() bool {
	partial := s.buffer[s.lineStart:]
	return s.inEvent || len(partial) > 0 && partial[0] != ':'
}

// InsideLine reports whether the stream ends inside a line, or between the two bytes with which
// its lines end.
func (s *Scanner) InsideLine() bool {
	return s.lineStart < len(s.buffer) || s.afterCR && s.crlf
}
