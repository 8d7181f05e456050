package fleet

import (
	"net/http"
	"sync/atomic"

	"nutmeglane.example/nutmeglane/internal/dev"
	"nutmeglane.example/nutmeglane/internal/standin/hosts"
	"nutmeglane.example/nutmeglane/internal/standin/kv"
)

// Platform has the fakes of the KV service and the host list service, and meters
// of their traffic.
type Platform struct {
	KV         *kv.Server
	Hosts      *hosts.Server
	KVBytes    *Meter
	HostsBytes *Meter

	kvServer, hostsServer *dev.Server
}

// KVURL returns the base URL of the KV service.
func (p *Platform) KVURL() string { return p.kvServer.URL() }

func startPlatform() (*Platform, error) {
	// The fake KV service has no rate limit, since call rates are measured.
	p := &Platform{KV: kv.New(kv.Options{}), Hosts: hosts.New(hosts.Options{})}
	p.KVBytes, p.HostsBytes = &Meter{next: p.KV}, &Meter{next: p.Hosts}
	var err error
	if p.kvServer, err = dev.Serve(freePort, p.KVBytes, p.KV.Close); err != nil {
		return nil, err
	}
	if p.hostsServer, err = dev.Serve(freePort, p.HostsBytes, nil); err != nil {
		p.kvServer.Close()
		return nil, err
	}
	return p, nil
}

func (p *Platform) close() {
	p.kvServer.Close()
	p.hostsServer.Close()
}

// Meter is an HTTP handler that counts requests and the bytes of request and
// response bodies.
type Meter struct {
	next     http.Handler
	requests atomic.Int64
	bytes    atomic.Int64
}

// Totals returns the numbers of requests and bytes since the start.
func (m *Meter) Totals() (requests, bytes int64) { return m.requests.Load(), m.bytes.Load() }

// ServeHTTP implements http.Handler.
func (m *Meter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	m.requests.Add(1)
	m.bytes.Add(max(0, r.ContentLength))
	m.next.ServeHTTP(&meteredWriter{ResponseWriter: w, meter: m}, r)
}

type meteredWriter struct {
	http.ResponseWriter
	meter *Meter
}

// Write implements http.ResponseWriter.
func (w *meteredWriter) Write(p []byte) (int, error) {
	n, err := w.ResponseWriter.Write(p)
	w.meter.bytes.Add(int64(n))
	return n, err
}

// Unwrap lets http.ResponseController flush.
func (w *meteredWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
