package trial2

import (
	"context"
	"time"
)

// lateArrivals records the requests that a replica ran later than drainMs after the store
// acknowledged that it is gone, and what their clients got. It returns whether the rule held.
func (w *world) lateArrivals(r *replica, gone time.Time) int {
	late := r.after(gone.Add(drainMs))
	lost := 0
	for _, a := range late {
		got := w.byID(a.id)
		status := 0
		if got != nil {
			status = got.status
		}
		if status != 200 {
			lost++
		}
		w.rec.write(w.rec.at(a.at) + " late: replica " + r.id + " ran " + a.id + " " + a.at.Sub(gone).Round(time.Millisecond).String() + " after its removal was acknowledged")
	}
	w.rec.log("requests that %s ran later than drainMs (%v) after the store acknowledged that it is gone: %d, of which without a success: %d", r.id, drainMs, len(late), lost)
	if len(late) > 0 {
		w.rec.log("the first %v after, the last %v after", late[0].at.Sub(gone).Round(time.Millisecond), late[len(late)-1].at.Sub(gone).Round(time.Millisecond))
		return broken
	}
	return held
}

// restoredEntry: a replica leaves without a state draining; later, in a drill, the store comes back
// from a copy that still lists it.
func restoredEntry(w *world, trouble bool) (int, error) {
	if err := w.deploy(2, 3, 2, 150*time.Millisecond); err != nil {
		return 0, err
	}
	traffic, stop := context.WithCancel(w.ctx)
	defer stop()
	go w.traffic(traffic, w.routers, 30, 1500*time.Millisecond, request{route: "book"})
	go w.traffic(traffic, w.routers, 4, 5*time.Second, request{route: "ask", model: "model-a", prompt: "aa01:400"})
	time.Sleep(4 * time.Second)
	old := w.store.copy()
	time.Sleep(500 * time.Millisecond)
	leaving := w.replicas[0]
	gone := leaving.leave()
	w.rec.log("store: acknowledges that %s is gone; it serves on for some seconds, and writes nothing more", leaving.id)
	time.Sleep(3 * time.Second)
	w.rec.log("requests that %s got in the last second: %d", leaving.id, len(leaving.after(time.Now().Add(-time.Second))))
	if trouble {
		w.rec.log("store: is away for 0.3 s")
		w.setAway(true)
		time.Sleep(300 * time.Millisecond)
		w.rec.log("store: is back from a copy that is 3.8 s old")
		w.store.restore(old)
		w.mu.Lock()
		w.away = false
		w.mu.Unlock()
		w.writeConfig()
		w.expire(leaving, 3*heartbeat)
	}
	time.Sleep(2500 * time.Millisecond)
	leaving.exit()
	w.rec.log("replica %s exits", leaving.id)
	time.Sleep(2 * time.Second)
	stop()
	w.calls.Wait()
	for _, p := range w.routers {
		p.saw(leaving.id, "platform store")
	}
	return w.lateArrivals(leaving, gone), nil
}
