package standin

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// heartbeat is the time between two writes of a registry entry, as heartbeatMs in the settings.
const heartbeat = 1200 * time.Millisecond

// replica is a stand-in of a replica of a service. It may crash and start again under its id.
type replica struct {
	w       *world
	store   *store
	id      string
	service string
	address string
	version string
	slots   int
	// handler serves requests that are meant for this replica.
	handler http.Handler
	// engine is nil for plain services.
	engine *engine

	mu     sync.Mutex
	born   int64
	beatAt time.Time
	server *http.Server
	conns  map[net.Conn]bool
	seq    int
}

// start starts a life of the replica. It serves at once and writes its entry after a delay, then
// at each heartbeat.
func (r *replica) start(registerAfter time.Duration) error {
	l, err := net.Listen("tcp", r.address)
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.address = l.Addr().String()
	r.born = max(r.born+1, time.Now().UnixMilli())
	r.conns = map[net.Conn]bool{}
	server := &http.Server{Handler: http.HandlerFunc(r.serve), ConnState: r.connState}
	r.server = server
	born := r.born
	r.mu.Unlock()
	r.w.note("replica %s (%s) starts, born %d", r.id, r.service, born)
	go func() { _ = server.Serve(l) }()
	go func() {
		time.Sleep(registerAfter)
		for r.register(born) {
			time.Sleep(heartbeat)
		}
	}()
	return nil
}

func (r *replica) connState(conn net.Conn, state http.ConnState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if state == http.StateNew {
		r.conns[conn] = true
	} else if state == http.StateClosed || state == http.StateHijacked {
		delete(r.conns, conn)
	}
}

// crash ends the life of the replica as the end of its process does: its port refuses
// connections and all its connections are closed.
func (r *replica) crash() {
	r.mu.Lock()
	server := r.server
	r.server = nil
	r.mu.Unlock()
	if server != nil {
		_ = server.Close()
	}
	r.w.note("replica %s crashes", r.id)
}

// life returns the start of the present life, 0 if there is none.
func (r *replica) life() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.server == nil {
		return 0
	}
	return r.born
}

// sinceBeat returns the time since the entry was last written.
func (r *replica) sinceBeat() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Since(r.beatAt)
}

func (r *replica) register(born int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.server == nil || r.born != born {
		return false
	}
	r.seq++
	entry := map[string]any{
		"service": r.service, "address": r.address, "zone": "zone-a", "version": r.version, "slots": r.slots,
		"state": "ready", "coldRemainingMs": 0, "seq": r.seq, "born": born,
	}
	if r.engine != nil {
		entry["models"], entry["stage"] = r.engine.loadedModels(), "colocated"
	}
	r.store.put("servers/"+r.id, entry)
	r.beatAt = time.Now()
	r.w.note("replica %s writes its entry, born %d", r.id, born)
	return true
}

func (r *replica) serve(w http.ResponseWriter, in *http.Request) {
	w.Header().Set("Nutmeglane-Instance-Id", r.id)
	if expect := in.Header.Get("Nutmeglane-Expect-Instance"); expect != "" && expect != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	r.handler.ServeHTTP(w, in)
}

// head sets the headers of an answer of the replica.
func (r *replica) head(w http.ResponseWriter, in *http.Request) {
	w.Header().Set("Nutmeglane-Request-Id", in.Header.Get("Nutmeglane-Request-Id"))
	w.Header().Set("Nutmeglane-Server-Seal", fmt.Sprintf("%s.%d", r.id, r.life()))
}

// streamer serves streams of events, which it generates at a steady pace. A run that is resumed
// generates the events up to the last one that its client has again, without sending them.
type streamer struct {
	*replica
	pause time.Duration
	// runs counts the runs of each path.
	runs map[string]int
}

// eventsOf is the length of the stream of a path, as "/notes/8".
func eventsOf(path string) int {
	n, _ := strconv.Atoi(path[strings.LastIndexByte(path, '/')+1:])
	return n
}

func (s *streamer) ServeHTTP(w http.ResponseWriter, in *http.Request) {
	id, life, events := in.Header.Get("Nutmeglane-Request-Id"), s.life(), eventsOf(in.URL.Path)
	last, _ := strconv.Atoi(in.Header.Get("Last-Event-Id"))
	s.w.note("replica %s, born %d: run of %s begins after event %d", s.id, life, id, last)
	s.mu.Lock()
	s.runs[id]++
	s.mu.Unlock()
	s.head(w, in)
	w.Header().Set("Content-Type", "text/event-stream")
	flusher := w.(http.Flusher)
	for n := 1; n <= events; n++ {
		select {
		case <-in.Context().Done():
			s.w.note("replica %s, born %d: run of %s dropped before event %d", s.id, life, id, n)
			return
		case <-time.After(s.pause):
		}
		if n <= last {
			continue
		}
		fmt.Fprintf(w, "id: %d\ndata: piece %d of %d\n\n", n, n, events)
		if n < events {
			flusher.Flush() // the last event is sent together with the end of the stream
		}
	}
	s.w.note("replica %s, born %d: run of %s ends after event %d", s.id, life, id, events)
}

// ran reports whether a run of a request began here.
func (s *streamer) ran(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id] > 0
}
