package load

import (
	"net"
	"net/http"
	"time"
)

// Limits of the HTTP client.
const (
	dialTimeout     = 2 * time.Second
	idleConnTimeout = 30 * time.Second
	readBufferBytes = 8 << 10
)

// newTransport returns a transport that keeps up to maxOpen idle connections,
// uses no proxy and requests no compression.
func newTransport(maxOpen int) *http.Transport {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConns:        maxOpen,
		MaxIdleConnsPerHost: maxOpen,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
		ReadBufferSize:      readBufferBytes,
	}
}
