// Package hosts is a simulated host list of the platform. The list served is
// delayed by a configurable lag.
//
//	GET    /hosts             the delayed list, one core.Host as JSON per line
//	POST   /admin/hosts       adds or replaces the core.Host in the body
//	POST   /admin/leaving?id= marks a host as leaving
//	DELETE /admin/hosts?id=   removes a host
package hosts

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/standin/admin"
)

// Options are the settings of a Server.
type Options struct {
	// Lag is the delay of the list served.
	Lag time.Duration
	// Hosts are the initial hosts. They are in the delayed list from the start.
	Hosts []core.Host
	// Now is the clock for the lag. Default: time.Now.
	Now func() time.Time
}

type hostMap map[core.HostID]core.Host

// version is the list in effect from a time on.
type version struct {
	from  time.Time
	hosts hostMap
}

// Server is a simulated host list.
type Server struct {
	*admin.Server
	lag time.Duration
	now func() time.Time

	mu sync.Mutex
	// versions are ordered by time. The first is the one last served by
	// laggedHosts, or the initial one.
	versions []version
}

// New returns a Server with the initial hosts.
func New(opts Options) *Server {
	if opts.Now == nil {
		opts.Now = time.Now
	}
	initial := version{hosts: hostMap{}}
	for _, h := range opts.Hosts {
		initial.hosts[h.ID] = h
	}
	s := &Server{Server: admin.NewServer(), lag: opts.Lag, now: opts.Now, versions: []version{initial}}
	s.HandleFunc("GET /hosts", s.serveHosts)
	s.HandleFunc("POST /admin/hosts", s.servePut)
	s.HandleFunc("POST /admin/leaving", s.serveLeaving)
	s.HandleFunc("DELETE /admin/hosts", func(_ http.ResponseWriter, r *http.Request) { s.Remove(idOf(r)) })
	return s
}

// Put adds or replaces a host.
func (s *Server) Put(h core.Host) { s.change(func(hosts hostMap) { hosts[h.ID] = h }) }

// SetLeaving marks a host as leaving. It returns false if the host doesn't exist.
func (s *Server) SetLeaving(id core.HostID) (found bool) {
	s.change(func(hosts hostMap) {
		var h core.Host
		if h, found = hosts[id]; found {
			h.State = core.HostLeaving
			hosts[id] = h
		}
	})
	return found
}

// Remove removes a host if it exists.
func (s *Server) Remove(id core.HostID) { s.change(func(hosts hostMap) { delete(hosts, id) }) }

func (s *Server) change(apply func(hostMap)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	newest := s.versions[len(s.versions)-1]
	next := version{from: s.now(), hosts: maps.Clone(newest.hosts)}
	apply(next.hosts)
	s.versions = append(s.versions, next)
}

// laggedHosts returns the list as of the lag ago and drops older versions.
func (s *Server) laggedHosts() hostMap {
	s.mu.Lock()
	defer s.mu.Unlock()
	asOf := s.now().Add(-s.lag)
	for len(s.versions) > 1 && !s.versions[1].from.After(asOf) {
		s.versions = s.versions[1:]
	}
	return s.versions[0].hosts
}

func (s *Server) serveHosts(w http.ResponseWriter, r *http.Request) {
	hosts := s.laggedHosts()
	var body bytes.Buffer
	lines := json.NewEncoder(&body)
	for _, id := range core.SortedKeys(hosts) {
		_ = lines.Encode(hosts[id])
	}
	w.Header().Set("Content-Type", "application/x-ndjson")
	w.Header().Set("ETag", fmt.Sprintf(`"%x"`, xxhash.Sum64(body.Bytes())))
	http.ServeContent(w, r, "", time.Time{}, bytes.NewReader(body.Bytes()))
}

func (s *Server) servePut(w http.ResponseWriter, r *http.Request) {
	var h core.Host
	switch {
	case !admin.Decode(w, r, &h):
	case h.ID == "":
		http.Error(w, "host without id", http.StatusBadRequest)
	default:
		s.Put(h)
	}
}

func (s *Server) serveLeaving(w http.ResponseWriter, r *http.Request) {
	if !s.SetLeaving(idOf(r)) {
		http.Error(w, "no such host", http.StatusNotFound)
	}
}

func idOf(r *http.Request) core.HostID { return core.HostID(r.URL.Query().Get("id")) }
