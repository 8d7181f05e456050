package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// model is a model as the configuration declares it.
type model struct {
	name             string
	mb               float64
	load, disk, warm time.Duration
	adapters         int
	adapterMB        float64
}

// engine is what a model replica holds, and carries out orders. It keeps its disk over restarts.
type engine struct {
	*replica
	capacityMB float64
	models     []model

	// lateModels are the models of which the next order to load gets no answer and is carried
	// out lateFor later.
	lateModels []string
	lateFor    time.Duration

	mu       sync.Mutex
	loaded   []string // MODEL or MODEL/ADAPTER
	loading  string
	inMemory []string
	onDisk   []string
	seq      int64
	running  int
	// overload is the first order by which the replica was to hold more than its memory.
	overload string
}

// order is an order to the engine.
type order struct {
	Operation string `json:"operation"`
	Model     string `json:"model"`
	Adapter   string `json:"adapter"`
	Expected  *int64 `json:"expected"`
	Holder    string `json:"holder"`
	Fence     int64  `json:"fencingToken"`
}

func (o order) String() string {
	name := o.Model
	if o.Adapter != "" {
		name += "/" + o.Adapter
	}
	expected := "none"
	if o.Expected != nil {
		expected = fmt.Sprint(*o.Expected)
	}
	return fmt.Sprintf("%s %s, expected %s", o.Operation, name, expected)
}

func (e *engine) find(name string) model {
	i := slices.IndexFunc(e.models, func(m model) bool { return m.name == name })
	return e.models[i]
}

// restart drops what the engine held in its last life.
func (e *engine) restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.loaded, e.loading, e.inMemory, e.seq, e.running = nil, "", nil, 0, 0
}

// place puts models at the engine before its first start, as the platform does.
func (e *engine) place(names []string) {
	e.loaded, e.inMemory, e.onDisk = slices.Clone(names), slices.Clone(names), slices.Clone(names)
}

// heldMB is the memory of what is loaded and being loaded. The caller holds mu.
func (e *engine) heldMB() float64 {
	sum := 0.0
	for _, name := range append(slices.Clone(e.loaded), e.loading) {
		base, _, isAdapter := strings.Cut(name, "/")
		switch {
		case name == "":
		case isAdapter:
			sum += e.find(base).adapterMB
		default:
			sum += e.find(base).mb
		}
	}
	return sum
}

func (e *engine) loadedModels() []any {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.modelList()
}

// modelList lists the models with their adapters. The caller holds mu.
func (e *engine) modelList() []any {
	models := []any{}
	for _, name := range e.loaded {
		if strings.Contains(name, "/") {
			continue
		}
		adapters := []string{}
		for _, other := range e.loaded {
			if adapter, ok := strings.CutPrefix(other, name+"/"); ok {
				adapters = append(adapters, adapter)
			}
		}
		models = append(models, map[string]any{"name": name, "version": 1, "adapters": adapters})
	}
	return models
}

func (e *engine) ServeHTTP(w http.ResponseWriter, in *http.Request) {
	switch in.URL.Path {
	case "/nutmeglane/report":
		e.report(w)
	case "/nutmeglane/order":
		e.takeOrder(w, in)
	default:
		e.run(w, in)
	}
}

func (e *engine) report(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{
		"stage": "colocated", "state": "ready", "born": e.life(), "models": e.modelList(), "busy": e.loading != "", "seq": e.seq,
		"waiting": 0, "running": e.running, "kvUsed": 100 * e.running, "kvTotal": 148430, "handles": 0, "pinned": 0, "held": 0,
		"runs": []any{}, "coming": []string{}, "atHand": map[string]any{"inMemory": e.inMemory, "onDisk": e.onDisk},
	})
}

func (e *engine) takeOrder(w http.ResponseWriter, in *http.Request) {
	var o order
	if err := json.NewDecoder(in.Body).Decode(&o); err != nil || o.Holder == "" || o.Fence == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if e.isLate(o) {
		e.w.note("engine %s: order %s gets no answer, and is carried out %v later", e.id, o, e.lateFor)
		time.AfterFunc(e.lateFor, func() {
			if e.life() == 0 {
				e.w.note("engine %s: the late order %s finds nobody", e.id, o)
				return
			}
			e.w.note("engine %s: the late order %s arrives", e.id, o)
			e.carryOut(o)
		})
		<-in.Context().Done()
		return
	}
	w.WriteHeader(e.carryOut(o))
}

