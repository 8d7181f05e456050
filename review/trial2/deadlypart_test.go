package trial2

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// quietFront: requests that share a deadly part of their prompts come at a router at which no other
// request of that service arrives. The other routers get the sound requests of the service, which share
// the first part of the prompt.
func quietFront(w *world, trouble bool) (int, error) {
	return w.deadlyPart(trouble, "aa01:400", 2, 20, 1)
}

// longPrompt: such requests come at any router, and so do the sound ones. The prompts are those of a chat
// with 18 turns before the deadly part.
func longPrompt(w *world, trouble bool) (int, error) {
	turns := "aa01:200"
	for i := range 18 {
		turns += fmt.Sprintf(",bb%02d:10", i)
	}
	return w.deadlyPart(trouble, turns, 0, 20, 1)
}

// quarter: a quarter of all generations hold the deadly part, at any router.
func quarter(w *world, trouble bool) (int, error) {
	return w.deadlyPart(trouble, "aa01:400", 0, 60, 20)
}

// deadlyPart sends sound generations with some shared parts to routers, so many a second, and others
// that also hold a part on which replicas crash. With busy routers above 0 the sound ones go to so many, and the
// others to the last router.
func (w *world) deadlyPart(trouble bool, shared string, busy, soundRate, deadlyRate int) (int, error) {
	if err := w.deploy(3, 2, 6, 30*time.Millisecond); err != nil {
		return 0, err
	}
	var mu sync.Mutex
	var reached, crashes []time.Time
	for _, r := range w.replicas {
		if !r.engine {
			continue
		}
		r.intercept = func(r *replica, _ http.ResponseWriter, q *http.Request) bool {
			if !strings.Contains(q.Header.Get("Nutmeglane-Prompt-Prefix"), "dead01") || !r.has(q.Header.Get("Nutmeglane-Model")) {
				return false
			}
			mu.Lock()
			defer mu.Unlock()
			reached = append(reached, time.Now())
			if r.crash(3 * time.Second) {
				crashes = append(crashes, time.Now())
			}
			w.rec.log("replica %s crashes as it begins to answer a request with the part dead01; such requests have reached replicas %d times, and crashed %d", r.id, len(reached), len(crashes))
			return true
		}
	}
	sound, deadly := w.routers, w.routers
	if busy > 0 {
		sound, deadly = w.routers[:busy], w.routers[len(w.routers)-1:]
	}
	traffic, stop := context.WithCancel(w.ctx)
	defer stop()
	go w.traffic(traffic, sound, soundRate, 5*time.Second, request{route: "ask", model: "model-a", prompt: shared})
	go w.traffic(traffic, w.routers, 30, 1500*time.Millisecond, request{route: "book"})
	time.Sleep(4 * time.Second)
	prompt := shared + ",dead01:100"
	if !trouble {
		prompt = shared + ",dd01:100"
	}
	w.rec.log("clients: %d requests a second with the parts %s", deadlyRate, prompt)
	for i := range 30 * deadlyRate {
		w.calls.Go(func() {
			w.ask(deadly[i%len(deadly)], 5*time.Second, request{route: "ask", model: "model-a", prompt: prompt})
		})
		time.Sleep(time.Second / time.Duration(deadlyRate))
	}
	time.Sleep(2 * time.Second)
	stop()
	w.calls.Wait()
	for _, p := range w.routers {
		p.saw("poison part")
	}
	late := 0
	if len(crashes) >= 5 {
		for _, at := range reached {
			if at.Sub(crashes[4]) > contactMs {
				late++
			}
		}
	}
	status := map[int]int{}
	for _, res := range w.results {
		if res.route == "ask" && res.prompt == shared {
			status[res.status]++
		}
	}
	w.rec.log("requests with the part that reached replicas: %d, crashes: %d; requests later than contactMs (%v) after the fifth crash: %d (bound 3); sound generations by status: %v",
		len(reached), len(crashes), contactMs, late, status)
	if late > 3 {
		return broken, nil
	}
	return held, nil
}
