// Package engine is a small stand-in for a model engine, for tests and the
// embedded default. It serves package engineapi's interface, takes the time
// that loads and tokens would take, and counts what must never happen.
//
// Besides it serves GET /admin/referee (Report) and POST /admin/faults (Faults).
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
	// StoreURL is the weight store's base. Without it, remote checkpoints
	// come at a set rate.
	StoreURL string
	// LoadFixed is the part of a load's time that no size changes.
	LoadFixed time.Duration
	// TokensPerSecond is the rate of each stream. Default 40.
	TokensPerSecond float64
	// MaxBatch is the number of completions run at once. Default 8.
	MaxBatch int
	// ReportLag is how far load report and cache events lag behind.
	ReportLag time.Duration
	// TimeScale multiplies all durations. Default 1.
	TimeScale float64
	// IgnoreFencing makes the engine obey old fencing numbers.
	IgnoreFencing bool
	// Referee may be shared between engines. Default a new one.
	Referee *Referee
}

func (o *Options) setDefaults() {
	o.MemoryMiB = cmp.Or(o.MemoryMiB, 24576)
	o.TokensPerSecond = cmp.Or(o.TokensPerSecond, 40)
	o.MaxBatch = cmp.Or(o.MaxBatch, 8)
	o.TimeScale = cmp.Or(o.TimeScale, 1)
	o.Referee = cmp.Or(o.Referee, NewReferee())
}

// item is a checkpoint that takes accelerator memory.
type item struct {
	api.Item
	runs int
	// ctx ends when the item is unloaded.
	ctx    context.Context
	unload context.CancelFunc
}

// The lines for a place in the batch, the first in line first.
const (
	interactiveLine = iota
	batchLine
	lineCount
)

// Server is a running stand-in.
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
	// inMemory lists the checkpoints cached in memory, oldest first.
	inMemory []string
	// running is the size of the batch; lines wait for a place in it.
	running int
	lines   [lineCount][]chan struct{}
	// What the load report is made from, oldest first.
	changes  []change
	prefixes []uint64
	sequence uint64
}

// New returns a Server that holds nothing loaded.
func New(opts Options) *Server {
	opts.setDefaults()
	s := &Server{
		Server: admin.NewServer(), opts: opts, cached: map[string]api.Tier{},
		client: &http.Client{Transport: &http.Transport{}},
	}
	s.empty()
	s.HandleFunc("GET "+api.PathInventory, s.answerable(admin.JSONHandler(s.inventory)))
	s.HandleFunc("POST "+api.PathOrders, s.order)
	s.HandleFunc("GET "+api.PathLoad, s.answerable(admin.JSONHandler(s.load)))
	s.HandleFunc("POST "+api.PathCompletions, s.answerable(s.complete))
	admin.RegisterEndpoints(s.Server, "/admin/referee", opts.Referee.Report, s.SetFaults)
	return s
}

// Referee returns the counts.
func (s *Server) Referee() *Referee { return s.opts.Referee }

// Close ends loads, runs and hanging requests.
func (s *Server) Close() {
	s.Server.Close()
	s.client.CloseIdleConnections()
}

// answerable holds a request up while the engine hangs.
func (s *Server) answerable(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if s.AwaitHang(r.Context()) {
			next(w, r)
		}
	}
}

// empty forgets all that a process of the engine holds. The caller holds mu,
// or is New.
func (s *Server) empty() {
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
	s.opts.Referee.drop(it.Key)
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
