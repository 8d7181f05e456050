package gateway

import "bytes"

// eventScanner cuts a stream of server-sent events (WHATWG HTML, "Server-sent
// events") between events: a server that breaks off in the middle of one leaves
// a part, which must not reach the caller when another server goes on.
type eventScanner struct {
	buffer []byte
	// lastID is the id of the last whole event.
	lastID string
	// count is the number of whole events so far.
	count int
}

var (
	eventEnd     = []byte("\n\n")
	eventEndCRLF = []byte("\r\n\r\n")
	idField      = []byte("id:")
)

// take adds bytes and returns the whole events among all that were added and
// not returned yet. The result is valid until the next call.
func (s *eventScanner) take(data []byte) []byte {
	s.buffer = append(s.buffer, data...)
	end := 0
	for {
		size := eventSize(s.buffer[end:])
		if size == 0 {
			break
		}
		s.readID(s.buffer[end : end+size])
		s.count++
		end += size
	}
	events := bytes.Clone(s.buffer[:end])
	s.buffer = append(s.buffer[:0], s.buffer[end:]...)
	return events
}

// eventSize is the length of the first event with its end, 0 if it is not whole.
func eventSize(data []byte) int {
	lf := bytes.Index(data, eventEnd)
	crlf := bytes.Index(data, eventEndCRLF)
	switch {
	case crlf >= 0 && (lf < 0 || crlf < lf):
		return crlf + len(eventEndCRLF)
	case lf >= 0:
		return lf + len(eventEnd)
	default:
		return 0
	}
}

func (s *eventScanner) readID(event []byte) {
	for line := range bytes.Lines(event) {
		if value, ok := bytes.CutPrefix(line, idField); ok {
			s.lastID = string(bytes.TrimSpace(value))
		}
	}
}

// rest is what came after the last whole event.
func (s *eventScanner) rest() []byte { return s.buffer }
