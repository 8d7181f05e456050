package trial2

import (
	"context"
	"time"
)

// sameRead: all replicas of a plain service crash at once and are back two seconds later. Clients read
// the same again and again, on a route that was added by the last configuration.
func sameRead(w *world, trouble bool) (int, error) {
	if err := w.deploy(2, 4, 2, 150*time.Millisecond); err != nil {
		return 0, err
	}
	w.configure()
	w.rec.log("operator: adds the route look")
	time.Sleep(3 * time.Second)
	traffic, stop := context.WithCancel(w.ctx)
	defer stop()
	go w.traffic(traffic, w.routers, 60, 1500*time.Millisecond, request{route: "look"})
	go w.traffic(traffic, w.routers, 30, 1500*time.Millisecond, request{route: "book"})
	time.Sleep(5 * time.Second)
	if trouble {
		w.rec.log("all replicas of the plain service crash; they are back 2 s later")
		for _, r := range w.replicas {
			if !r.engine {
				r.crash(2 * time.Second)
			}
		}
	}
	time.Sleep(2*time.Second + 2*contactMs)
	steady := time.Now()
	time.Sleep(15 * time.Second)
	stop()
	w.calls.Wait()
	for _, p := range w.routers {
		p.saw("poison request found")
	}
	sent, served := map[string]int{}, map[string]int{}
	status := map[int]int{}
	for _, res := range w.results {
		if res.sent.Before(steady) {
			continue
		}
		sent[res.route]++
		if res.status == 200 {
			served[res.route]++
		}
		if res.route == "look" {
			status[res.status]++
		}
	}
	w.rec.log("in the 15 s that began 2 x contactMs after the replicas were back: %d of %d requests were served on the route that was added, %d of %d on a first one; statuses on the added one: %v",
		served["look"], sent["look"], served["book"], sent["book"], status)
	if sent["look"] >= 20 && float64(served["look"])/float64(sent["look"]) < 0.25*float64(served["book"])/float64(sent["book"]) {
		return broken, nil
	}
	return held, nil
}
