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

// contest is a loaded model with two places that client accounts contend for.
type contest struct {
	t       *rapid.T
	script  script
	starts  map[core.AttemptID]core.Start
	running []core.AttemptID
	broken  map[core.AttemptID]bool // a CancelRun is on its way
	ran     map[core.AttemptID]bool
	tokens  map[core.AttemptID]uint64
	ends    map[core.AttemptID]int
	exited  bool
}

const contestPlaces = 2

func newContest(t *rapid.T) *contest {
	c := &contest{
		t: t, starts: map[core.AttemptID]core.Start{}, broken: map[core.AttemptID]bool{},
		ran: map[core.AttemptID]bool{}, tokens: map[core.AttemptID]uint64{}, ends: map[core.AttemptID]int{},
	}
	s := &c.script
	s.create(words{})
	s.snapshot.Models["small"] = &api.Model{Metadata: api.Metadata{Name: "small"}, Spec: api.ModelSpec{
		Version: "v1", MemoryMiB: 1000, Replicas: api.ReplicaLimits{Min: 1, Max: 1}, MaxConcurrent: contestPlaces,
	}}
	s.boot()
	slot := core.Slot{ID: core.SlotID{Model: "small"}, Owner: "h1", Incarnation: 7, Generation: 1, State: core.SlotOwned}
	c.step(core.Received{From: "e1", Message: core.Grant{
		Sequence: s.sequence, Incarnation: 7, Tenure: time.Hour, Slots: []core.Slot{slot},
	}})
	c.step(core.OrderDone{Order: 1, Code: code.OK})
	return c
}

func (c *contest) step(event core.Event) {
	for _, effect := range c.script.part.Step(c.script.now, event) {
		switch e := effect.(type) {
		case core.Run:
			c.run(e)
		case core.CancelRun:
			c.broken[e.Attempt] = true
		case core.Exit:
			c.exited = true
		case core.Send:
			c.sent(e.Message)
		}
	}
}

func (c *contest) run(e core.Run) {
	if c.ran[e.Attempt] && !c.starts[e.Attempt].Idempotent {
		c.t.Fatalf("%v runs twice and may not be repeated", e.Attempt)
	}
	if e.ResumeFrom != c.tokens[e.Attempt] || len(e.Body) == 0 {
		c.t.Fatalf("%v goes on from %d, has %d, body of %d", e.Attempt, e.ResumeFrom, c.tokens[e.Attempt], len(e.Body))
	}
	c.ran[e.Attempt] = true
	c.running = append(c.running, e.Attempt)
	if len(c.running) > contestPlaces {
		c.t.Fatalf("%d run", len(c.running))
	}
}

func (c *contest) sent(message core.Message) {
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

func (c *contest) arrive(t *rapid.T) {
	if c.exited {
		t.Skip("the process is gone")
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

func (c *contest) token(t *rapid.T) {
	if len(c.running) == 0 {
		t.Skip("nothing runs")
	}
	a := rapid.SampledFrom(c.running).Draw(t, "run")
	c.tokens[a]++
	c.step(core.RunProgress{Attempt: a, Kind: core.FrameHead, Status: 200})
	c.step(core.RunProgress{Attempt: a, Kind: core.FrameData, Count: 1, Payload: []byte("x")})
}

// end ends a run: one that is being broken off may yet end by itself.
func (c *contest) end(t *rapid.T) {
	if len(c.running) == 0 {
		t.Skip("nothing runs")
	}
	a := rapid.SampledFrom(c.running).Draw(t, "run")
	c.endWith(a, rapid.SampledFrom([]code.Code{code.OK, code.Cancelled, code.BackendFailed}).Draw(t, "code"))
}

func (c *contest) endWith(a core.AttemptID, result code.Code) {
	if result == code.Cancelled && !c.broken[a] {
		result = code.OK
	}
	delete(c.broken, a)
	c.running = slices.DeleteFunc(c.running, func(o core.AttemptID) bool { return o == a })
	c.step(core.RunProgress{Attempt: a, Kind: core.FrameEnd, Code: result})
}

func (c *contest) wait(t *rapid.T) {
	c.until(c.script.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond))
}

func (c *contest) until(end core.Time) {
	for c.script.part.Next() <= end {
		c.script.now = max(c.script.now, c.script.part.Next())
		c.step(core.Tick{})
	}
	c.script.now = end
}

// settle lets everything that was sent come to its end.
func (c *contest) settle() {
	for len(c.running) > 0 {
		c.endWith(c.running[0], code.Cancelled)
	}
	c.until(c.script.now.Add(30 * time.Second))
	for len(c.running) > 0 {
		c.endWith(c.running[0], code.OK)
	}
}

// A big client account, a small one and batch work contend for two places; runs are
// broken off to make room, go on, fail, run out of time, the agent stops. Each
// caller gets one end; none that ran hears "not run"; what may not be repeated
// runs once; what goes on goes on from the token reached.
func TestContestedPlaces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newContest(t)
		t.Repeat(map[string]func(*rapid.T){
			"arrive": c.arrive, "arrive2": c.arrive, "token": c.token, "end": c.end, "wait": c.wait,
			"stop": func(t *rapid.T) {
				if rapid.IntRange(0, 30).Draw(t, "sure") == 0 {
					c.step(core.Stop{Limit: time.Minute})
				}
			},
		})
		c.settle()
		for a := range c.starts { // a check of each: order has no effect
			if c.ends[a] != 1 {
				t.Fatalf("%v has %d ends", a, c.ends[a])
			}
		}
	})
}
