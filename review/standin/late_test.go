package standin

import (
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"
)

// site is a small deployment: engines with their loaders, and one router.
type site struct {
	*world
	address string
	router  *process
}

// newEngine starts a model replica on a host of its own, with the models that the platform placed
// there.
func (w *world) newEngine(s *store, host int, models []model, placed ...string) (*engine, error) {
	r := &replica{w: w, store: s, id: fmt.Sprintf("i-engine-%d", host), service: "writer", version: "v1", slots: 128, address: w.ip(host) + ":0"}
	e := &engine{replica: r, capacityMB: 83000, models: models}
	r.handler, r.engine = e, e
	e.place(placed)
	return e, r.start(0)
}

// newModel is a model of the larger size at the site.
func newModel(name string, adapters int) model {
	return model{name: name, mb: 34300, load: 6 * time.Second, disk: time.Second, warm: 780 * time.Millisecond, adapters: adapters, adapterMB: 40}
}

// startSite starts a loader beside each engine, and a router.
func (w *world) startSite(s *store, engines ...*engine) (*site, error) {
	var hosts []string
	for _, e := range engines {
		host, _, _ := net.SplitHostPort(e.address)
		hosts = append(hosts, host)
	}
	port, err := freePort(hosts...)
	if err != nil {
		return nil, err
	}
	operators, err := freePort(hosts...)
	if err != nil {
		return nil, err
	}
	for i, e := range engines {
		name := fmt.Sprintf("loader-%d", i+1)
		if _, err := w.start("loader", name, w.loaderSettings(name, hosts[i], port, operators, e.address)); err != nil {
			return nil, err
		}
	}
	address, err := w.startRouter(s, port)
	if err != nil {
		return nil, err
	}
	return &site{world: w, address: address, router: w.processes[len(w.processes)-1]}, nil
}

func limits() map[string]any {
	return map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
}

func noteRoute() map[string]any {
	return map[string]any{
		"name": "r-notes", "host": "site.example", "prefix": "/notes/", "kind": "streaming", "timeoutMs": 20000,
		"targetLatencyMs": 2500, "priority": 0, "service": "writer", "maxAttempts": 2, "sticky": true, "resumable": true, "gapAimMs": 400,
	}
}

// generate sends a generation, and again after a refusal as its Retry-After says.
func (s *site) generate(id, name string, events int) result {
	var res result
	for try := 1; try <= 4; try++ {
		res = s.send(s.address, request{
			id: fmt.Sprintf("%s-%d", id, try), method: "POST", path: fmt.Sprint("/notes/", events), deadline: 20 * time.Second, body: "note",
			header: map[string]string{"Nutmeglane-Model": name, "Nutmeglane-Token-Count": "491,70", "Nutmeglane-Prompt-Prefix": "a1:155,b" + strings.ReplaceAll(id, "-", "") + ":336"},
		})
		if res.status != 503 && res.status != 429 {
			return res
		}
		wait, _ := strconv.ParseFloat(res.header.Get("Retry-After"), 64)
		time.Sleep(time.Duration(max(0.02, wait) * float64(time.Second)))
	}
	return res
}

// lateOrder plays case "latecomer": two orders to load models get no answer and are carried out
// 9.5 s later. Meanwhile their replica, one of six, has crashed and started again under its id.
func lateOrder(w *world) (broken bool, err error) {
	const shortEvents, middleEvents, longEvents = 3, 25, 190
	s, err := newStore(w.ip(9))
	if err != nil {
		return false, err
	}
	models := []model{newModel("busy", 20), newModel("other", 0), newModel("rare", 0)}
	held := [][]string{{"busy", "other"}}
	for i := range 5 {
		pair := []string{fmt.Sprintf("left%d", i+1), fmt.Sprintf("right%d", i+1)}
		models = append(models, newModel(pair[0], 0), newModel(pair[1], 0))
		held = append(held, pair)
	}
	var engines []*engine
	for i, pair := range held {
		e, err := w.newEngine(s, 10+i, models, pair...)
		if err != nil {
			return false, err
		}
		engines = append(engines, e)
	}
	e := engines[0]
	e.onDisk = append(e.onDisk, "rare") // which it held on an earlier day
	s.put("op/config", map[string]any{
		"version": 3, "routes": []any{noteRoute()}, "limits": limits(),
		"services": []any{map[string]any{"name": "writer", "healthPath": "/health", "maxConns": 620, "protocol": "h1", "tls": false, "engine": e.declaration()}},
	})
	site, err := w.startSite(s, engines...)
	if err != nil {
		return false, err
	}
	time.Sleep(1500 * time.Millisecond)
	if w.trouble {
		e.lateModels, e.lateFor = []string{"rare", "other"}, 9500*time.Millisecond
	}
	began := time.Now()
	at := func(second float64) { time.Sleep(time.Until(began.Add(time.Duration(second * float64(time.Second))))) }
	// The other replicas are in use.
	for _, pair := range held[1:] {
		for _, name := range pair {
			go site.generate("long-"+name, name, longEvents)
		}
	}
	at(0.5)
	// An adapter is loaded, a model makes room, and another one is loaded: the third order is late.
	site.generate("n1", "busy/a1", shortEvents)
	go site.generate("n2", "rare", middleEvents)
	at(3)
	for i := range 3 {
		go site.generate(fmt.Sprintf("o%d", i), "other", shortEvents)
	}
	at(5.5)
	if w.trouble {
		e.crash()
		at(6.5)
		e.restart()
		if err := e.start(200 * time.Millisecond); err != nil {
			return false, err
		}
	}
	at(7)
	go site.generate("q", "busy", shortEvents)
	go site.generate("r", "other", shortEvents)
	at(12.5)
	w.keep()
	e.mu.Lock()
	defer e.mu.Unlock()
	w.note("LIMIT: ordered to load more than the %.0f MB of the replica: %q", e.capacityMB, e.overload)
	return e.overload != "", nil
}
