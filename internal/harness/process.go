package harness

import (
	"slices"
	"time"

	"nutmeglane.example/nutmeglane/internal/api"
	"nutmeglane.example/nutmeglane/internal/core"
)

// Process is the entry or agent process of one host. The engine stays when the
// process stops; Start creates a new incarnation of the process.
type Process struct {
	world       *World
	Host        core.Host
	Incarnation core.Incarnation
	Engine      *Engine
	stepper     Stepper
	// OnExit is called when the process exits after a graceful shutdown.
	OnExit func()
	alive  bool
	paused bool
	// backlog holds the events and effects deferred while the process is paused.
	backlog      []func()
	wakeSequence uint64
	// pauses counts the pauses; resumedAt is the end of the last one.
	pauses       int
	resumedAt    core.Time
	pauseAtOrder time.Duration
	revision     int64
	// rate and offset define the local clock: offset + rate * virtual time.
	rate   float64
	offset core.Time
	// outcomes holds the requests sent to this incarnation (entries only).
	outcomes map[core.RequestID]*Outcome
	Notes    map[string]int
	Counts   map[core.Counter]float64
}

// Build creates the reducer of a process.
type Build func(incarnation core.Incarnation) Stepper

// Start starts a process on a host. The engine is set on the first start of an
// agent's host; it is nil on later starts and for entries.
func (w *World) Start(host core.Host, engine *Engine, build Build) *Process {
	p := w.processes[host.ID]
	if p == nil {
		p = &Process{world: w, rate: 1, Engine: engine, Notes: map[string]int{}, Counts: map[core.Counter]float64{}}
		p.offset = core.Time(w.rand.Int64N(int64(time.Hour)))
		w.processes[host.ID] = p
		w.order = append(w.order, host.ID)
	}
	p.Host, p.alive, p.paused, p.backlog = host, true, false, nil
	p.pauseAtOrder, p.revision = 0, 0
	p.Incarnation = core.Incarnation(w.rand.Uint64() | 1)
	p.outcomes = map[core.RequestID]*Outcome{}
	p.stepper = build(p.Incarnation)
	if p.Engine != nil {
		p.Engine.owner = p
	}
	w.hosts[host.ID] = host
	p.post(w.published)
	w.publishHosts()
	p.configure(w.snapshot)
	w.KV.attach(p)
	p.post(core.Tick{})
	return p
}

// configure puts a configuration in force unless the same or a newer one
// already is.
func (p *Process) configure(snapshot *api.Snapshot) {
	if snapshot != nil && p.alive && snapshot.Revision > p.revision {
		p.revision = snapshot.Revision
		p.post(core.ConfigInForce{Snapshot: snapshot})
	}
}

// SetClock changes the rate of the process's clock relative to virtual time.
// The local time does not jump.
func (p *Process) SetClock(rate float64) {
	now := p.clock()
	p.rate = rate
	p.offset = now - core.Time(float64(p.world.now)*rate)
	p.post(core.Tick{}) // the scheduled wake-up was computed with the old rate
}

// Alive reports whether the process is running. A paused process is alive.
func (p *Process) Alive() bool { return p.alive }

// Paused reports whether the process is paused.
func (p *Process) Paused() bool { return p.paused }

// Dump returns the reducer's state.
func (p *Process) Dump() map[string]any { return p.stepper.Dump() }

func (p *Process) clock() core.Time {
	return p.offset + core.Time(float64(p.world.now)*p.rate)
}

func (p *Process) globalTime(local core.Time) core.Time {
	if local == core.Never {
		return core.Never
	}
	return core.Time(float64(local-p.offset)/p.rate) + 1
}

// post delivers an event to the current incarnation of the process.
func (p *Process) post(event core.Event) {
	p.do(func() { p.step(event) })
}

// do runs f immediately, or after the pause if the process is paused. It drops
// f if the process is not alive or ends during the pause.
func (p *Process) do(f func()) {
	if !p.alive {
		return
	}
	if p.paused {
		p.backlog = append(p.backlog, f)
		return
	}
	f()
}

