package steward

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
)

// Windows of jitter before a failed eviction is repeated. The window doubles from
// the first to the last.
const (
	firstEvictWindow = 2 * time.Second
	maxEvictWindow   = time.Minute
)

// evictionKey identifies a model that a fenced process may have left in its engine.
type evictionKey struct {
	host        core.HostID
	incarnation core.Incarnation
	model       string
}

// eviction is the unload of one model at a fenced owner's engine.
//
// An agent may be paused, or die, while its engine has a model loaded. The end of
// its tenure proves that it orders no more loads, but not that the engine has
// unloaded; moving the slot then would load a second replica beside the first.
// Therefore the engine itself must confirm that it holds nothing of the model.
// The confirmation stays valid: the process is fenced permanently and its last
// orders have expired (see engine.Evictor). A newer process on the host gets the
// slot only by a write of the chunk, which makes the write of a steward that did
// not see it fail.
type eviction struct {
	// tag is the tag of the open Evict; 0 for none.
	tag      uint64
	done     bool
	failures int
	retryAt  core.Time
	// neededStep is the step of the last plan in which the slot waited for it.
	neededStep uint64
}

func evictionKeyOf(s core.Slot) evictionKey { return evictionKey{s.Owner, s.Incarnation, s.ID.Model} }

// evicted reports whether the engine of a fenced owner has confirmed, since this
// process became the steward, that it has nothing of the slot's model.
func (p *Part) evicted(s core.Slot) bool {
	e := p.evictions[evictionKeyOf(s)]
	if e == nil {
		return false
	}
	e.neededStep = p.step
	return e.done
}

// evict asks the engine of a fenced owner to unload a slot's model, unless a call
// is open or failed recently. A new steward asks again: the answers that its
// predecessor got are not stored, and the call is idempotent.
func (p *Part) evict(now core.Time, s core.Slot, fence uint64) {
	key := evictionKeyOf(s)
	e := p.evictions[key]
	if e == nil {
		e = &eviction{}
		p.evictions[key] = e
	}
	e.neededStep = p.step
	url := p.hosts[s.Owner].entry.Backend
	switch {
	case e.tag != 0 || url == "":
		return
	case now < e.retryAt:
		p.planAt = min(p.planAt, e.retryAt)
		return
	}
	p.tag++
	e.tag = core.TagEvict + p.tag
	p.emit(core.Evict{Tag: e.tag, Host: s.Owner, URL: url, Model: s.ID.Model, Fence: fence})
}

func (p *Part) onEvictDone(now core.Time, ev core.EvictDone) {
	for key, e := range p.evictions {
		if e.tag == ev.Tag {
			p.takeEvictDone(now, key, e, ev.Code)
			return
		}
	}
	// Requested before this process last became the steward, or not needed any more.
}

func (p *Part) takeEvictDone(now core.Time, key evictionKey, e *eviction, result code.Code) {
	e.tag = 0
	if result == code.OK {
		e.done = true
		p.count(counterEvicts, outcomeOf(result))
		p.note("model evicted", "host", string(key.host), "model", key.model)
		p.planSoon(now)
		return
	}
	p.count(counterEvicts, "failed")
	if e.failures == 0 {
		p.note("model not evicted", "host", string(key.host), "model", key.model, "code", strconv.Itoa(int(result)))
	}
	window := min(firstEvictWindow<<min(e.failures, 8), maxEvictWindow)
	e.failures++
	e.retryAt = now.Add(window/2 + p.jitter(window/2))
	p.planAt = min(p.planAt, e.retryAt)
}

// dropUnneededEvictions drops the evictions that the plan at this step did not
// use: the slot moved, its host is gone, or a new process took over.
func (p *Part) dropUnneededEvictions() {
	for key, e := range p.evictions {
		if e.neededStep != p.step {
			delete(p.evictions, key)
		}
	}
}

// EvictionState is the dump of one eviction.
type EvictionState struct {
	Model    string `json:"model"`
	Asked    bool   `json:"asked"`
	Done     bool   `json:"done"`
	Failures int    `json:"failures,omitempty"`
}

func (p *Part) evictionsOf(host core.HostID) []EvictionState {
	var states []EvictionState
	for key, e := range p.evictions {
		if key.host == host {
			states = append(states, EvictionState{key.model, e.tag != 0, e.done, e.failures})
		}
	}
	slices.SortFunc(states, func(a, b EvictionState) int { return cmp.Compare(a.Model, b.Model) })
	return states
}
