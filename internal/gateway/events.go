package gateway

import "bytes"

// eventScanner splits a stream of server-sent events (WHATWG HTML, "Server-sent events") into
// complete events. If a server fails in the middle of an event, the incomplete part must not
// be forwarded before another server resumes the stream.
type eventScanner struct {
	buffer []byte
	// lastID is the id of the last complete event that has one.
	lastID string
	// count is the number of complete events so far.
	count int
}

var (
	eventEnd     = []byte("\n\n")
	eventEndCRLF = []byte("\r\n\r\n")
	idField      = []byte("id:")
)

// feed adds data and returns all complete events that were not returned yet. The result is
// valid until the next call.
func (s *eventScanner) feed(data []byte) []byte {
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

// eventSize returns the length of the first event including its terminator, 0 if it is
// incomplete.
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

// remainder returns the data after the last complete event.
func (s *eventScanner) remainder() []byte { return s.buffer }