// isLate reports whether an order is one of those that get no answer.
func (e *engine) isLate(o order) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	i := slices.Index(e.lateModels, o.Model)
	if i < 0 || o.Operation != "model_load" || o.Adapter != "" {
		return false
	}
	e.lateModels = slices.Delete(e.lateModels, i, i+1)
	return true
}

// carryOut accepts or refuses an order, and returns the status of its answer.
func (e *engine) carryOut(o order) (status int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	defer func() {
		e.w.note("engine %s, born %d: order %s -> %d; holds %v, loads %q, %.0f of %.0f MB, seq %d", e.id, e.life(), o, status, e.loaded, e.loading, e.heldMB(), e.capacityMB, e.seq)
	}()
	name := o.Model
	if o.Adapter != "" {
		name += "/" + o.Adapter
	}
	switch {
	case e.loading != "", o.Expected != nil && *o.Expected != e.seq:
		return http.StatusConflict
	case slices.Contains(e.loaded, name) == (o.Operation == "model_load"):
		return http.StatusOK
	}
	e.seq++
	if o.Operation == "model_unload" {
		e.loaded = slices.DeleteFunc(e.loaded, func(held string) bool { return held == name || strings.HasPrefix(held, name+"/") })
		return http.StatusAccepted
	}
	if o.Adapter != "" {
		e.loaded = append(e.loaded, name)
		return http.StatusAccepted
	}
	e.loading = name
	if e.heldMB() > e.capacityMB {
		if e.overload == "" {
			e.overload = o.String()
		}
		go e.crash()
		return http.StatusAccepted
	}
	born := e.life()
	time.AfterFunc(e.loadTime(name), func() { e.loadEnded(name, born) })
	return http.StatusAccepted
}

// loadTime is the time to load a model. The caller holds mu.
func (e *engine) loadTime(name string) time.Duration {
	m := e.find(name)
	switch {
	case slices.Contains(e.inMemory, name):
		return m.warm
	case slices.Contains(e.onDisk, name):
		return m.disk
	default:
		return m.load
	}
}

func (e *engine) loadEnded(name string, born int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.life() != born || e.loading != name {
		return
	}
	e.loading = ""
	e.loaded = append(e.loaded, name)
	for _, copies := range []*[]string{&e.inMemory, &e.onDisk} {
		if !slices.Contains(*copies, name) {
			*copies = append(*copies, name)
		}
	}
	e.w.note("engine %s: %s is loaded; holds %v, %.0f MB", e.id, name, e.loaded, e.heldMB())
}

// run serves a generation, which has as many events as its path says.
func (e *engine) run(w http.ResponseWriter, in *http.Request) {
	id, name := in.Header.Get("Nutmeglane-Request-Id"), in.Header.Get("Nutmeglane-Model")
	base, _, _ := strings.Cut(name, "/")
	e.mu.Lock()
	present := slices.Contains(e.loaded, name) && slices.Contains(e.loaded, base)
	if present {
		e.running++
	}
	e.mu.Unlock()
	e.head(w, in)
	if !present {
		w.Header().Del("Nutmeglane-Server-Seal")
		w.Header().Set("Nutmeglane-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	defer func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.running = max(0, e.running-1)
	}()
	e.w.note("engine %s: run of %s on %s", e.id, id, name)
	w.Header().Set("Content-Type", "text/event-stream")
	events := eventsOf(in.URL.Path)
	for n := 1; n <= events; n++ {
		select {
		case <-in.Context().Done():
			return
		case <-time.After(60 * time.Millisecond):
		}
		fmt.Fprintf(w, "id: %d\ndata: piece %d of %d\n\n", n, n, events)
		w.(http.Flusher).Flush()
	}
}

// declaration is the engine as the configuration describes it.
func (e *engine) declaration() map[string]any {
	models := []any{}
	for _, m := range e.models {
		models = append(models, map[string]any{
			"name": m.name, "weightsMb": m.mb, "loadS": m.load.Seconds(), "diskS": m.disk.Seconds(), "warmS": m.warm.Seconds(),
			"adapters": m.adapters, "adapterMb": m.adapterMB,
		})
	}
	return map[string]any{
		"slots": 128, "kvCapacityTokens": 148430, "kvTokenBytes": 131072, "linkMbps": 550000, "moves": true, "backups": true, "stride": 2,
		"maxCount": 12, "hostMb": 53000, "diskMb": 470000, "pinMs": 4000, "holdMs": 2000, "handle_s": 5,
		"weightsMb": e.capacityMB, "adapterSlots": 8, "loadsPerS": 5.2, "models": models,
	}
}
