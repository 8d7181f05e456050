// Package engine is a simulated model engine for tests and for `nutmeglane dev
// up`. It serves the interface of package engineapi, simulates the duration of
// loads and tokens, and counts violations, such as double runs.
//
// It also serves GET /admin/referee (Report) and POST /admin/faults (Faults).
package engine

import (
	"cmp"
	"context"
	"net/http"
	"sync"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
	api "nutmeglane.example/nutmeglane/internal/engine/engineapi"
	"nutmeglane.example/nutmeglane/internal/standin/admin"
)

// Options configure a Server. Zero values mean the defaults given.
type Options struct {
	// MemoryMiB is the accelerator memory. Default 24576.
	MemoryMiB int64
	// StoreURL is the weight store's base URL. If it is empty, checkpoints are
	// fetched at a fixed simulated rate.
	StoreURL string
	// LoadFixed is the part of the load time that does not depend on the size.
	LoadFixed time.Duration
	// TokensPerSecond is the token rate of each stream. Default 40.
	TokensPerSecond float64
	// MaxBatch is the number of completions that run concurrently. Default 8.
	MaxBatch int
	// ReportLag is the delay of load reports and cache events.
	ReportLag time.Duration
	// TimeScale is a factor for all durations. Default 1.
	TimeScale float64
	// IgnoreFencing makes the engine accept orders with old fencing numbers.
	IgnoreFencing bool
	// Referee may be shared between engines. Default: a new one.
	Referee *Referee
}

func (o *Options) setDefaults() {
	o.MemoryMiB = cmp.Or(o.MemoryMiB, 24576)
	o.TokensPerSecond = cmp.Or(o.TokensPerSecond, 40)
	o.MaxBatch = cmp.Or(o.MaxBatch, 8)
	o.TimeScale = cmp.Or(o.TimeScale, 1)
	o.Referee = cmp.Or(o.Referee, NewReferee())
}

// item is a checkpoint that occupies accelerator memory.
type item struct {
	api.Item
	runs int
	// ctx is cancelled when the item is unloaded.
	ctx    context.Context
	unload context.CancelFunc
}

// The queues for a place in the batch, the one with precedence first.
const (
	interactiveQueue = iota
	batchQueue
	queueCount
)

// Server is a simulated model engine.
type Server struct {
	*admin.Server
	opts   Options
	client *http.Client

	mu     sync.Mutex
	faults Faults
	epoch  uint64
	role   api.Role
	items  map[string]*item
	fences map[string]uint64
	cached map[string]api.Tier
	// inMemory lists the checkpoints cached in host memory, oldest first.
	inMemory []string
	// running is the current size of the batch. queues holds the runs that
	// wait for a place in it.
	running int
	queues  [queueCount][]chan struct{}
	// The data for load reports, oldest first.
	changes  []change
	prefixes []uint64
	sequence uint64
}

// New returns a Server with nothing loaded.
func New(opts Options) *Server {
	opts.setDefaults()
	s := &Server{
		Server: admin.NewServer(), opts: opts, cached: map[string]api.Tier{},
		client: &http.Client{Transport: &http.Transport{}},
	}
	s.reset()
	s.HandleFunc("GET "+api.PathInventory, s.waitWhileHanging(admin.JSONHandler(s.inventory)))
	s.HandleFunc("POST "+api.PathOrders, s.order)
	s.HandleFunc("GET "+api.PathLoad, s.waitWhileHanging(admin.JSONHandler(s.load)))
	s.HandleFunc("POST "+api.PathCompletions, s.waitWhileHanging(s.complete))
	admin.RegisterEndpoints(s.Server, "/admin/referee", opts.Referee.Report, s.SetFaults)
	return s
}

// Referee returns the server's referee.
func (s *Server) Referee() *Referee { return s.opts.Referee }

// Close cancels loads, runs and hanging requests.
func (s *Server) Close() {
	s.Server.Close()
	s.client.CloseIdleConnections()
}

// waitWhileHanging delays a request while the hang fault is set.
func (s *Server) waitWhileHanging(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if s.AwaitHang(r.Context()) {
			next(w, r)
		}
	}
}

// reset clears all state of the engine's process, as a restart does. The caller
// holds mu, or is New.
func (s *Server) reset() {
	for _, it := range s.items {
		s.release(it)
	}
	s.epoch++
	s.role = api.RoleServing
	s.items = map[string]*item{}
	s.fences = map[string]uint64{}
}

// release frees an item's memory. The caller holds mu.
func (s *Server) release(it *item) {
	delete(s.items, it.Key)
	it.unload()
	s.opts.Referee.countRelease(it.Key)
}

func (s *Server) scale(d time.Duration) time.Duration {
	return time.Duration(float64(d) * s.opts.TimeScale)
}

func (s *Server) inventory() api.Inventory {
	s.mu.Lock()
	defer s.mu.Unlock()
	result := api.Inventory{MemoryMiB: s.opts.MemoryMiB, ChecksFencing: !s.opts.IgnoreFencing}
	result.Role, result.RoleFence = s.role, s.fences[roleSlot]
	for _, key := range core.SortedKeys(s.items) {
		result.Items = append(result.Items, s.items[key].Item)
	}
	result.Cached = s.cachedList()
	return result
}

func (s *Server) cachedList() []api.Cached {
	var list []api.Cached
	for _, key := range core.SortedKeys(s.cached) {
		list = append(list, api.Cached{Key: key, Tier: s.cached[key]})
	}
	return list
}
