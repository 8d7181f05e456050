package engine

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"time"

	api "nutmeglane.example/nutmeglane/internal/engine/engineapi"
	"nutmeglane.example/nutmeglane/internal/standin/admin"
)

const (
	// memoryCached is the number of unloaded checkpoints kept in the host's
	// memory.
	memoryCached = 4
	// roleSlot is the key in fences for orders that change the role. They have
	// no checkpoint key.
	roleSlot = ""
)

// rates are the rates in MiB/s of reading a checkpoint from a tier. The key "" is
// the rate of copying it to the disk if there is no weight store.
var rates = map[api.Tier]float64{api.TierMemory: 20000, api.TierDisk: 2000, "": 500}

// order executes an order to its end, even if the client disconnects.
func (s *Server) order(w http.ResponseWriter, r *http.Request) {
	received := time.Now()
	var o api.Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil || o.Key == "" && o.Kind != api.KindRole {
		refuse(w, api.ReasonBadRequest)
		return
	}
	if !s.AwaitHang(r.Context()) {
		return
	}
	valid := time.Duration(o.ValidForMillis) * time.Millisecond
	if valid > 0 && time.Since(received) > valid {
		refuse(w, api.ReasonExpired)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	reason := s.admit(o)
	if reason == "" {
		reason = s.execute(o)
	}
	switch {
	case consume(&s.faults.LoseNextAnswer):
		panic(http.ErrAbortHandler)
	case reason != "":
		refuse(w, reason)
	default:
		admin.WriteJSON(w, http.StatusOK, struct{}{})
	}
}

func refuse(w http.ResponseWriter, reason api.Reason) {
	admin.WriteJSON(w, reason.Status(), api.Refusal{Reason: reason})
}

// admit checks the refuse fault and the fencing number. Like the functions below,
// it returns the reason of a refusal, or "". The caller holds mu.
func (s *Server) admit(o api.Order) api.Reason {
	if s.faults.Refuse {
		return api.ReasonRefused
	}
	slot := cmp.Or(o.Base, o.Key)
	if o.Fence < s.fences[slot] && !s.opts.IgnoreFencing {
		s.opts.Referee.Count(func(r *Report) { r.Fenced++ })
		return api.ReasonFenced
	}
	s.fences[slot] = max(s.fences[slot], o.Fence)
	return ""
}

// execute executes an admitted order. It releases mu while it waits.
func (s *Server) execute(o api.Order) api.Reason {
	switch o.Kind {
	case api.KindLoad:
		return s.loadItem(o)
	case api.KindUnload:
		return s.unloadItem(o)
	case api.KindPrefetch:
		return s.prefetch(o)
	case api.KindRole:
		return s.changeRole(o.Role)
	}
	return api.ReasonBadRequest
}

func (s *Server) changeRole(role api.Role) api.Reason {
	if role != api.RoleServing && role != api.RoleDraining {
		return api.ReasonBadRequest
	}
	s.role = role
	return ""
}

func (s *Server) loadItem(o api.Order) api.Reason {
	it, base := s.items[o.Key], s.items[o.Base]
	switch {
	case s.role == api.RoleDraining:
		return api.ReasonDraining
	case it != nil && it.Busy, o.Base != "" && (base == nil || base.Busy):
		return api.ReasonRefused
	case it != nil: // loaded already
		it.Fence = max(it.Fence, o.Fence)
		return ""
	case s.used()+o.MemoryMiB > s.opts.MemoryMiB:
		s.opts.Referee.Count(func(r *Report) { r.MemoryViolations++ })
		return api.ReasonNoMemory
	}
	it = s.reserve(o)
	reason := s.readCheckpoint(o)
	if consume(&s.faults.FailNextLoad) || s.items[o.Key] != it { // or restarted
		reason = api.ReasonFailed
	}
	it.Busy = false
	if reason != "" && s.items[o.Key] == it {
		s.release(it)
	}
	return reason
}

func (s *Server) used() (sum int64) {
	for _, it := range s.items {
		sum += it.MemoryMiB
	}
	return sum
}

// reserve allocates the memory for a load that begins.
func (s *Server) reserve(o api.Order) *item {
	it := &item{Item: api.Item{Key: o.Key, Base: o.Base, MemoryMiB: o.MemoryMiB, Fence: o.Fence, Busy: true}}
	it.ctx, it.unload = context.WithCancel(context.Background())
	s.items[o.Key] = it
	s.opts.Referee.countLoad(o.Key)
	return it
}

func (s *Server) unloadItem(o api.Order) api.Reason {
	it := s.items[o.Key]
	if it == nil {
		return ""
	}
	for _, other := range s.items {
		if it.Busy || other.Base == o.Key {
			return api.ReasonRefused
		}
	}
	s.release(it)
	s.cacheInMemory(o.Key)
	s.opts.Referee.Count(func(r *Report) { r.Unloads++; r.RunsCut += it.runs })
	return ""
}

// cacheInMemory adds a checkpoint to the memory cache. If the cache is full, the
// oldest checkpoint is demoted to the disk.
func (s *Server) cacheInMemory(key string) {
	s.inMemory = append(slices.DeleteFunc(s.inMemory, func(k string) bool { return k == key }), key)
	s.cached[key] = api.TierMemory
	if len(s.inMemory) > memoryCached {
		s.cached[s.inMemory[0]] = api.TierDisk
		s.inMemory = s.inMemory[1:]
	}
}

func (s *Server) prefetch(o api.Order) api.Reason {
	if s.cached[o.Key] != "" {
		return ""
	}
	s.opts.Referee.Count(func(r *Report) { r.Prefetches++ })
	return s.fetch(o)
}

// readCheckpoint waits for the duration of a load from the fastest tier that has
// the checkpoint.
func (s *Server) readCheckpoint(o api.Order) api.Reason {
	read := s.opts.LoadFixed
	if tier := s.cached[o.Key]; tier != "" {
		read += transferTime(o, tier)
	} else if reason := s.fetch(o); reason != "" {
		return reason
	}
	if !s.sleepScaled(read) {
		return api.ReasonFailed
	}
	return ""
}

func transferTime(o api.Order, tier api.Tier) time.Duration {
	return time.Duration(float64(o.CheckpointMiB) / rates[tier] * float64(time.Second))
}

// sleepScaled waits for a duration multiplied by TimeScale. It returns false if
// the engine is closed. It releases mu while it waits.
func (s *Server) sleepScaled(d time.Duration) bool {
	s.mu.Unlock()
	defer s.mu.Lock()
	return admin.Sleep(s.Context(), s.scale(d), nil)
}

// fetch copies a checkpoint from the weight store to the disk.
func (s *Server) fetch(o api.Order) api.Reason {
	if s.opts.StoreURL == "" && !s.sleepScaled(transferTime(o, "")) {
		return api.ReasonStoreFailed
	}
	if s.opts.StoreURL != "" && !s.fetchFromStore(o) {
		return api.ReasonStoreFailed
	}
	s.cached[o.Key] = api.TierDisk
	return ""
}

func (s *Server) fetchFromStore(o api.Order) bool {
	s.mu.Unlock()
	defer s.mu.Lock()
	address := fmt.Sprintf("%s/checkpoints/%s?sizeMiB=%d", s.opts.StoreURL, url.PathEscape(o.Key), o.CheckpointMiB)
	request, err := http.NewRequestWithContext(s.Context(), http.MethodGet, address, nil)
	if err != nil {
		return false
	}
	response, err := s.client.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
