package standin

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// shortEvents and longEvents are the lengths of the streams, eventPause is between two events.
	shortEvents = 8
	longEvents  = 60
	eventPause  = 200 * time.Millisecond
)

// truncatedStream plays case "truncated": one of six replicas crashes and starts again under its
// id while streams run, and a client whose stream broke off takes it up.
func truncatedStream(w *world) (broken bool, err error) {
	s, err := newStore(w.ip(9))
	if err != nil {
		return false, err
	}
	var replicas []*streamer
	for i := range 6 {
		r := &replica{w: w, store: s, id: fmt.Sprintf("i-%d", i+1), service: "records", version: "v1", slots: 2, address: w.ip(20+i) + ":0"}
		str := &streamer{replica: r, pause: eventPause, runs: map[string]int{}}
		r.handler = str
		if err := r.start(0); err != nil {
			return false, err
		}
		replicas = append(replicas, str)
	}
	s.put("op/config", map[string]any{
		"version": 3,
		"routes": []any{map[string]any{
			"name": "r-notes", "host": "site.example", "prefix": "/notes/", "kind": "streaming", "timeoutMs": 20000,
			"targetLatencyMs": 2500, "priority": 0, "service": "records", "maxAttempts": 1, "resumable": true, "gapAimMs": 400,
		}},
		"services": []any{map[string]any{"name": "records", "healthPath": "/health", "maxConns": 110, "protocol": "h1", "tls": false}},
		"limits":   limits(),
	})
	address, err := w.startRouter(s, 7380)
	if err != nil {
		return false, err
	}
	time.Sleep(500 * time.Millisecond)

	// The short stream is to have all events but the last 1.1 s after a heartbeat: the router has
	// read that heartbeat, and the next one is not due.
	for replicas[0].sinceBeat() > 100*time.Millisecond {
		time.Sleep(5 * time.Millisecond)
	}
	for i := range 11 {
		go w.send(address, request{id: fmt.Sprintf("long-%d", i+1), method: "POST", path: fmt.Sprint("/notes/", longEvents), deadline: 20 * time.Second, body: "note"})
		time.Sleep(80 * time.Millisecond)
	}
	restarted := make(chan struct{})
	first := w.send(address, request{
		id: "first", method: "POST", path: fmt.Sprint("/notes/", shortEvents), deadline: 20 * time.Second, body: "note",
		onEvent: func(n int) {
			if n != shortEvents-1 || !w.trouble {
				return
			}
			for _, r := range replicas {
				if r.ran("first") {
					r.crash()
					go w.restart(r.replica, restarted)
				}
			}
		},
	})
	got := first.events()
	if first.complete {
		return w.judgeStream(got, shortEvents), nil
	}
	<-restarted
	for try := 1; try <= 3 && len(got) > 0; try++ {
		time.Sleep(200 * time.Millisecond)
		next := w.send(address, request{
			id: fmt.Sprintf("next-%d", try), method: "POST", path: fmt.Sprint("/notes/", shortEvents), deadline: 15 * time.Second, body: "note",
			header: map[string]string{"Last-Event-Id": fmt.Sprint(got[len(got)-1]), "Resumes": "first"},
		})
		if next.status != http.StatusOK {
			continue
		}
		got = append(got, next.events()...)
		if next.complete {
			w.keep()
			return w.judgeStream(got, shortEvents), nil
		}
	}
	w.keep()
	w.note("the stream was never ended as complete")
	return false, nil
}

// restart starts a replica again 0.2 s after its crash. Its entry follows 0.6 s later.
func (w *world) restart(r *replica, restarted chan<- struct{}) {
	time.Sleep(200 * time.Millisecond)
	if err := r.start(600 * time.Millisecond); err != nil {
		w.note("restart: %v", err)
	}
	close(restarted)
}

// judgeStream reports whether a stream that ended as complete lacks a piece or has one twice.
func (w *world) judgeStream(got []int, events int) (broken bool) {
	for i, id := range got {
		broken = broken || id != i+1
	}
	broken = broken || len(got) != events
	w.note("ORDER: a stream of %d pieces ended as complete with pieces %v; broken: %t", events, got, broken)
	return broken
}

// startRouter starts a router and returns its address for clients once it is ready.
func (w *world) startRouter(s *store, loaderPort int) (string, error) {
	ip := w.ip(1)
	ports := make([]int, 3)
	for i := range ports {
		port, err := freePort(ip)
		if err != nil {
			return "", err
		}
		ports[i] = port
	}
	if _, err := w.start("router", "router", w.routerSettings(ip, ports[0], ports[1], ports[2], loaderPort, s.address)); err != nil {
		return "", err
	}
	return fmt.Sprintf("%s:%d", ip, ports[0]), waitReady(fmt.Sprintf("%s:%d", ip, ports[1]))
}
