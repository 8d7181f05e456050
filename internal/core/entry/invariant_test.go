package entry

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"nutmeglane.example/nutmeglane/internal/api"
	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
)

// TestInvariants injects random faults and checks what must always hold: one final answer
// for each request, tokens in order without gaps or duplicates, no second Start of a
// request that isn't idempotent without a proof that the first did not run, and no "not
// run" without that proof.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		c := &checker{rt: rt, fixture: newFixture(t), all: map[core.RequestID]*history{}, up: map[core.HostID]core.Incarnation{}}
		for range rapid.IntRange(10, 80).Draw(rt, "steps") {
			c.random()
		}
		c.now = c.now.Add(time.Hour)
		c.check(core.Tick{})
		for id, h := range c.all {
			if h.ends != 1 {
				rt.Fatalf("%s has %d final answers", requestName(id), h.ends)
			}
		}
	})
}

type history struct {
	idempotent bool
	attempts   []core.HostID // by attempt number, from 1
	sentTo     []core.Incarnation
	proved     map[uint32]bool
	next       uint64
	ends       int
}

type checker struct {
	*fixture
	rt  *rapid.T
	all map[core.RequestID]*history
	up  map[core.HostID]core.Incarnation
}

var hostNames = []core.HostID{"a0", "a1", "a2", "s0", "s1"}

func (c *checker) random() {
	host := rapid.SampledFrom(hostNames).Draw(c.rt, "host")
	c.now = c.now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(c.rt, "ms")) * time.Millisecond)
	switch rapid.IntRange(0, 9).Draw(c.rt, "kind") {
	case 0:
		c.ask()
	case 1, 2:
		c.up[host] = 1 + core.Incarnation(rapid.IntRange(0, 4).Draw(c.rt, "restarted")/4)
		c.check(core.PeerUp{Peer: host, Incarnation: c.up[host]})
	case 3:
		c.check(core.PeerDown{Peer: host})
	case 4:
		c.check(core.Tick{})
	default:
		c.reply()
	}
}

func (c *checker) ask() {
	id := core.RequestID{byte('A' + len(c.all)%26), byte('a' + len(c.all)/26)}
	ev := core.RequestArrived{ID: id, ClientAccount: "c", Timeout: 20 * time.Second,
		Priority: api.PriorityInteractive, Idempotent: rapid.Bool().Draw(c.rt, "idempotent"),
		Key: rapid.SampledFrom([]string{"", "k"}).Draw(c.rt, "key")}
	if ev.Target.Model = "m"; rapid.Bool().Draw(c.rt, "service") {
		ev.Target = core.Target{Service: "svc"}
	}
	c.all[id] = &history{idempotent: ev.Idempotent, proved: map[uint32]bool{}}
	c.check(ev)
}

// reply sends a random answer of a random attempt, current or superseded.
func (c *checker) reply() {
	var ids []core.RequestID
	for i := range len(c.all) {
		id := core.RequestID{byte('A' + i%26), byte('a' + i/26)}
		if len(c.all[id].attempts) > 0 {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return
	}
	id := rapid.SampledFrom(ids).Draw(c.rt, "id")
	h := c.all[id]
	n := uint32(rapid.IntRange(1, len(h.attempts)).Draw(c.rt, "attempt"))
	attempt, seq := core.AttemptID{Request: id, Attempt: n}, rapid.Uint64Range(0, 4).Draw(c.rt, "seq")
	var m core.Message
	switch rapid.IntRange(0, 6).Draw(c.rt, "message") {
	case 0:
		m = core.Accepted{Attempt: attempt}
	case 1:
		m, h.proved[n] = core.Rejected{Attempt: attempt, Code: code.QueueFull}, true
	case 2:
		inc := core.Incarnation(rapid.IntRange(1, 2).Draw(c.rt, "incarnation"))
		m = core.NotStarted{Attempt: attempt, Incarnation: inc}
		if inc == h.sentTo[n-1] {
			h.proved[n] = true
		}
	case 3:
		m = core.Frame{Attempt: attempt, Kind: core.FrameHead, Status: 200}
	case 4, 5:
		m = core.Frame{Attempt: attempt, Kind: core.FrameData, Seq: seq, Count: 2, Payload: []byte("xy"), Sizes: []byte{1, 1}}
	case 6:
		m = core.Frame{Attempt: attempt, Kind: core.FrameEnd, Seq: seq}
	}
	c.check(core.Received{From: h.attempts[n-1], Message: m})
}

func (c *checker) check(event core.Event) {
	for _, effect := range c.step(event) {
		switch e := effect.(type) {
		case core.Send:
			if start, ok := e.Message.(core.Start); ok {
				c.started(e.To, start)
			}
		case core.RespondData:
			c.all[e.ID].next += uint64(e.Count)
			if int(e.Count) != len(e.Payload) {
				c.rt.Fatalf("%d tokens in %d bytes", e.Count, len(e.Payload))
			}
		case core.RespondEnd:
			h := c.all[e.ID]
			if h.ends++; e.Code.NotRun() && h.open() > 0 {
				c.rt.Fatalf("%s ended with code %d while an attempt may still run", requestName(e.ID), e.Code)
			}
		}
	}
}

func (h *history) open() int { return len(h.attempts) - len(h.proved) }

func (c *checker) started(to core.HostID, m core.Start) {
	h := c.all[m.Attempt.Request]
	if h.ends > 0 || !h.idempotent && h.open() > 0 {
		c.rt.Fatalf("%s started again", requestName(m.Attempt.Request))
	}
	if m.ResumeFrom != h.next {
		c.rt.Fatalf("%s resumes from %d, caller has %d", requestName(m.Attempt.Request), m.ResumeFrom, h.next)
	}
	h.attempts, h.sentTo = append(h.attempts, to), append(h.sentTo, c.up[to])
}
