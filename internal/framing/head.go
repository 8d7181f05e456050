package framing

import (
	"bytes"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/http/httpguts"
)

// statusPrefix is how each status line begins, up to the minor version and the status.
const statusPrefix = "HTTP/1."

// statusDigits is the number of digits of a status.
const statusDigits = 3

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

// checkHead returns the status of a complete head, or an error if its status line is malformed (RFC
// 9112, section 4). Upgrade is set if the request asks for another protocol.
//
// net/http takes statuses from 000 to 999. The body of status 000 would be taken for the next head.
func checkHead(head []byte, upgrade bool) (status int, err error) {
	line, _, _ := bytes.Cut(head, []byte("\n"))
	status, err = parseStatusLine(bytes.TrimSuffix(line, []byte("\r")))
	switch {
	case err != nil:
		return 0, err
	case status < http.StatusContinue || status > 599:
		return 0, malformed("status %03d", status)
	case status == http.StatusSwitchingProtocols && !upgrade:
		return 0, malformed("status 101 that was not asked for")
	}
	return status, nil
}

// parseStatusLine returns the status of a status line.
func parseStatusLine(line []byte) (status int, err error) {
	rest, found := bytes.CutPrefix(line, []byte(statusPrefix))
	if !found || len(rest) < len("1 200") || !isDigit(rest[0]) || rest[1] != ' ' {
		return 0, malformed("status line %.80q", line)
	}
	rest = rest[2:]
	digits, reason := rest[:statusDigits], rest[statusDigits:]
	if bytes.ContainsFunc(digits, func(r rune) bool { return r < '0' || r > '9' }) || len(reason) > 0 && reason[0] != ' ' {
		return 0, malformed("status line %.80q", line)
	}
	if !httpguts.ValidHeaderFieldValue(string(reason)) {
		return 0, malformed("reason %.80q", reason)
	}
	return strconv.Atoi(string(digits))
}

func isDigit(b byte) bool { return '0' <= b && b <= '9' }
