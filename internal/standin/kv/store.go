package kv

import (
	"net/http"
	"strings"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/kv"
)

// maxHistory is the number of changes kept, from which watches can resume.
const maxHistory = 256

type entry struct {
	kv.Item
	lease int64
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// store is the state: keys, leases and the history of changes.
type store struct {
	revision  int64
	keys      map[string]entry
	leases    map[int64]*lease
	lastLease int64
	history   []kv.Change
	// compacted is the revision of the newest change dropped from history.
	compacted int64
	// changed is closed and replaced to wake the waiting watches.
	changed chan struct{}
}

func newStore() *store {
	return &store{keys: map[string]entry{}, leases: map[int64]*lease{}, changed: make(chan struct{})}
}

func (s *store) get(key string) kv.Item {
	item := s.keys[key].Item
	item.Key = key
	return item
}

func (s *store) cas(req kv.CasRequest, _ time.Time) (int, any) {
	if len(req.Value) > kv.MaxValueBytes {
		return http.StatusRequestEntityTooLarge, nil
	}
	current := s.get(req.Key)
	if current.Revision != req.Revision || (req.Lease != 0 && s.leases[req.Lease] == nil) {
		return http.StatusConflict, current
	}
	item := kv.Item{Key: req.Key, Value: req.Value, Revision: s.revision + 1}
	s.keys[req.Key] = entry{Item: item, lease: req.Lease}
	s.record(kv.Change{Item: item})
	return http.StatusOK, kv.Item{Key: req.Key, Revision: s.revision}
}

func (s *store) grant(req kv.LeaseRequest, now time.Time) (int, any) {
	if req.TTLMillis <= 0 {
		return http.StatusBadRequest, nil
	}
	ttl := time.Duration(req.TTLMillis) * time.Millisecond
	s.lastLease++
	s.leases[s.lastLease] = &lease{ttl: ttl, expires: now.Add(ttl)}
	return http.StatusOK, kv.Lease{Lease: s.lastLease}
}

func (s *store) keepAlive(req kv.Lease, now time.Time) (int, any) {
	l := s.leases[req.Lease]
	if l == nil {
		return http.StatusConflict, nil
	}
	l.expires = now.Add(l.ttl)
	return http.StatusOK, req
}

// expire removes the expired leases and deletes the keys bound to them.
func (s *store) expire(now time.Time) {
	for _, id := range core.SortedKeys(s.leases) {
		if !now.Before(s.leases[id].expires) {
			delete(s.leases, id)
			s.deleteBound(id)
		}
	}
}

func (s *store) deleteBound(lease int64) {
	for _, key := range core.SortedKeys(s.keys) {
		if s.keys[key].lease == lease {
			delete(s.keys, key)
			s.record(kv.Change{Item: kv.Item{Key: key, Revision: s.revision + 1}, Deleted: true})
		}
	}
}

// untilExpiry returns the time until the next lease expires, at most limit.
func (s *store) untilExpiry(now time.Time, limit time.Duration) time.Duration {
	for _, l := range s.leases {
		limit = min(limit, l.expires.Sub(now))
	}
	return limit
}

func (s *store) record(c kv.Change) {
	s.revision = c.Revision
	s.history = append(s.history, c)
	s.compact(maxHistory)
	s.notifyWatches()
}

// notifyWatches makes the waiting watches poll again.
func (s *store) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// compact drops all but the newest changes.
func (s *store) compact(keep int) {
	for len(s.history) > keep {
		s.compacted = s.history[0].Revision
		s.history = s.history[1:]
	}
}

func (s *store) list(prefix string) kv.Snapshot {
	snapshot := kv.Snapshot{Revision: s.revision}
	for _, key := range core.SortedKeys(s.keys) {
		if strings.HasPrefix(key, prefix) {
			snapshot.Items = append(snapshot.Items, s.get(key))
		}
	}
	return snapshot
}

// since returns the changes after a revision. A revision above the current one
// was issued by another store and counts as compacted.
func (s *store) since(prefix string, after int64) kv.Batch {
	batch := kv.Batch{Revision: s.revision}
	if after < s.compacted || after > s.revision {
		batch.Compacted = true
		return batch
	}
	for _, c := range s.history {
		if c.Revision > after && strings.HasPrefix(c.Key, prefix) {
			batch.Changes = append(batch.Changes, c)
		}
	}
	return batch
}
