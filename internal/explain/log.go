// Package explain puts together, from the logs of several processes, what
// happened to one request and what the processes believed meanwhile. It reads
// the structured lines that routers and loaders write, and decides nothing.
package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"time"

	"github.com/cockroachdb/errors"
)

// maxLine bounds one log line in bytes. Lines have some hundred.
const maxLine = 1 << 20

// Line is one structured log line.
type Line struct {
	Time time.Time
	// Host is the name of the process's host.
	Host    string
	Message string
	// Fields are all others, as they were logged.
	Fields map[string]any
}

// Log is what was read.
type Log struct {
	Lines []Line
	// Bad counts the lines that could not be read, as those that were cut when
	// a process was killed.
	Malformed int
}

// Read adds the lines of a process. What stands before the first brace, as the
// prefix of a log collector, is passed over.
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
		return Line{}, errors.New("it holds no JSON object")
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
	line.Host = line.text("host")
	line.Message = line.text("msg")
	for _, name := range []string{"time", "host", "msg", "level"} {
		delete(fields, name)
	}
	return line, nil
}

// text is a field that is text, "" if the line has none of the name.
func (l *Line) text(name string) string {
	value, _ := l.Fields[name].(string)
	return value
}

// duration is a field that is a duration, 0 if the line has none of the name.
func (l *Line) duration(name string) time.Duration {
	d, err := time.ParseDuration(l.text(name))
	if err != nil {
		return 0
	}
	return d
}
