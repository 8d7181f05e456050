// Package explain reconstructs from the logs of several processes what happened
// to one request and which state the processes logged meanwhile. It only reads the
// structured lines that routers and loaders write.
package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"time"

	"github.com/cockroachdb/errors"
)

// maxLine limits one log line in bytes. Typical lines have some hundred.
const maxLine = 1 << 20

// Line is one structured log line.
type Line struct {
	Time time.Time
	// Host is the host that the process runs on.
	Host    string
	Message string
	// Fields holds all other fields as they were logged, except the level.
	Fields map[string]any
}

// Log holds the lines read from all files.
type Log struct {
	Lines []Line
	// Malformed counts the lines that could not be parsed, such as those truncated
	// when a process was killed.
	Malformed int
}

// Read adds the lines of a log. Text before the first brace of a line, such as
// the prefix of a log collector, is skipped.
func (l *Log) Read(r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		text := scanner.Bytes()
		if len(bytes.TrimSpace(text)) == 0 {
			continue
		}
		line, err := parse(text)
		if err != nil {
			l.Malformed++
			continue
		}
		l.Lines = append(l.Lines, line)
	}
	return errors.Wrap(scanner.Err(), "read log")
}

func parse(text []byte) (Line, error) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return Line{}, errors.New("no JSON object in the line")
	}
	fields := map[string]any{}
	if err := json.Unmarshal(text[start:], &fields); err != nil {
		return Line{}, errors.Wrap(err, "decode line")
	}
	line := Line{Fields: fields}
	at, _ := fields["time"].(string)
	var err error
	if line.Time, err = time.Parse(time.RFC3339Nano, at); err != nil {
		return Line{}, errors.Wrap(err, "time of the line")
	}
	line.Host = line.stringField("host")
	line.Message = line.stringField("msg")
	for _, name := range []string{"time", "host", "msg", "level"} {
		delete(fields, name)
	}
	return line, nil
}

// stringField returns a string field, or "" if the line has no such field.
func (l *Line) stringField(name string) string {
	value, _ := l.Fields[name].(string)
	return value
}

// durationField returns a duration field, or 0 if the line has no such field.
func (l *Line) durationField(name string) time.Duration {
	d, err := time.ParseDuration(l.stringField(name))
	if err != nil {
		return 0
	}
	return d
}
