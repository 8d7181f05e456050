package standin

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in of the platform's store without faults. All leases last.
type store struct {
	address string

	mu       sync.Mutex
	revision int64
	items    map[string]item
	events   []item
	changed  chan struct{}
}

type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"createRev,omitempty"`
	Lease    int64  `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

func newStore(ip string) (*store, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	s := &store{address: l.Addr().String(), revision: 10, items: map[string]item{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /nutmeglane/kv-key", s.key)
	mux.HandleFunc("GET /nutmeglane/kv-range", s.list)
	mux.HandleFunc("GET /nutmeglane/kv-watch", s.watch)
	mux.HandleFunc("POST /nutmeglane/kv-txn", s.txn)
	mux.HandleFunc("POST /nutmeglane/kv-lease", s.lease)
	mux.HandleFunc("POST /nutmeglane/kv-keep/{id}", s.lease)
	go func() { _ = http.Serve(l, mux) }()
	return s, nil
}

// put writes a value as JSON and returns its revision.
func (s *store) put(key string, value any) int64 {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return s.write(key, data)
}

func (s *store) write(key string, value []byte) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	it := item{Key: key, Value: value, Revision: s.revision, Created: s.revision}
	if before, ok := s.items[key]; ok {
		it.Created = before.Created
	}
	s.items[key] = it
	s.add(it)
	return s.revision
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.add(item{Key: key, Revision: s.revision, Deleted: true})
}

// add appends an event. The caller holds mu.
func (s *store) add(event item) {
	s.events = append(s.events, event)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) key(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	it, ok := s.items[r.FormValue("key")]
	asOf := s.revision
	s.mu.Unlock()
	if !ok {
		answer(w, http.StatusNotFound, map[string]any{"asOf": asOf})
		return
	}
	answer(w, http.StatusOK, struct {
		item
		AsOf int64 `json:"asOf"`
	}{it, asOf})
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	items := []item{}
	for key, it := range s.items {
		if strings.HasPrefix(key, r.FormValue("prefix")) && key > r.FormValue("after") {
			items = append(items, it)
		}
	}
	asOf := s.revision
	s.mu.Unlock()
	answer(w, http.StatusOK, map[string]any{"items": items, "morePages": false, "asOf": asOf})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseInt(r.FormValue("after"), 10, 64)
	wait, _ := strconv.Atoi(r.FormValue("waitMs"))
	limit := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []item{}
		for _, e := range s.events {
			if e.Revision > after && strings.HasPrefix(e.Key, r.FormValue("prefix")) {
				events = append(events, e)
			}
		}
		asOf, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			answer(w, http.StatusOK, map[string]any{"events": events, "asOf": asOf})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-limit:
			answer(w, http.StatusOK, map[string]any{"events": events, "asOf": asOf})
			return
		}
	}
}

func (s *store) txn(w http.ResponseWriter, r *http.Request) {
	var call struct {
		Expected []item   `json:"expected"`
		Writes   []item   `json:"writes"`
		Remove   []string `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		answer(w, http.StatusBadRequest, nil)
		return
	}
	s.mu.Lock()
	for _, e := range call.Expected {
		if s.items[e.Key].Revision != e.Revision {
			s.mu.Unlock()
			answer(w, http.StatusPreconditionFailed, map[string]any{"items": []item{}})
			return
		}
	}
	s.mu.Unlock()
	revision := int64(0)
	for _, e := range call.Writes {
		revision = s.write(e.Key, e.Value)
	}
	for _, key := range call.Remove {
		s.remove(key)
	}
	answer(w, http.StatusOK, map[string]any{"revision": revision})
}

func (s *store) lease(w http.ResponseWriter, r *http.Request) {
	var call struct {
		TTL int64 `json:"ttlMs"`
	}
	_ = json.NewDecoder(r.Body).Decode(&call)
	answer(w, http.StatusOK, map[string]any{"lease": 1, "ttlMs": call.TTL})
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", "1")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
