package framingtest

import (
	"fmt"
	"net/http"
	"testing"

	"nutmeglane.example/nutmeglane/internal/framing"
)

// Malformed is an answer in which a head is not that of a response.
type Malformed struct{ Name, Answer string }

// EachMalformed calls check once for each answer with the body in which a head is malformed.
func EachMalformed(t *testing.T, body string, check func(t *testing.T, s *Server)) {
	t.Helper()
	s := NewServer(t)
	for _, test := range MalformedHeads("Connection: close\r\n", body) {
		t.Run(test.Name, func(t *testing.T) {
			s.Respond(test.Answer, false)
			check(t, s)
		})
	}
}

// MalformedHeads returns answers with the body in which a head is malformed. Header holds the fields of
// a sound answer, each with its line end.
func MalformedHeads(header, body string) []Malformed {
	measured := fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", header, len(body), body)
	chunked := header + "Transfer-Encoding: chunked\r\n\r\n" + chunk(body) + "0\r\n\r\n"
	whole := Response(framing.Length, http.StatusOK, header, body)
	list := []Malformed{
		{"an answer in the body of status 000", fmt.Sprintf("HTTP/1.1 000 X\r\nContent-Length: %d\r\n\r\n%s", len(whole), whole)},
		{"no blank before the status", "HTTP/1.1200 OK\r\n" + measured},
		{"control byte in the reason", "HTTP/1.1 200 O\x01K\r\n" + measured},
		{"HTTP/2.0", "HTTP/2.0 200 OK\r\n" + measured},
		{"chunks in HTTP/1.0", "HTTP/1.0 200 OK\r\n" + chunked},
		{"blank in a name of a failure", "HTTP/1.1 404 Not Found\r\nA b: c\r\n" + measured},
		{"blank in a name of an interim answer", "HTTP/1.1 103 Early Hints\r\nA b: c\r\n\r\n" + whole},
		{"blank before the colon of the length", fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length : %d\r\n\r\n%s", header, len(body), body)},
		{"blank before the colon of the chunks", "HTTP/1.1 200 OK\r\n" + header + "Transfer-Encoding : chunked\r\n\r\n" + chunk(body) + "0\r\n\r\n"},
	}
	for _, status := range []string{"000", "099", "101", "600", "999", "+20", "20"} {
		list = append(list, Malformed{"status " + status, "HTTP/1.1 " + status + " X\r\n" + measured})
	}
	for _, line := range []string{"A b: c", "A : c", " A: c", "A\tb: c", "A\x00b: c", "A\x7f: c", "(A): c", ": c", "A", "A: b\x01c", "A: b\rc"} {
		list = append(list, Malformed{fmt.Sprintf("line %q", line), "HTTP/1.1 200 OK\r\n" + line + "\r\n" + measured})
	}
	return list
}
