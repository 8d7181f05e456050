package load

import (
	"bufio"
	"bytes"
	"io"
)

// maxEventBytes limits the length of a line of an event stream.
const maxEventBytes = 1 << 20

// event is a server-sent event.
type event struct {
	// Name is empty if the event has no event field.
	Name string
	Data []byte
}

// eventReader reads the events of a text/event-stream as defined by the HTML
// standard. It ignores the id and retry fields.
type eventReader struct{ lines *bufio.Scanner }

func newEventReader(r io.Reader) *eventReader {
	lines := bufio.NewScanner(r)
	lines.Buffer(make([]byte, 0, 4096), maxEventBytes)
	return &eventReader{lines: lines}
}

// next returns the next event, or io.EOF at the end of the stream. An incomplete
// event at the end is discarded, as the standard requires. The caller may keep
// Data.
func (r *eventReader) next() (event, error) {
	var e event
	started := false
	for r.lines.Scan() {
		line := bytes.TrimSuffix(r.lines.Bytes(), []byte{'\r'})
		if len(line) == 0 {
			if started {
				return e, nil
			}
			continue
		}
		started = e.parseField(line) || started
	}
	if err := r.lines.Err(); err != nil {
		return event{}, err
	}
	return event{}, io.EOF
}

// parseField parses a line and reports whether it belongs to an event.
func (e *event) parseField(line []byte) bool {
	name, value, _ := bytes.Cut(line, []byte{':'})
	value = bytes.TrimPrefix(value, []byte{' '})
	switch string(name) {
	case "event":
		e.Name = string(value)
	case "data":
		if e.Data != nil {
			e.Data = append(e.Data, '\n')
		}
		e.Data = append(e.Data, value...)
	default:
		return false
	}
	return true
}
