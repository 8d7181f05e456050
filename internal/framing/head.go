package framing

import (
	"bytes"
	"net/http"
	"slices"
	"strconv"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/http/httpguts"
)

const (
	// statusPrefix is how each status line begins, up to the minor version and the status.
	statusPrefix = "HTTP/1."
	// statusDigits is the number of digits of a status.
	statusDigits = 3
	// maxStatus is the highest status (RFC 9110, section 15).
	maxStatus = 599
)

// ErrMalformed means that bytes received are not the head of a response. What follows them can't be
// read as one either.
var ErrMalformed = errors.New("malformed head of a response")

func malformed(format string, args ...any) error {
	return errors.Mark(errors.Newf("malformed head of a response: "+format, args...), ErrMalformed)
}

// headLength returns the length of the head at the beginning of data, with the empty line that ends
// it, or 0 if that line hasn't come yet. A line ends with LF or CRLF. No line before the given position
// is the last one.
func headLength(data []byte, from int) int {
	for i := from; i < len(data); i++ {
		switch {
		case data[i] != '\n':
		case bytes.HasPrefix(data[i+1:], []byte("\n")):
			return i + len("\n\n")
		case bytes.HasPrefix(data[i+1:], []byte("\r\n")):
			return i + len("\n\r\n")
		}
	}
	return 0
}

// checkBeginning returns an error if data can't be the beginning of a head.
func checkBeginning(data []byte) error {
	n := min(len(data), len(statusPrefix))
	if string(data[:n]) != statusPrefix[:n] {
		return malformed("it begins with %.80q", data)
	}
	return nil
}

// isInterim reports whether the head of another response to the same request follows a status.
func isInterim(status int) bool {
	return status < http.StatusOK && status != http.StatusSwitchingProtocols
}

// checkHead returns the status of a complete head, or an error unless net/http reads it as RFC 9112
// (sections 2 to 6) means it. Upgrade is set if the request asks for another protocol.
//
// net/http takes statuses from 000 to 999 and names with blanks. It would take the body of status 000
// for the next head, and the body of an answer for one that ends with its connection because the name
// of its framing has a blank. Continued values are joined there by a blank.
func checkHead(head []byte, upgrade bool) (status int, err error) {
	line, fields := cutLine(head)
	version, status, err := parseStatusLine(line)
	switch {
	case err != nil:
		return 0, err
	case status < http.StatusContinue || status > maxStatus:
		return 0, malformed("status %03d", status)
	case status == http.StatusSwitchingProtocols && !upgrade:
		return 0, malformed("status 101 that was not asked for")
	}
	return status, checkFields(fields, version)
}

// parseStatusLine returns the minor version and the status of a status line.
func parseStatusLine(line []byte) (version byte, status int, err error) {
	rest, found := bytes.CutPrefix(line, []byte(statusPrefix))
	if !found || len(rest) < len("1 200") || isNoDigit(rest[0]) || rest[1] != ' ' {
		return 0, 0, malformed("status line %.80q", line)
	}
	version, rest = rest[0], rest[2:]
	digits, reason := rest[:statusDigits], rest[statusDigits:]
	if slices.ContainsFunc(digits, isNoDigit) || len(reason) > 0 && reason[0] != ' ' {
		return 0, 0, malformed("status line %.80q", line)
	}
	if !httpguts.ValidHeaderFieldValue(string(reason)) {
		return 0, 0, malformed("reason %.80q", reason)
	}
	status, err = strconv.Atoi(string(digits))
	return version, status, err
}

// checkFields checks the fields of a head, up to its empty line.
func checkFields(fields []byte, version byte) error {
	first := true
	for {
		line, rest := cutLine(fields)
		if len(line) == 0 {
			return nil
		}
		if err := checkField(line, first, version); err != nil {
			return err
		}
		first, fields = false, rest
	}
}

// checkField checks a line of the fields, which continues the value of the line before if it begins
// with a blank.
func checkField(line []byte, first bool, version byte) error {
	value := line
	if line[0] != ' ' && line[0] != '\t' {
		name, after, found := bytes.Cut(line, []byte(":"))
		if !found || !httpguts.ValidHeaderFieldName(string(name)) {
			return malformed("field %.80q", line)
		}
		if version == '0' && bytes.EqualFold(name, []byte("Transfer-Encoding")) {
			return malformed("transfer encoding in HTTP/1.0")
		}
		value = after
	} else if first {
		return malformed("blank before the first field %.80q", line)
	}
	if !httpguts.ValidHeaderFieldValue(string(value)) {
		return malformed("field %.80q", line)
	}
	return nil
}

// cutLine returns the first line of data, without its end, and the rest.
func cutLine(data []byte) (line, rest []byte) {
	line, rest, _ = bytes.Cut(data, []byte("\n"))
	return bytes.TrimSuffix(line, []byte("\r")), rest
}

func isNoDigit(b byte) bool { return b < '0' || b > '9' }
