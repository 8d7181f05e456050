package trial2

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a value of the store as it is sent.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"createRev,omitempty"`
	Lease    int64  `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// store is a stand-in for the platform's metadata store, as PROTOCOL.md describes it. Operators and
// replicas write to it directly. It answers each call at once and keeps its whole history.
type store struct {
	mu       sync.Mutex
	changed  *sync.Cond
	items    map[string]item
	history  []item
	revision int64
	// oldest is the revision before which there is no history.
	oldest int64
	era    int64
	lease  int64
	// away is set while the store answers 503.
	away bool
}

func newStore() *store {
	s := &store{items: map[string]item{}, era: 1}
	s.changed = sync.NewCond(&s.mu)
	return s
}

// put writes a value and returns when the store has acknowledged it.
func (s *store) put(key string, value any) time.Time {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return s.putBytes(key, data)
}

func (s *store) putBytes(key string, data []byte) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.record(item{Key: key, Value: data})
	return time.Now()
}

// remove removes a key and returns when the store has acknowledged it.
func (s *store) remove(key string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; ok {
		s.record(item{Key: key, Deleted: true})
	}
	return time.Now()
}

func (s *store) has(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.items[key]
	return ok
}

func (s *store) record(change item) {
	s.revision++
	change.Revision, change.Created = s.revision, s.revision
	if before, ok := s.items[change.Key]; ok {
		change.Created = before.Created
	}
	if change.Deleted {
		change.Created = 0
		delete(s.items, change.Key)
	} else {
		s.items[change.Key] = change
	}
	s.history = append(s.history, change)
	s.changed.Broadcast()
}

// storeCopy is a copy of the store's contents.
type storeCopy struct {
	items    map[string]item
	revision int64
}

func (s *store) copy() storeCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return storeCopy{maps.Clone(s.items), s.revision}
}

// setAway makes the store answer 503, or answer again.
func (s *store) setAway(away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = away
	s.changed.Broadcast()
}

// restore replaces the contents by a copy and raises the era.
func (s *store) restore(c storeCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.items, s.revision, s.history, s.oldest = maps.Clone(c.items), c.revision, nil, c.revision
	s.era++
	s.away = false
	s.changed.Broadcast()
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stamp(w)
	switch {
	case s.away:
		w.WriteHeader(http.StatusServiceUnavailable)
	case r.URL.Path == "/nutmeglane/kv-key":
		found, ok := s.items[r.FormValue("key")]
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		reply(w, struct {
			item
			AsOf int64 `json:"asOf"`
		}{found, s.revision})
	case r.URL.Path == "/nutmeglane/kv-range":
		s.serveRange(w, r)
	case r.URL.Path == "/nutmeglane/kv-watch":
		s.serveWatch(w, r)
	case r.URL.Path == "/nutmeglane/kv-lease":
		s.lease++
		reply(w, map[string]int64{"lease": s.lease, "ttlMs": 600_000})
	case strings.HasPrefix(r.URL.Path, "/nutmeglane/kv-keep/"), strings.HasPrefix(r.URL.Path, "/nutmeglane/kv-lease-end/"):
		reply(w, map[string]int64{"ttlMs": 600_000})
	case r.URL.Path == "/nutmeglane/kv-txn":
		s.serveTransaction(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) stamp(w http.ResponseWriter) {
	w.Header().Set("Store-Era", strconv.FormatInt(s.era, 10))
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	answer := map[string]any{"morePages": false, "asOf": s.revision}
	list := []item{}
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if strings.HasPrefix(key, r.FormValue("prefix")) && key > r.FormValue("after") {
			list = append(list, s.items[key])
		}
	}
	answer["items"] = list
	reply(w, answer)
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseInt(r.FormValue("after"), 10, 64)
	wait, _ := strconv.ParseInt(r.FormValue("waitMs"), 10, 64)
	prefix := r.FormValue("prefix")
	until := time.Now().Add(time.Duration(wait) * time.Millisecond)
	for !s.away && after >= s.oldest && after <= s.revision && len(s.events(after, prefix)) == 0 && time.Now().Before(until) && r.Context().Err() == nil {
		timer := time.AfterFunc(time.Until(until), s.changed.Broadcast)
		s.changed.Wait()
		timer.Stop()
	}
	s.stamp(w)
	switch {
	case s.away:
		w.WriteHeader(http.StatusServiceUnavailable)
	case after < s.oldest || after > s.revision:
		w.WriteHeader(http.StatusGone)
	default:
		reply(w, map[string]any{"events": s.events(after, prefix), "asOf": s.revision})
	}
}

func (s *store) events(after int64, prefix string) []item {
	events := []item{}
	for _, change := range s.history {
		if change.Revision > after && strings.HasPrefix(change.Key, prefix) {
			events = append(events, change)
		}
	}
	return events
}

func (s *store) serveTransaction(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Expected []struct {
			Key      string `json:"key"`
			Revision int64  `json:"revision"`
		} `json:"expected"`
		Writes []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease int64  `json:"lease"`
		} `json:"writes"`
		Remove []string `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, e := range t.Expected {
		if s.items[e.Key].Revision != e.Revision {
			w.WriteHeader(http.StatusPreconditionFailed)
			return
		}
	}
	for _, write := range t.Writes {
		if write.Lease > s.lease {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		s.record(item{Key: write.Key, Value: write.Value, Lease: write.Lease})
	}
	for _, key := range t.Remove {
		if _, ok := s.items[key]; ok {
			s.record(item{Key: key, Deleted: true})
		}
	}
	reply(w, map[string]int64{"revision": s.revision})
}

func reply(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
