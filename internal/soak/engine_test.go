package soak

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

const (
	// slots is the number of concurrent requests that a backend server announces.
	slots = 16
	// engineMB is the engine memory, enough for two models of modelMB.
	engineMB, modelMB = 200.0, 80.0
	// storeLoad and diskLoad are the declared durations of loads.
	storeLoad, diskLoad = 200 * time.Millisecond, 40 * time.Millisecond
	// events is the number of events of a stream, sent at intervals of eventPause.
	events     = 8
	eventPause = 15 * time.Millisecond
)

var modelNames = []string{"m0", "m1", "m2", "m3", "m4", "m5"}

type heldModel struct {
	Name     string   `json:"name"`
	Version  int      `json:"version"`
	Adapters []string `json:"adapters"`
}

// engine is the part of the stand-in that only model engines have: models, orders
// and streams.
type engine struct {
	name    string
	checker *checker

	mu     sync.Mutex
	loaded []string
	onDisk []string
	busy   bool
	seq    int64
	// release is the version of its software, which each of its events names.
	release string
	// life counts restarts; an order of an earlier life has no effect.
	life    int
	running int
	// streams are the runs that have begun to send events, by number. nextStream is the number
	// of the next one.
	streams    map[int]startedStream
	nextStream int
	// silentUntil is when the engine's process runs again. Until then it sends no event.
	silentUntil time.Time
	// pauses is set while streams pause by themselves.
	pauses bool
	// refuses is set while the engine refuses runs as not run.
	refuses bool
	// full is set while the engine reports that its KV memory is full.
	full bool
}

func (e *engine) restart(release string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.loaded, e.busy, e.seq, e.release = nil, false, 0, release
	e.life++
}

func (e *engine) softwareRelease() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.release
}

func (e *engine) held() []heldModel {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.heldLocked()
}

// heldLocked returns the loaded models. The caller holds e.mu.
func (e *engine) heldLocked() []heldModel {
	models := []heldModel{}
	for _, name := range e.loaded {
		models = append(models, heldModel{Name: name, Version: 1, Adapters: []string{}})
	}
	return models
}

// serve handles requests other than runs, and refuses runs of models that are not
// loaded. It reports whether it has sent an answer.
func (e *engine) serve(w http.ResponseWriter, r *http.Request) bool {
	switch r.URL.Path {
	case "/nutmeglane/report":
		e.report(w)
		return true
	case "/nutmeglane/order":
		e.order(w, r)
		return true
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.refuses {
		refuseRun(w, http.StatusServiceUnavailable)
		return true
	}
	if !slices.Contains(e.loaded, r.Header.Get("Nutmeglane-Model")) {
		refuseRun(w, http.StatusMisdirectedRequest)
		return true
	}
	return false
}

// report sends the engine's state as of one moment. If a load ended between two reads of the
// state, the report could contain neither the model nor the running order, and the loader would
// order the model again.
func (e *engine) report(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	type atHand struct {
		InMemory []string `json:"inMemory"`
		OnDisk   []string `json:"onDisk"`
	}
	answerJSON(w, struct {
		Models  []heldModel `json:"models"`
		Busy    bool        `json:"busy"`
		Seq     int64       `json:"seq"`
		Running int         `json:"running"`
		AtHand  atHand      `json:"atHand"`
		Runs    [][]any     `json:"runs"`
		KVUsed  int         `json:"kvUsed"`
		KVTotal int         `json:"kvTotal"`
	}{e.heldLocked(), e.busy, e.seq, e.running, atHand{[]string{}, e.onDisk}, e.runsLocked(), e.kvUsedLocked(), kvTotal})
}

func (e *engine) order(w http.ResponseWriter, r *http.Request) {
	var order struct {
		Operation string `json:"operation"`
		Model     string `json:"model"`
		Expected  *int64 `json:"expected"`
		Holder    string `json:"holder"`
	}
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil || order.Holder == "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.busy || order.Expected != nil && *order.Expected != e.seq {
		w.WriteHeader(http.StatusConflict)
		return
	}
	e.seq++
	switch order.Operation {
	case "model_load":
		e.load(order.Model)
	case "model_unload":
		e.loaded = slices.DeleteFunc(e.loaded, func(name string) bool { return name == order.Model })
	}
	w.WriteHeader(http.StatusAccepted)
}

// load starts a load in the background. The caller holds e.mu.
func (e *engine) load(model string) {
	if float64(len(e.loaded)+1)*modelMB > engineMB {
		e.checker.reportViolation("%s was ordered to load %s in addition to %v", e.name, model, e.loaded)
	}
	takes := storeLoad
	if slices.Contains(e.onDisk, model) {
		takes = diskLoad
	}
	e.busy = true
	life := e.life
	time.AfterFunc(takes, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.life != life {
			return
		}
		e.busy = false
		e.loaded = append(e.loaded, model)
		if !slices.Contains(e.onDisk, model) {
			e.onDisk = append(e.onDisk, model)
		}
	})
}

// event returns the event number n of the stream of a request, with n as event id, as a release
// of the engine writes it.
func event(id string, n int, release string) string {
	return fmt.Sprintf("id: %d\ndata: %s/%d%s%s\n\n", n, id, n, releaseMark, release)
}

// stream sends the events of a run, starting after Last-Event-Id.
func (e *engine) stream(w http.ResponseWriter, r *http.Request, id string, m serverFault) {
	e.count(1)
	defer e.count(-1)
	if m == failsRun {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	defer e.beginStream(id)()
	w.Header().Set("Content-Type", "text/event-stream")
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	e.reply(id, last, m).send(w, r)
}

// reply returns the rest of a stream after the event last.
func (e *engine) reply(id string, last int, m serverFault) reply {
	p := reply{
		pause: eventPause, stream: true, stands: e.awaitStep(), framing: framing(rand.IntN(int(framings))),
		completes: func() {
			e.checker.answerCompleted(id)
			e.checker.copies.end(id)
		},
	}
	release := e.softwareRelease()
	for n := last + 1; n <= events; n++ {
		p.pieces = append(p.pieces, event(id, n, release))
	}
	switch {
	case m == losesAnswers && last < events/2:
		p.framing = byChunks
		p.cut = &cut{place: betweenPieces, pieces: events/2 - 1 - last}
	case m == breaksOff:
		p.cut = drawCut(p)
		e.checker.answerCut()
	}
	return p
}

func (e *engine) count(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running += n
}
