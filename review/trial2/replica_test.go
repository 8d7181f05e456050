package trial2

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// heartbeat is the interval at which replicas write their entries, and contact the number of them
// after which the store's platform removes an entry without a write.
const heartbeat = 1200 * time.Millisecond

// arrival is a request that reached a replica.
type arrival struct {
	id, path string
	at       time.Time
	// ran is set if the replica began to work on it, whole if it answered it.
	ran, whole bool
}

// replica is a stand-in for a model or plain replica.
type replica struct {
	w       *world
	id      string
	service string
	ip      string
	address string
	zone    string
	engine  bool
	// work is how long a plain request takes.
	work time.Duration
	// version is that of its software. Its streams have so many events, one each pause.
	version string
	events  int
	pause   time.Duration

	mu sync.Mutex
	// seq counts its entries, the last of which it wrote at beatAt.
	seq      int
	beatAt   time.Time
	orders   int64
	busyTill time.Time
	// loading is the model that is loaded until busyTill, "" if none is.
	loading string
	models  map[string]bool
	// disk are the models of which there is a copy on its disk, which a restart preserves.
	disk     map[string]bool
	state    string
	silent   bool
	running  int
	arrivals []*arrival
	born     int64
	server   *http.Server
	// lateModel is the model whose next order to load gets no answer and is carried out after late. overload
	// is set once an order has come to more than the replica's memory holds.
	lateModel string
	late      time.Duration
	overload  bool
	// intercept answers a request in another way if it returns true.
	// headers are added to all its answers to requests.
	headers   map[string]string
	intercept func(r *replica, w http.ResponseWriter, q *http.Request) bool
}

func (r *replica) start() error {
	listener, err := net.Listen("tcp", r.address)
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.born = time.Now().UnixMilli()
	r.server = &http.Server{Handler: r, IdleTimeout: 10 * time.Second}
	server := r.server
	r.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	return nil
}

// exit ends the replica's process: its connections close.
func (r *replica) exit() {
	r.mu.Lock()
	server := r.server
	r.mu.Unlock()
	if server != nil {
		_ = server.Close()
	}
}

// has reports whether an engine holds a model.
func (r *replica) has(model string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.endLoad()
	return r.models[model]
}

// endLoad ends a load that is due. The caller holds r.mu.
func (r *replica) endLoad() {
	if r.loading != "" && !time.Now().Before(r.busyTill) {
		r.models[r.loading], r.disk[r.loading] = true, true
		r.loading = ""
	}
}

func (r *replica) key() string { return "servers/" + r.id }

// beat writes the replica's entry.
func (r *replica) beat() {
	r.mu.Lock()
	r.seq++
	r.beatAt = time.Now()
	entry := map[string]any{
		"service": r.service, "address": r.address, "zone": r.zone, "version": r.version, "slots": 6, "state": r.state,
		"coldRemainingMs": 0, "seq": r.seq, "born": r.born,
	}
	if r.engine {
		entry["slots"], entry["stage"], entry["models"] = 64, "colocated", r.listModels()
	}
	r.mu.Unlock()
	r.w.store.put(r.key(), entry)
}

// beats writes the entry each heartbeat until the context ends or the replica is silent.
func (r *replica) beats(ctx context.Context) {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if r.isSilent() {
				return
			}
			if !r.w.storeAway() {
				r.beat()
			}
		}
	}
}

func (r *replica) isSilent() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.silent
}

func (r *replica) lastBeat() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.beatAt
}

// leave removes the entry without a state draining before, and returns when that was acknowledged.
func (r *replica) leave() time.Time {
	r.mu.Lock()
	r.silent = true
	r.mu.Unlock()
	return r.w.store.remove(r.key())
}

func (r *replica) listModels() []map[string]any {
	r.endLoad()
	list := []map[string]any{}
	for name := range r.models {
		list = append(list, map[string]any{"name": name, "version": 1, "adapters": []string{}})
	}
	return list
}

