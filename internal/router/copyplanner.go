package router

import "nutmeglane.example/nutmeglane/internal/fleet"

// copyPlanner decides for one service how many engines load each model, and which loads are
// ordered ahead of requests.
type copyPlanner interface {
	// prepare is called in each plan interval, before permits are granted.
	prepare()
	// orderLoads orders loads at engines that this router coordinates.
	orderLoads()
	// neededCopies returns the number of engines that should have a model loaded. Copies
	// beyond it are spare.
	neededCopies(model string) int
	// storeGain ranks a load that waits for a permit of the weight store.
	storeGain(p permitRequest) float64
	// mayBegin reports whether a load from the store may begin while the given number of
	// others run.
	mayBegin(p permitRequest, active int) bool
}

// copyPlanner returns the rules in force for a service.
func (r *Router) copyPlanner(s *service, engine *fleet.Engine) copyPlanner {
	if r.crowding(s.name).CopyPlan {
		return plannedCopies{r, s, engine}
	}
	return copiesByThreshold{r, s, engine}
}

// copiesByThreshold decides by separate rules for further copies, loads from the weight
// store and loads from near copies.
type copiesByThreshold struct {
	r      *Router
	s      *service
	engine *fleet.Engine
}

func (c copiesByThreshold) prepare() {}

func (c copiesByThreshold) orderLoads() {
	c.r.spread(c.s, c.engine)
	c.r.planBackground(c.s, c.engine)
}

func (c copiesByThreshold) neededCopies(model string) int {
	return c.r.neededCopies(c.s.name, model)
}

func (c copiesByThreshold) storeGain(p permitRequest) float64 {
	return c.r.permitGain(c.s, p, c.engine)
}

func (c copiesByThreshold) mayBegin(_ permitRequest, active int) bool {
	return active < c.s.storeLimit()
}
