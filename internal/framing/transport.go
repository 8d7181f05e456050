package framing

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
)

// Transport is an http.RoundTripper over connections of type Conn: a response with a malformed head, or
// one that ends with a connection that was reset, is an error of the request or of the read of its body.
// TLS connections are not checked.
type Transport struct{ base *http.Transport }

// NewTransport returns a Transport that sends requests with base, whose connections it wraps. Nothing
// else may use base.
func NewTransport(base *http.Transport) *Transport {
	dial := base.DialContext
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(conn), nil
	}
	return &Transport{base: base}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	var current atomic.Pointer[Conn]
	upgrade := request.Header.Get("Upgrade") != ""
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if conn, ok := info.Conn.(*Conn); ok {
				conn.BeginRequest(upgrade)
				current.Store(conn)
			}
		},
		WroteRequest: func(httptrace.WroteRequestInfo) {
			if conn := current.Load(); conn != nil {
				conn.EndRequest()
			}
		},
	}
	return t.base.RoundTrip(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
}

// CloseIdleConnections closes the connections that no request uses.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }
