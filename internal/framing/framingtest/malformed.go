package framingtest

import (
	"fmt"
	"net/http"

	"nutmeglane.example/nutmeglane/internal/framing"
)

// Malformed is an answer in which a head is not that of a response.
type Malformed struct{ Name, Answer string }

// MalformedHeads returns answers with the body in which a head is malformed. Header holds the fields of
// a sound answer, each with its line end.
func MalformedHeads(header, body string) []Malformed {
	measured := fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", header, len(body), body)
	whole := Response(framing.Length, http.StatusOK, header, body)
	list := []Malformed{
		{"an answer in the body of status 000", fmt.Sprintf("HTTP/1.1 000 X\r\nContent-Length: %d\r\n\r\n%s", len(whole), whole)},
		{"no blank before the status", "HTTP/1.1200 OK\r\n" + measured},
		{"control byte in the reason", "HTTP/1.1 200 O\x01K\r\n" + measured},
		{"HTTP/2.0", "HTTP/2.0 200 OK\r\n" + measured},
	}
	for _, status := range []string{"000", "099", "101", "600", "999", "+20", "20"} {
		list = append(list, Malformed{"status " + status, "HTTP/1.1 " + status + " X\r\n" + measured})
	}
	return list
}
