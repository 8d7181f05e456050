package front

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
)

// rawCall sends the bytes of requests over a connection of its own, answers the first one with
// effects, and returns all bytes up to the end of the connection.
func (h *harness) rawCall(requests string, effects func(core.RequestID) []core.Effect) string {
	h.t.Helper()
	conn, err := net.Dial("tcp", h.server.Listener.Addr().String())
	if err != nil {
		h.t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if _, err := io.WriteString(conn, requests); err != nil {
		h.t.Fatal(err)
	}
	id := nextEvent[core.RequestArrived](h).ID
	for _, effect := range effects(id) {
		h.front.Do(effect)
	}
	raw, _ := io.ReadAll(conn) // a reset ends the connection as well
	return string(raw)
}

// rawRequest returns the bytes of a request.
func rawRequest(method, path, protocol, body, more string) string {
	return fmt.Sprintf("%s %s %s\r\nHost: callers.example\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n%s\r\n%s",
		method, path, protocol, testKey, len(body), more, body)
}

// readFirst returns the body of the first response in raw, and an error unless it is complete by
// its bytes.
func readFirst(raw string) (body string, err error) {
	response, err := http.ReadResponse(bufio.NewReader(strings.NewReader(raw)), nil)
	if err != nil {
		return "", err
	}
	data, err := io.ReadAll(response.Body)
	return string(data), err
}

// Guards against a service's answer that failed after its head and whose bytes look complete to
// its caller.
func TestBrokenServiceAnswerCanBeToldByItsBytes(t *testing.T) {
	const path, protocol = "/services/akte/rooms", "HTTP/1.1"
	requests := map[string]string{
		"keep-alive": rawRequest("GET", path, protocol, "", ""),
		"close":      rawRequest("GET", path, protocol, "", "Connection: close\r\n"),
		"pipelined":  rawRequest("GET", path, protocol, "", "") + rawRequest("GET", path, protocol, "", ""),
	}
	heads := map[string][]core.HeaderKV{
		"event stream":               {{Name: "Content-Type", Value: "text/event-stream"}},
		"event stream with a length": {{Name: "Content-Type", Value: "text/event-stream"}, {Name: "Content-Length", Value: "20"}},
		"plain":                      nil,
		"plain with a length":        {{Name: "Content-Length", Value: "20"}},
	}
	const part = "data: a\n\n"
	for caller, request := range requests {
		for answer, header := range heads {
			for _, data := range []string{part, ""} {
				t.Run(fmt.Sprintf("%s, %s, %d bytes", caller, answer, len(data)), func(t *testing.T) {
					raw := newHarness(t).rawCall(request, func(id core.RequestID) []core.Effect {
						effects := []core.Effect{core.RespondHead{ID: id, Status: 200, Header: header}}
						if data != "" {
							effects = append(effects, core.RespondData{ID: id, Count: 1, Payload: []byte(data)})
						}
						return append(effects, core.RespondEnd{ID: id, Code: code.BackendFailed})
					})
					if body, err := readFirst(raw); err == nil {
						t.Errorf("complete by its bytes: %q", body)
					}
				})
			}
		}
	}
}

// Guards against a streamed completion that failed and looks complete in HTTP/1.0, where the end
// of the connection ends each answer: only [DONE] may tell a complete one.
func TestBrokenCompletionCanBeToldByItsBytes(t *testing.T) {
	for _, protocol := range []string{"HTTP/1.0", "HTTP/1.1"} {
		for _, result := range []code.Code{code.OK, code.BackendFailed} {
			t.Run(fmt.Sprint(protocol, " ", result), func(t *testing.T) {
				request := rawRequest("POST", completionsPath, protocol, streamBody, "Connection: close\r\n")
				raw := newHarness(t).rawCall(request, func(id core.RequestID) []core.Effect {
					return []core.Effect{core.RespondHead{ID: id, Status: 200}, tokens(id, "half"), core.RespondEnd{ID: id, Code: result}}
				})
				body, err := readFirst(raw)
				got := parseStream(t, body)
				if whole := result == code.OK; got.done != whole || (got.errorName == "") != whole || err != nil {
					t.Errorf("%+v, %v", got, err)
				}
			})
		}
	}
}

// Guards against a service's answer in HTTP/1.0, whose end is that of its connection: one that
// broke off would look complete. Such a call is refused before it is sent to a backend server.
func TestServiceCallInHTTP10IsRefused(t *testing.T) {
	h := newHarness(t)
	conn, err := net.Dial("tcp", h.server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if _, err := io.WriteString(conn, rawRequest("GET", "/services/akte/rooms", "HTTP/1.0", "", "")); err != nil {
		t.Fatal(err)
	}
	raw, err := io.ReadAll(conn)
	if err != nil || !strings.Contains(string(raw), fmt.Sprintf("%s: %d\r\n", headerCode, code.BadHeader)) {
		t.Errorf("%q, %v", raw, err)
	}
}
