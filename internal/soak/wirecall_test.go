package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"
)

const (
	http10, http11 = "HTTP/1.0", "HTTP/1.1"
	// http10Share and wire11Share are the shares of the calls over a connection of their own, with
	// HTTP/1.0 and with HTTP/1.1.
	http10Share, wire11Share = 0.2, 0.2
)

// errRouterKilled means that the router was killed during an answer that ends with its
// connection, whose end then tells nothing.
var errRouterKilled = errors.New("the router was killed")

// send sends a request and returns its answer, nil without a complete head, and an error unless
// the answer is complete.
func (c *caller) send(request *http.Request) (response *http.Response, body string, err error) {
	switch x := rand.Float64(); {
	case x < http10Share:
		return c.wireCall(request, http10)
	case x < http10Share+wire11Share:
		return c.wireCall(request, http11)
	}
	response, err = c.client.Do(request)
	if err != nil {
		return nil, "", err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return response, string(data), err
}

// wireCall sends a request over a connection of its own, so that the bytes on it alone tell
// whether the answer is complete.
func (c *caller) wireCall(request *http.Request, protocol string) (response *http.Response, body string, err error) {
	ctx := request.Context()
	defer func() {
		if err != nil && ctx.Err() != nil {
			err = ctx.Err()
		}
	}()
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", request.URL.Host)
	if err != nil {
		return nil, "", err
	}
	defer func() { _ = conn.Close() }()
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	if err := writeRequest(conn, request, protocol); err != nil {
		return nil, "", err
	}
	return c.readWire(conn, request, protocol)
}

func writeRequest(conn net.Conn, request *http.Request, protocol string) error {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s %s\r\nHost: %s\r\nContent-Length: %d\r\n", request.Method, request.URL.RequestURI(), protocol, request.Host, request.ContentLength)
	if protocol == http11 {
		b.WriteString("Connection: close\r\n")
	}
	_ = request.Header.Write(&b) // a strings.Builder accepts all writes
	b.WriteString("\r\n")
	if _, err := io.Copy(&b, request.Body); err != nil {
		return err
	}
	_, err := io.WriteString(conn, b.String())
	return err
}

// readWire reads an answer and the end of its connection.
func (c *caller) readWire(conn net.Conn, request *http.Request, protocol string) (*http.Response, string, error) {
	id := request.Header.Get("Nutmeglane-Request-Id")
	reader := bufio.NewReader(conn)
	response, err := http.ReadResponse(reader, request)
	if err != nil {
		return nil, "", err
	}
	data, err := io.ReadAll(response.Body)
	marked := response.ContentLength >= 0 || len(response.TransferEncoding) > 0
	switch {
	case protocol == http10 && len(response.TransferEncoding) > 0:
		c.world.checker.reportViolation("%s got chunks over HTTP/1.0", id)
	case protocol == http11 && !marked:
		c.world.checker.reportViolation("%s got an answer without a length and without chunks over HTTP/1.1", id)
	case err == nil && marked:
		if rest, _ := io.ReadAll(reader); len(rest) > 0 {
			c.world.checker.reportViolation("%s got more than its answer: %q", id, rest)
		}
	case err == nil && c.world.routers[c.router].killedSince(c.world.checker.whenSent(id)):
		err = errRouterKilled
	}
	return response, string(data), err
}
