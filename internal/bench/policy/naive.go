package policy

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/harness"
)

// runNaive measures the naive policy: a model or adapter is loaded on the first host
// with enough memory, stays loaded for a fixed time after its last request, and each
// request goes to a random loaded replica. The policy has an advantage that a real
// one could not have: all entries share one view of the hosts without delay, so that
// a burst causes one load and memory is never overcommitted.
func runNaive(ctx context.Context, d *deployment, opts Options, arrivals []arrival, ttl time.Duration) (Row, error) {
	w := d.newWorld(opts.Seed)
	engines := d.newEngines(w, opts.Seed)
	b := &sharedView{d: d, ttl: ttl, draw: rand.New(rand.NewPCG(opts.Seed, naiveStream))}
	for i, e := range engines {
		a := &naiveAgent{view: b, index: i, items: map[string]*naiveItem{}, next: core.Never}
		b.agents = append(b.agents, a)
		w.Start(newHost(hostName(i), d.zone(i), core.RoleBackend), e, func(core.Incarnation) harness.Stepper { return a })
	}
	for i := range opts.Entries {
		e := &naiveEntry{view: b, host: entryName(i)}
		w.Start(newHost(entryName(i), d.zone(i), core.RoleEntry), nil, func(core.Incarnation) harness.Stepper { return e })
	}
	m := newMeasurement(d, w, engines)
	if err := m.run(ctx, arrivals); err != nil {
		return Row{}, err
	}
	r := m.row("naive, " + ttl.String())
	// The naive policy has no slots, so only violations of memory limits count.
	r.Violations = slices.DeleteFunc(r.Violations, func(v string) bool { return !strings.Contains(v, "memory") })
	return r, nil
}

// sharedView is the view of all hosts that the naive entries share.
type sharedView struct {
	d      *deployment
	ttl    time.Duration
	draw   *rand.Rand
	agents []*naiveAgent
}

// choose returns a random host that has the target. If no host has it, or if all of
// them run as many requests as allowed and the target may have more replicas, choose
// returns the first other host with enough memory. It returns nil if there is none.
func (b *sharedView) choose(t core.Target) *naiveAgent {
	need := b.needs(t)
	var holders []*naiveAgent
	for _, a := range b.agents {
		if a.items[need[len(need)-1].key] != nil {
			holders = append(holders, a)
		}
	}
	if len(holders) > 0 && (len(holders) >= b.replicas(t) || !b.allBusy(holders, t)) {
		return holders[b.draw.IntN(len(holders))]
	}
	if a := b.chooseNewHolder(need); a != nil {
		return a
	}
	if len(holders) > 0 {
		return holders[b.draw.IntN(len(holders))]
	}
	return nil
}

// chooseNewHolder returns the first host with enough memory that does not have the
// target, nil if there is none.
func (b *sharedView) chooseNewHolder(need []sizes) *naiveAgent {
	wanted := need[len(need)-1].key
	// Hosts that have the base model come first for an adapter, so that the limit
	// on replicas of the base is kept.
	for _, a := range b.agents {
		if a.items[wanted] == nil && a.items[need[0].key] != nil && a.hasRoom(need) {
			return a
		}
	}
	for _, a := range b.agents {
		if a.items[wanted] == nil && a.hasRoom(need) {
			return a
		}
	}
	return nil
}

func (b *sharedView) replicas(t core.Target) int {
	if t.Adapter != "" {
		return b.d.snapshot.Adapters[t.Adapter].Spec.Replicas.Max
	}
	return b.d.snapshot.Models[t.Model].Spec.Replicas.Max
}

func (b *sharedView) allBusy(holders []*naiveAgent, t core.Target) bool {
	limit := b.d.snapshot.Models[t.Model].Spec.MaxConcurrent
	for _, a := range holders {
		if len(a.jobs) < limit {
			return false
		}
	}
	return true
}

// needs returns what has to be loaded for a target, the base model first.
func (b *sharedView) needs(t core.Target) []sizes {
	need := []sizes{b.d.sizes(t.Model)}
	if t.Adapter != "" {
		need = append(need, b.d.sizes(t.Adapter))
	}
	return need
}

// naiveEntry sends each request to the host that the shared view chooses.
type naiveEntry struct {
	view    *sharedView
	host    core.HostID
	started bool
}

// Step implements harness.Stepper.
func (e *naiveEntry) Step(now core.Time, event core.Event) []core.Effect {
	switch ev := event.(type) {
	case core.Tick:
		if e.started {
			return nil
		}
		e.started = true
		var out []core.Effect
		for i := range e.view.agents {
			out = append(out, core.Dial{Peer: hostName(i), Address: string(hostName(i))})
		}
		return out
	case core.RequestArrived:
		a := e.view.choose(ev.Target)
		if a == nil {
			return []core.Effect{core.RespondEnd{ID: ev.ID, Code: code.NoMemory}}
		}
		a.reserve(now, ev.Target)
		return []core.Effect{core.Send{To: hostName(a.index), Message: core.Start{
			Attempt: core.AttemptID{Request: ev.ID, Attempt: 1}, Target: ev.Target, Remaining: ev.Timeout, Body: ev.Body,
		}}}
	case core.Received:
		return e.frame(ev.Message)
	}
	return nil
}

func (e *naiveEntry) frame(message core.Message) []core.Effect {
	f, ok := message.(core.Frame)
	if !ok {
		return nil
	}
	switch f.Kind {
	case core.FrameData:
		return []core.Effect{core.RespondData{ID: f.Attempt.Request, Count: f.Count, Payload: f.Payload}}
	case core.FrameEnd:
		return []core.Effect{core.RespondEnd{ID: f.Attempt.Request, Code: f.Code}}
	}
	return nil
}

// Dump implements harness.Stepper.
func (e *naiveEntry) Dump() map[string]any { return nil }
