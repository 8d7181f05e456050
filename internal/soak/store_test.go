package soak

import (
	"context"
	"encoding/json"
	"maps"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeMode is the behaviour of the store.
type storeMode int

const (
	storeWorks storeMode = iota
	// storeRefuses answers every call with 503.
	storeRefuses
	// storeThrottles answers every call with 429.
	storeThrottles
	// storeHangs answers nothing until it works again.
	storeHangs
)

// item is a value of the store in the encoding of the platform's protocol.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// store is a stand-in for the platform's metadata store. The processes under test
// use it over HTTP; operators and backend servers write to it directly.
type store struct {
	mu       sync.Mutex
	changed  *sync.Cond
	items    map[string]item
	history  []item
	revision int64
	// forgotten is the revision up to which the history has been discarded.
	forgotten int64
	mode      storeMode
	// lease is the last lease granted. Leases don't expire within a test.
	lease int64
	// era is incremented each time the store is restored from a copy.
	era    int64
	copies copies
}

func newStore() *store {
	s := &store{items: map[string]item{}, era: 1}
	s.changed = sync.NewCond(&s.mu)
	return s
}

func (s *store) put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err) // plain structs always encode
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.record(item{Key: key, Value: data})
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; ok {
		s.record(item{Key: key, Deleted: true})
	}
}

func (s *store) record(change item) {
	s.revision++
	change.Revision = s.revision
	s.history = append(s.history, change)
	if change.Deleted {
		delete(s.items, change.Key)
	} else {
		s.items[change.Key] = change
	}
	s.changed.Broadcast()
}

// keepCopies copies the store's contents every copyPause until ctx ends.
func (s *store) keepCopies(ctx context.Context) {
	for ctx.Err() == nil {
		s.mu.Lock()
		s.copies.add(storeCopy{items: maps.Clone(s.items), revision: s.revision})
		s.mu.Unlock()
		time.Sleep(copyPause)
	}
}

// restoreCopy replaces the store's contents by the oldest copy. The revision goes back with it,
// so later revisions are assigned a second time.
func (s *store) restoreCopy() {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, ok := s.copies.oldest()
	if !ok {
		return
	}
	s.items, s.revision, s.history, s.forgotten = old.items, old.revision, nil, old.revision
	s.era++
	s.changed.Broadcast()
}

// notes returns the values written by the processes under test.
func (s *store) notes() map[string][]byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	notes := map[string][]byte{}
	for key, value := range s.items {
		if strings.HasPrefix(key, "notes/") {
			notes[key] = value.Value
		}
	}
	return notes
}

// removeStale removes the registry entries of instances that are not in there.
func (s *store) removeStale(there map[string]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, key := range sortedKeys(s.items) {
		if instance, ok := strings.CutPrefix(key, "servers/"); ok && !there[instance] {
			s.record(item{Key: key, Deleted: true})
		}
	}
}

// forget discards the history, as the platform may at any time.
func (s *store) forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.forgotten = nil, s.revision
}

func (s *store) setMode(mode storeMode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = mode
	s.changed.Broadcast()
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.mode == storeHangs && r.Context().Err() == nil {
		s.wait(time.Second)
	}
	s.stampEra(w)
	switch {
	case s.mode == storeRefuses:
		w.WriteHeader(http.StatusServiceUnavailable)
	case s.mode == storeThrottles:
		w.WriteHeader(http.StatusTooManyRequests)
	case r.URL.Path == "/nutmeglane/kv-key":
		s.serveKey(w, r.FormValue("key"))
	case r.URL.Path == "/nutmeglane/kv-range":
		s.serveRange(w, r.FormValue("prefix"), r.FormValue("after"))
	case r.URL.Path == "/nutmeglane/kv-watch":
		s.serveWatch(w, r)
	case r.URL.Path == "/nutmeglane/kv-lease":
		s.lease++
		answerJSON(w, map[string]int64{"lease": s.lease, "ttlMs": 600_000})
	case r.URL.Path == "/nutmeglane/kv-txn":
		s.serveTransaction(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) stampEra(w http.ResponseWriter) {
	w.Header().Set("Store-Era", strconv.FormatInt(s.era, 10))
}

// serveTransaction carries out writes without conditions.
func (s *store) serveTransaction(w http.ResponseWriter, r *http.Request) {
	var transaction struct {
		Writes []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease int64  `json:"lease"`
		} `json:"writes"`
		Remove []string `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&transaction); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, write := range transaction.Writes {
		if write.Lease == 0 || write.Lease > s.lease {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		s.record(item{Key: write.Key, Value: write.Value})
	}
	for _, key := range transaction.Remove {
		if _, ok := s.items[key]; ok {
			s.record(item{Key: key, Deleted: true})
		}
	}
	answerJSON(w, map[string]int64{"revision": s.revision})
}

func (s *store) serveKey(w http.ResponseWriter, key string) {
	found, ok := s.items[key]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answerJSON(w, struct {
		item
		AsOf int64 `json:"asOf"`
	}{found, s.revision})
}

// page is the answer to a range or watch.
type page struct {
	Items     []item `json:"items,omitempty"`
	Events    []item `json:"events,omitempty"`
	MorePages bool   `json:"morePages"`
	AsOf      int64  `json:"asOf"`
}

// pageItems is below the number of backend servers, so that ranges have pages.
const pageItems = 2

func (s *store) serveRange(w http.ResponseWriter, prefix, after string) {
	answer := page{AsOf: s.revision}
	for _, key := range sortedKeys(s.items) {
		if !strings.HasPrefix(key, prefix) || key <= after {
			continue
		}
		if len(answer.Items) == pageItems {
			answer.MorePages = true
			break
		}
		answer.Items = append(answer.Items, s.items[key])
	}
	answerJSON(w, answer)
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseInt(r.FormValue("after"), 10, 64)
	wait, _ := strconv.ParseInt(r.FormValue("waitMs"), 10, 64)
	limit := time.Now().Add(time.Duration(wait) * time.Millisecond)
	for after == s.revision && time.Now().Before(limit) && r.Context().Err() == nil {
		s.wait(time.Until(limit))
	}
	s.stampEra(w) // the store may have been restored meanwhile
	if after < s.forgotten || after > s.revision {
		w.WriteHeader(http.StatusGone)
		return
	}
	answer := page{AsOf: s.revision}
	for _, change := range s.history {
		if change.Revision > after && strings.HasPrefix(change.Key, r.FormValue("prefix")) {
			answer.Events = append(answer.Events, change)
		}
	}
	answerJSON(w, answer)
}

// wait waits for a change, but no longer than most. The caller holds s.mu.
func (s *store) wait(most time.Duration) {
	timer := time.AfterFunc(most, s.changed.Broadcast)
	s.changed.Wait()
	timer.Stop()
}

func answerJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value) // fails only if the client has disconnected
}
