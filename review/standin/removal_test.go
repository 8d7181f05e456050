package standin

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// removedService plays case "removal": the operator removes a route together with its service
// while a request waits for a model of it. Other requests run at another service.
func removedService(w *world) (broken bool, err error) {
	s, err := newStore(w.ip(9))
	if err != nil {
		return false, err
	}
	models := []model{newModel("busy", 0), newModel("other", 0), newModel("rare", 0)}
	var engines []*engine
	for host := 10; host < 12; host++ {
		e, err := w.newEngine(s, host, models, "busy", "other") // "rare" comes from the weight store, in 6 s
		if err != nil {
			return false, err
		}
		engines = append(engines, e)
	}
	records := &replica{w: w, store: s, id: "i-records", service: "records", version: "v1", slots: 6, address: w.ip(20) + ":0"}
	var mu sync.Mutex
	begun := map[string]bool{}
	records.handler = http.HandlerFunc(func(out http.ResponseWriter, in *http.Request) {
		id := in.Header.Get("Nutmeglane-Request-Id")
		mu.Lock()
		begun[id] = true
		mu.Unlock()
		w.note("replica %s: run of %s begins", records.id, id)
		time.Sleep(220 * time.Millisecond)
		records.head(out, in)
		fmt.Fprintf(out, "done %s", id)
		w.note("replica %s: run of %s ends", records.id, id)
	})
	if err := records.start(0); err != nil {
		return false, err
	}
	bookRoute := map[string]any{
		"name": "r-books", "host": "site.example", "prefix": "/books/", "kind": "unsafe", "timeoutMs": 1500,
		"targetLatencyMs": 150, "priority": 2, "service": "records", "maxAttempts": 1,
	}
	plain := map[string]any{"name": "records", "healthPath": "/health", "maxConns": 110, "protocol": "h1", "tls": false}
	writer := map[string]any{"name": "writer", "healthPath": "/health", "maxConns": 620, "protocol": "h1", "tls": false, "engine": engines[0].declaration()}
	s.put("op/config", map[string]any{"version": 3, "routes": []any{noteRoute(), bookRoute}, "services": []any{writer, plain}, "limits": limits()})
	site, err := w.startSite(s, engines...)
	if err != nil {
		return false, err
	}
	time.Sleep(1500 * time.Millisecond)

	cut, sent := 0, 0
	var clients sync.WaitGroup
	stop := make(chan struct{})
	for c := range 4 {
		clients.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				if site.router.hasExited() {
					return
				}
				id := "b" + strconv.Itoa(c) + "-" + strconv.Itoa(i)
				res := site.send(site.address, request{id: id, method: "POST", path: "/books/1", deadline: 1500 * time.Millisecond, body: "book"})
				mu.Lock()
				sent++
				if res.status == 0 && begun[id] {
					cut++ // passed on to the replica, and the connection ended without an answer
				}
				mu.Unlock()
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	time.Sleep(time.Second)
	clients.Go(func() {
		site.send(site.address, request{
			id: "waits", method: "POST", path: "/notes/3", deadline: 20 * time.Second, body: "note",
			header: map[string]string{"Nutmeglane-Model": "rare", "Nutmeglane-Token-Count": "491,70", "Nutmeglane-Prompt-Prefix": "a1:155,b1:336"},
		})
	})
	time.Sleep(time.Second)
	if w.trouble {
		s.put("op/config", map[string]any{"version": 5, "routes": []any{bookRoute}, "services": []any{plain}, "limits": limits()})
		w.note("the operator writes configuration 5: the route r-notes and its service are removed")
	}
	time.Sleep(3 * time.Second)
	close(stop)
	clients.Wait()
	w.keep()
	exited := site.router.hasExited()
	for _, line := range site.router.grep(12, "panic", "goroutine", "router.(*Router)") {
		w.note("router: %s", line)
	}
	w.note("LOST: %d of %d requests to the other service were passed on and cut without an answer; the router ended by itself: %t", cut, sent, exited)
	return cut > 0, nil
}
