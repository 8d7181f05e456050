package trial2

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"time"
)

// rareModel: a request that crashes each replica that begins to run it comes again and again. It asks for
// a model that one engine has.
func rareModel(w *world, trouble bool) (int, error) {
	w.weightsMb = 20000
	w.prepare = func(n int, r *replica) {
		if r.engine {
			r.pause = 150 * time.Millisecond
			r.disk["model-b"] = n == 2
			if n == 2 {
				r.models = map[string]bool{"model-b": true}
			} else {
				delete(r.disk, "model-b")
			}
		}
	}
	if err := w.deploy(2, 2, 4, 30*time.Millisecond); err != nil {
		return 0, err
	}
	var mu sync.Mutex
	var reached, crashes []time.Time
	for _, r := range w.replicas {
		if !r.engine {
			continue
		}
		r.intercept = func(r *replica, _ http.ResponseWriter, q *http.Request) bool {
			if !trouble || !strings.Contains(q.Header.Get("Nutmeglane-Prompt-Prefix"), "bad01") || !r.has(q.Header.Get("Nutmeglane-Model")) {
				return false
			}
			mu.Lock()
			defer mu.Unlock()
			reached = append(reached, time.Now())
			if r.crash(3 * time.Second) {
				crashes = append(crashes, time.Now())
			}
			w.rec.log("replica %s crashes as it begins to run the deadly request; that has reached replicas %d times, and crashed %d", r.id, len(reached), len(crashes))
			return true
		}
	}
	traffic, stop := context.WithCancel(w.ctx)
	defer stop()
	go w.traffic(traffic, w.routers, 58, 10*time.Second, request{route: "ask", model: "model-a", prompt: "aa01:400"})
	go w.traffic(traffic, w.routers, 1, 10*time.Second, request{route: "ask", model: "model-b", prompt: "aa01:400"})
	time.Sleep(16 * time.Second)
	w.rec.log("clients: the same request for model-b each second, at one router after the other")
	for i := range 45 {
		w.calls.Go(func() {
			w.ask(w.routers[i%len(w.routers)], 10*time.Second, request{route: "ask", model: "model-b", prompt: "aa01:400,bad01:200", body: "the deadly prompt"})
		})
		time.Sleep(time.Second)
	}
	time.Sleep(4 * time.Second)
	stop()
	w.calls.Wait()
	for _, p := range w.routers {
		p.saw("poison request", "requests ran on a server that ended")
	}
	late := 0
	if len(crashes) >= 3 {
		for _, at := range reached {
			if at.Sub(crashes[2]) > contactMs {
				late++
			}
		}
	}
	sound := map[string]map[int]int{"model-a": {}, "model-b": {}}
	for _, res := range w.results {
		if !res.given {
			sound[res.model][res.status]++
		}
	}
	w.rec.log("times that the request reached a replica: %d, crashes: %d; times later than contactMs (%v) after the third crash: %d (bound 3); sound requests by status: %v",
		len(reached), len(crashes), contactMs, late, sound)
	if late > 3 {
		return broken, nil
	}
	return held, nil
}