func (p *Process) step(event core.Event) {
	effects := p.stepper.Step(p.clock(), event)
	if p.pauseAtOrder > 0 && slices.ContainsFunc(effects, isOrder) {
		p.Pause(p.pauseAtOrder)
		p.pauseAtOrder = 0
	}
	for _, effect := range effects {
		// A pause can begin between a decision and its effect.
		p.do(func() { p.execute(effect) })
	}
}

func isOrder(e core.Effect) bool {
	_, ok := e.(core.Order)
	return ok
}

func (p *Process) execute(effect core.Effect) {
	w := p.world
	switch e := effect.(type) {
	case core.Wake:
		p.setWake(e.At)
	case core.Dial:
		w.dial(p, e.Peer)
	case core.Hangup:
		w.hangup(p, e.Peer)
	case core.Send:
		w.send(p, e.To, e.Message)
	case core.KVGet, core.KVCas, core.KVLease, core.KVKeepAlive:
		w.KV.call(p, effect)
	case core.RespondHead, core.RespondData, core.RespondEnd:
		p.respond(effect)
	case core.TakeInventory, core.Order, core.Run, core.CancelRun:
		if p.Engine != nil {
			p.Engine.do(p, effect)
		}
	case core.Evict:
		w.evict(p, e)
	case core.Exit:
		p.end(time.Millisecond, true)
		if p.OnExit != nil {
			p.OnExit()
		}
	case core.Note:
		p.Notes[e.Name]++
	case core.Count:
		p.Counts[e.Name] += e.Add
	}
}

func (p *Process) setWake(at core.Time) {
	p.wakeSequence++
	if at == core.Never {
		return
	}
	wake, incarnation := p.wakeSequence, p.Incarnation
	p.world.at(max(p.globalTime(at), p.world.now), func() {
		if p.wakeSequence == wake && p.Incarnation == incarnation {
			p.post(core.Tick{})
		}
	})
}

// Pause suspends the process for d. Events that arrive meanwhile are delivered
// when it resumes. After silenceTimeout, its connections are closed because
// pings are not answered.
func (p *Process) Pause(d time.Duration) {
	if !p.alive || p.paused {
		return
	}
	p.paused = true
	p.pauses++
	pause, incarnation := p.pauses, p.Incarnation
	for _, l := range p.world.linksOf(p) {
		p.world.After(silenceTimeout, func() {
			if p.paused && p.pauses == pause && p.Incarnation == incarnation {
				p.world.timeOut(l)
			}
		})
	}
	p.world.After(d, func() {
		if p.Incarnation == incarnation && p.pauses == pause && p.paused {
			p.resume()
		}
	})
}

func (p *Process) resume() {
	p.paused, p.resumedAt = false, p.world.now
	backlog := p.backlog
	p.backlog = nil
	for _, f := range backlog {
		p.do(f)
	}
}

// PauseAtOrder suspends the process for d when it next decides on an order to
// its engine, before the order is sent.
func (p *Process) PauseAtOrder(d time.Duration) { p.pauseAtOrder = d }

// Kill terminates the process immediately. Its engine is not affected.
func (p *Process) Kill() { p.end(5*time.Millisecond, false) }

func (p *Process) end(noticed time.Duration, planned bool) {
	p.alive, p.paused, p.backlog = false, false, nil
	p.world.dropLinks(p, noticed, planned)
}

// Reclaim removes the host and its engine without notice: its connections are
// not closed but time out, and the host list changes after hostListLag.
func (p *Process) Reclaim() {
	p.end(silenceTimeout, false)
	if p.Engine != nil {
		p.Engine.Reset()
	}
	delete(p.world.hosts, p.Host.ID)
	p.world.publishHosts()
}

// MarkLeaving marks the host as leaving in the host list. Processes receive the
// list after hostListLag.
func (p *Process) MarkLeaving() {
	host := p.Host
	host.State = core.HostLeaving
	p.world.hosts[host.ID] = host
	p.world.publishHosts()
}

// Stop requests a graceful shutdown of the process within limit.
func (p *Process) Stop(limit time.Duration) { p.post(core.Stop{Limit: limit}) }
