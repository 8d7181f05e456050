package trial2

import (
	"context"
	"syscall"
	"time"
)

// powerOff is how long all machines are without power.
const powerOff = 4500 * time.Millisecond

// lateOrder: an order gets no answer. All machines lose power, with the engine that runs on one of them.
// The order is carried out after they are back.
func lateOrder(w *world, trouble bool) (int, error) {
	w.weightsMb = 40000 // room for two models
	w.prepare = func(_ int, r *replica) {
		if r.engine {
			r.disk = map[string]bool{"model-a": true, "model-b": true, "model-c": true}
		}
	}
	if err := w.deploy(2, 2, 1, 30*time.Millisecond); err != nil {
		return 0, err
	}
	engine := w.replicas[2]
	generation := func(model string) request { return request{route: "ask", model: model, prompt: "aa01:400"} }
	traffic, stop := context.WithCancel(w.ctx)
	defer stop()
	go w.traffic(traffic, w.routers, 5, 5*time.Second, generation("model-a"))
	time.Sleep(time.Second)
	w.ask(w.routers[0], 8*time.Second, generation("model-b"))
	time.Sleep(2 * time.Second)
	if trouble {
		engine.late, engine.lateModel = 11500*time.Millisecond, "model-c"
	}
	w.ask(w.routers[0], 8*time.Second, generation("model-c"))
	time.Sleep(300 * time.Millisecond)
	if trouble {
		w.rec.log("all machines lose power, the engine with them; they are back %v later", powerOff)
		ours := append(append([]*process{}, w.routers...), w.loaders...)
		for _, p := range ours {
			p.signal(syscall.SIGKILL)
		}
		engine.crash(powerOff)
		for _, p := range ours {
			<-p.ended
		}
		time.Sleep(powerOff)
		for _, p := range ours {
			if err := p.start(); err != nil {
				return 0, err
			}
		}
	}
	go w.traffic(traffic, w.routers, 2, 5*time.Second, generation("model-b"))
	time.Sleep(11 * time.Second)
	stop()
	w.calls.Wait()
	w.loaders[0].saw("order accepted", "order withheld", "order not accepted", "engine")
	engine.mu.Lock()
	defer engine.mu.Unlock()
	w.rec.log("the engine was ordered to hold more than its %d MB: %t", w.weightsMb, engine.overload)
	if engine.overload {
		return broken, nil
	}
	return held, nil
}
