package standin

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// result is what a client got for one attempt.
type result struct {
	status int
	header http.Header
	// body is what arrived. complete is set if the answer ended as its framing says.
	body     []byte
	complete bool
	err      error
}

func (r result) String() string {
	return fmt.Sprintf("status %d, %d bytes, complete %t, error %v", r.status, len(r.body), r.complete, r.err)
}

// events returns the ids of the events that arrived whole.
func (r result) events() (ids []int) {
	blocks := strings.Split(string(r.body), "\n\n")
	for _, block := range blocks[:max(0, len(blocks)-1)] {
		for _, line := range strings.Split(block, "\n") {
			if id, ok := strings.CutPrefix(line, "id: "); ok {
				n, _ := strconv.Atoi(id)
				ids = append(ids, n)
			}
		}
	}
	return ids
}

// span describes the ids of events: their first and last where they follow each other.
func span(ids []int) string {
	for i := range ids {
		if ids[i] != ids[0]+i {
			return fmt.Sprint(ids)
		}
	}
	if len(ids) < 2 {
		return fmt.Sprint(ids)
	}
	return fmt.Sprintf("%d to %d", ids[0], ids[len(ids)-1])
}

// request is one attempt of a client, sent on a new connection.
type request struct {
	id, method, path string
	deadline         time.Duration
	header           map[string]string
	body             string
	// onEvent is called with the number of events that have arrived, if not nil.
	onEvent func(events int)
}

// send sends a request and reads its answer to the end.
func (w *world) send(address string, r request) result {
	w.note("client sends %s %s %v", r.id, r.path, r.header)
	res := w.exchange(address, r)
	w.note("client got for %s: %v, events %s", r.id, res, span(res.events()))
	return res
}

func (w *world) exchange(address string, r request) result {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return result{err: err}
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(r.deadline + 500*time.Millisecond))
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: site.example\r\nNutmeglane-Request-Id: %s\r\nNutmeglane-Deadline-Ms: %d\r\n", r.method, r.path, r.id, r.deadline.Milliseconds())
	for name, value := range r.header {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	if r.method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(r.body))
	}
	b.WriteString("\r\n" + r.body)
	if _, err := conn.Write(b.Bytes()); err != nil {
		return result{err: err}
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: r.method})
	if err != nil {
		return result{err: err}
	}
	res := result{status: response.StatusCode, header: response.Header}
	chunk := make([]byte, 4096)
	for {
		n, err := response.Body.Read(chunk)
		res.body = append(res.body, chunk[:n]...)
		if n > 0 && r.onEvent != nil {
			r.onEvent(len(res.events()))
		}
		if err == io.EOF {
			res.complete = true
			return res
		}
		if err != nil {
			res.err = err
			return res
		}
	}
}

// waitReady waits until a daemon reports that it is ready.
func waitReady(address string) error {
	limit := time.Now().Add(10 * time.Second)
	for time.Now().Before(limit) {
		response, err := http.Get("http://" + address + "/nutmeglane/ready")
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("the router is not ready")
}