func (r *replica) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	switch {
	case q.URL.Path == "/nutmeglane/report":
		r.report(w)
		return
	case q.URL.Path == "/nutmeglane/order":
		r.order(w, q)
		return
	}
	id := q.Header.Get("Nutmeglane-Request-Id")
	a := &arrival{id: id, path: q.URL.Path, at: time.Now()}
	if _, err := io.Copy(io.Discard, q.Body); err != nil {
		return
	}
	if expected := q.Header.Get("Nutmeglane-Expect-Instance"); expected != "" && expected != r.id {
		w.Header().Set("Nutmeglane-Instance-Id", r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		r.w.rec.detail("replica %s: request %s is for %s: 421", r.id, id, expected)
		return
	}
	if id == "" {
		w.Header().Set("Nutmeglane-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	w.Header().Set("Nutmeglane-Request-Id", id)
	if r.intercept != nil && r.intercept(r, w, q) {
		return
	}
	if r.engine && !r.has(q.Header.Get("Nutmeglane-Model")) {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	r.mu.Lock()
	a.ran = true
	r.arrivals = append(r.arrivals, a)
	r.running++
	r.mu.Unlock()
	r.w.rec.detail("%s runs %s", r.id, id)
	defer func() {
		r.mu.Lock()
		r.running--
		r.mu.Unlock()
	}()
	w.Header().Set("Nutmeglane-Server-Seal", "seal."+r.id+"."+id)
	if r.engine {
		r.stream(w, q, a)
		return
	}
	select {
	case <-time.After(r.work):
	case <-q.Context().Done():
		return
	}
	_, _ = fmt.Fprintf(w, "answer of %s to %s", r.id, id)
	r.mu.Lock()
	a.whole = true
	r.mu.Unlock()
}

func (r *replica) stream(w http.ResponseWriter, q *http.Request, a *arrival) {
	w.Header().Set("Content-Type", "text/event-stream")
	last, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
	for i := last + 1; i <= r.events; i++ {
		select {
		case <-time.After(r.pause):
		case <-q.Context().Done():
			return
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: piece %d of %d by %s\n\n", i, i, r.events, r.version)
		_ = http.NewResponseController(w).Flush()
	}
	r.mu.Lock()
	a.whole = true
	r.mu.Unlock()
}

func (r *replica) report(w http.ResponseWriter) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.endLoad()
	reply(w, map[string]any{
		"stage": "colocated", "models": r.listModels(), "busy": r.loading != "", "seq": r.orders, "waiting": 0,
		"running": r.running, "kvUsed": 0, "kvTotal": 100000, "handles": 0, "born": r.born, "state": r.state,
		"atHand": map[string]any{"inMemory": []string{}, "onDisk": slices.Sorted(maps.Keys(r.disk))}, "runs": []any{}, "coming": []string{},
	})
}

// order carries out a load or an unload of a model. A load takes storeLoad, or diskLoad if there is a copy
// on the disk.
func (r *replica) order(w http.ResponseWriter, q *http.Request) {
	var order struct {
		Operation, Model, Adapter, Holder string
		Expected                          *int64
		FencingToken                      *int64
	}
	if err := json.NewDecoder(q.Body).Decode(&order); err != nil || order.Holder == "" || order.FencingToken == nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if expected := q.Header.Get("Nutmeglane-Expect-Instance"); expected != "" && expected != r.id {
		w.Header().Set("Nutmeglane-Instance-Id", r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	r.mu.Lock()
	if order.Operation == "model_load" && order.Model == r.lateModel {
		r.lateModel = ""
		r.mu.Unlock()
		r.w.rec.log("engine %s: the order to load %s, expected %d, gets no answer and is carried out %v later", r.id, order.Model, *order.Expected, r.late)
		time.AfterFunc(r.late, func() {
			status := r.carryOut(order.Operation, order.Model, order.Expected)
			r.w.rec.log("engine %s: the late order to load %s, expected %d: %d", r.id, order.Model, *order.Expected, status)
		})
		<-q.Context().Done()
		return
	}
	r.mu.Unlock()
	status := r.carryOut(order.Operation, order.Model, order.Expected)
	r.w.rec.detail("engine %s: order %s %s of %s: %d", r.id, order.Operation, order.Model, order.Holder, status)
	w.WriteHeader(status)
}

// carryOut begins an order and returns its status, 0 if the process is away.
func (r *replica) carryOut(operation, model string, expected *int64) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.endLoad()
	switch {
	case r.silent:
		return 0
	case r.loading != "" || expected != nil && *expected != r.orders:
		return http.StatusConflict
	case operation == "model_unload" && !r.models[model], operation == "model_load" && r.models[model]:
		return http.StatusOK
	}
	r.orders++
	if operation == "model_unload" {
		delete(r.models, model)
		return http.StatusAccepted
	}
	if mb := (len(r.models) + 1) * modelMb; mb > r.w.weightsMb {
		r.overload = true
		r.w.rec.log("engine %s: ordered to hold %d models of %d MB, %d MB of %d", r.id, len(r.models)+1, modelMb, mb, r.w.weightsMb)
	}
	takes := storeLoad
	if r.disk[model] {
		takes = diskLoad
	}
	r.loading, r.busyTill = model, time.Now().Add(takes)
	return http.StatusAccepted
}

// after returns the requests that the replica ran and that arrived after a time.
func (r *replica) after(t time.Time) (late []*arrival) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, a := range r.arrivals {
		if a.at.After(t) {
			late = append(late, a)
		}
	}
	return late
}

// crash ends the replica's process and starts it again later, under the same id and empty. It returns
// false if it has ended already.
func (r *replica) crash(after time.Duration) bool {
	r.mu.Lock()
	down := r.silent
	r.silent, r.orders, r.loading, r.models = true, 0, "", map[string]bool{}
	r.mu.Unlock()
	if down {
		return false
	}
	r.exit()
	r.w.expire(r, time.Until(r.lastBeat().Add(3*heartbeat)))
	time.AfterFunc(after, func() {
		if r.w.ctx.Err() != nil {
			return
		}
		if err := r.start(); err != nil {
			r.w.rec.log("replica %s can't start again: %v", r.id, err)
			return
		}
		r.mu.Lock()
		r.silent = false
		r.mu.Unlock()
		r.beat()
		go r.beats(r.w.ctx)
	})
	return true
}
