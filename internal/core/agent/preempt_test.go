package agent

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"nutmeglane.example/nutmeglane/internal/api"
	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
)

// contention simulates a loaded model with a concurrency limit of two, for
// which client accounts compete.
type contention struct {
	t         *rapid.T
	script    script
	starts    map[core.AttemptID]core.Start
	running   []core.AttemptID
	cancelled map[core.AttemptID]bool // a CancelRun was emitted
	ran       map[core.AttemptID]bool
	tokens    map[core.AttemptID]uint64
	ends      map[core.AttemptID]int
	exited    bool
}

const contentionLimit = 2

func newContention(t *rapid.T) *contention {
	c := &contention{
		t: t, starts: map[core.AttemptID]core.Start{}, cancelled: map[core.AttemptID]bool{},
		ran: map[core.AttemptID]bool{}, tokens: map[core.AttemptID]uint64{}, ends: map[core.AttemptID]int{},
	}
	s := &c.script
	s.create(scriptLine{})
	s.snapshot.Models["small"] = &api.Model{Metadata: api.Metadata{Name: "small"}, Spec: api.ModelSpec{
		Version: "v1", MemoryMiB: 1000, Replicas: api.ReplicaLimits{Min: 1, Max: 1}, MaxConcurrent: contentionLimit,
	}}
	s.boot()
	slot := core.Slot{ID: core.SlotID{Model: "small"}, Owner: "h1", Incarnation: 7, Generation: 1, State: core.SlotOwned}
	c.step(core.Received{From: "e1", Message: core.Grant{
		Sequence: s.sequence, Incarnation: 7, Tenure: time.Hour, Slots: []core.Slot{slot},
	}})
	c.step(core.OrderDone{Order: 1, Code: code.OK})
	return c
}

func (c *contention) step(event core.Event) {
	for _, effect := range c.script.part.Step(c.script.now, event) {
		switch e := effect.(type) {
		case core.Run:
			c.run(e)
		case core.CancelRun:
			c.cancelled[e.Attempt] = true
		case core.Exit:
			c.exited = true
		case core.Send:
			c.sent(e.Message)
		}
	}
}

func (c *contention) run(e core.Run) {
	if c.ran[e.Attempt] && !c.starts[e.Attempt].Idempotent {
		c.t.Fatalf("%v runs twice but may not be repeated", e.Attempt)
	}
	if e.ResumeFrom != c.tokens[e.Attempt] || len(e.Body) == 0 {
		c.t.Fatalf("%v resumed from token %d, want %d; body of %d bytes", e.Attempt, e.ResumeFrom, c.tokens[e.Attempt], len(e.Body))
	}
	c.ran[e.Attempt] = true
	c.running = append(c.running, e.Attempt)
	if len(c.running) > contentionLimit {
		c.t.Fatalf("%d requests run at the same time", len(c.running))
	}
}

func (c *contention) sent(message core.Message) {
	switch m := message.(type) {
	case core.Rejected:
		if c.ran[m.Attempt] {
			c.t.Fatalf("%v refused as not run after it ran", m.Attempt)
		}
		c.ends[m.Attempt]++
	case core.Frame:
		if m.Kind == core.FrameEnd {
			c.ends[m.Attempt]++
		}
	}
}

func (c *contention) arrive(t *rapid.T) {
	if c.exited {
		t.Skip("the agent has exited")
	}
	a := attemptOf(uint64(len(c.starts)+1), 1)
	m := core.Start{
		Attempt: a, Slot: core.SlotID{Model: "small"}, Generation: 1,
		Target: core.Target{Model: "small"}, Body: []byte("x"), Window: 1 << 20,
		ClientAccount: rapid.SampledFrom([]string{"big", "big", "big", "little"}).Draw(t, "account"),
		Priority:      rapid.SampledFrom([]api.Priority{api.PriorityInteractive, api.PriorityBatch}).Draw(t, "priority"),
		Idempotent:    rapid.Bool().Draw(t, "idempotent"),
		Remaining:     time.Duration(rapid.IntRange(1, 20).Draw(t, "seconds")) * time.Second,
	}
	c.starts[a] = m
	c.step(core.Received{From: "e1", Message: m})
}

func (c *contention) token(t *rapid.T) {
	if len(c.running) == 0 {
		t.Skip("nothing runs")
	}
	a := rapid.SampledFrom(c.running).Draw(t, "run")
	c.tokens[a]++
	c.step(core.RunProgress{Attempt: a, Kind: core.FrameHead, Status: 200})
	c.step(core.RunProgress{Attempt: a, Kind: core.FrameData, Count: 1, Payload: []byte("x")})
}

// end ends a run; one that is being cancelled may still end by itself.
func (c *contention) end(t *rapid.T) {
	if len(c.running) == 0 {
		t.Skip("nothing runs")
	}
	a := rapid.SampledFrom(c.running).Draw(t, "run")
	c.endWith(a, rapid.SampledFrom([]code.Code{code.OK, code.Cancelled, code.BackendFailed}).Draw(t, "code"))
}

func (c *contention) endWith(a core.AttemptID, result code.Code) {
	if result == code.Cancelled && !c.cancelled[a] {
		result = code.OK
	}
	delete(c.cancelled, a)
	c.running = slices.DeleteFunc(c.running, func(o core.AttemptID) bool { return o == a })
	c.step(core.RunProgress{Attempt: a, Kind: core.FrameEnd, Code: result})
}

func (c *contention) wait(t *rapid.T) {
	c.until(c.script.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond))
}

func (c *contention) until(end core.Time) {
	for c.script.part.Next() <= end {
		c.script.now = max(c.script.now, c.script.part.Next())
		c.step(core.Tick{})
	}
	c.script.now = end
}

// finishAll runs until all started requests have ended.
func (c *contention) finishAll() {
	for len(c.running) > 0 {
		c.endWith(c.running[0], code.Cancelled)
	}
	c.until(c.script.now.Add(30 * time.Second))
	for len(c.running) > 0 {
		c.endWith(c.running[0], code.OK)
	}
}

// TestPreemptionUnderContention lets two client accounts and batch work compete
// for a concurrency limit of two, while runs are preempted, resumed, fail or
// exceed their deadlines, and the agent stops. Each request must get exactly
// one end, none that ran may be answered "not run", a request that may not be
// repeated must run once, and a resumed run must continue from the last token
// received.
func TestPreemptionUnderContention(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newContention(t)
		t.Repeat(map[string]func(*rapid.T){
			"arrive": c.arrive, "arrive2": c.arrive, "token": c.token, "end": c.end, "wait": c.wait,
			"stop": func(t *rapid.T) {
				if rapid.IntRange(0, 30).Draw(t, "sure") == 0 {
					c.step(core.Stop{Limit: time.Minute})
				}
			},
		})
		c.finishAll()
		for a := range c.starts { // the order of the checks has no effect
			if c.ends[a] != 1 {
				t.Fatalf("%v got %d ends", a, c.ends[a])
			}
		}
	})
}
