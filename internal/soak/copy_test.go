package soak

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	// copyLife is how long an engine keeps the copy of a run. copiesFrom is the shortest pause
	// objective of services whose runs are copied, that of all streams here.
	copyLife   = 5 * time.Second
	copiesFrom = 500 * time.Millisecond
	// fullShare is the share of runs for which the engine of the copy has no room.
	fullShare = 0.1
)

// runCopies are the copies of running requests' memory that the engines hold, by request.
type runCopies struct {
	mu      sync.Mutex
	engines map[string]*engine
	held    map[string]heldCopy
	// continued is the number of runs that continued from a copy.
	continued int
}

// heldCopy is a copy at one life of an engine.
type heldCopy struct {
	at    *engine
	life  int
	since time.Time
}

func newCopies() *runCopies {
	return &runCopies{engines: map[string]*engine{}, held: map[string]heldCopy{}}
}

// add makes an engine known under its registered address.
func (c *runCopies) add(address string, e *engine) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.engines[address] = e
}

// begin copies a run to the engine at an address, unless that has no room.
func (c *runCopies) begin(id, address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if at := c.engines[address]; at != nil && rand.Float64() >= fullShare {
		c.held[id] = heldCopy{at: at, life: at.currentLife(), since: time.Now()}
	}
}

// end drops the copy of a run that was answered completely.
func (c *runCopies) end(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.held, id)
}

// holds reports whether an engine has the copy that a request names in Kv-From.
func (c *runCopies) holds(e *engine, id, from string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	held, known := c.held[id]
	here := known && held.at == e && held.life == e.currentLife() && time.Since(held.since) < copyLife
	for address, at := range c.engines {
		if here && at == e && from == address+"/"+id {
			c.continued++
			return true
		}
	}
	return false
}

func (c *runCopies) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.continued
}

func (e *engine) currentLife() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.life
}

// startRun records that an engine starts to run a request, or continues it from a copy. It returns
// false if the engine has no copy; then the request was answered and does not run.
func (b *backend) startRun(w http.ResponseWriter, r *http.Request, instance, id string, got sentRequest) bool {
	from, to := r.Header.Get("Kv-From"), r.Header.Get("Nutmeglane-Kv-Backup")
	if from == "" {
		b.checker.runStarted(instance, id, got)
		if to != "" {
			b.checker.copyRequested(instance, id)
			b.checker.copies.begin(id, to)
		}
		return true
	}
	if b.engine == nil || !b.checker.copies.holds(b.engine, id, from) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return false
	}
	b.checker.runContinued(instance, id, got)
	return true
}

// copyRequested checks that only runs which can't be sent again are copied.
func (r *checker) copyRequested(server, id string) {
	r.mu.Lock()
	repeatable := r.asked[id].repeatable
	r.mu.Unlock()
	if repeatable {
		r.reportViolation("%s copies %s, which may be sent again", server, id)
	}
}

// runContinued records that a server continues a run from a copy, and checks that it is the request
// that its caller sent, that it has run, and that it continues once.
func (r *checker) runContinued(server, id string, got sentRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.checkSent(server, id, got)
	r.continuedRuns[id]++
	if n := r.continuedRuns[id]; n > 1 || r.runs[id] != 1 || r.asked[id].repeatable {
		r.recorded = append(r.recorded, server+" continued "+id+", which is repeatable, has not run, or was continued before")
	}
}
