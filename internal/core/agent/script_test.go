package agent

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"nutmeglane.example/nutmeglane/internal/api"
	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
)

// testTimings returns short and round timings that keep the scripts easy to
// follow.
func testTimings() core.Timings {
	t := core.DefaultTimings()
	t.Tenure, t.UnloadLead = time.Minute, 10*time.Second
	t.OrderValidity, t.ReportInterval = 2*time.Second, 5*time.Second
	return t
}

// script runs one datadriven file. Commands feed events; the output lists the
// effects of each step on a line, without metrics, Status messages and
// unchanged Reports.
type script struct {
	part       *Part
	now        core.Time
	snapshot   *api.Snapshot
	out        strings.Builder
	lastReport string
	lastStatus core.Status
	sequence   uint64
}

func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		s := &script{}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			s.out.Reset()
			for _, line := range strings.Split(strings.TrimSpace(d.Input), "\n") {
				s.command(t, parseLine(t, line))
			}
			return s.out.String()
		})
	})
}

func (s *script) command(t *testing.T, w scriptLine) {
	from := core.HostID(w.text("from", "e1"))
	switch w.name {
	case "new":
		s.create(w)
	case "boot":
		s.boot()
	case "model", "adapter", "service", "account":
		s.declare(w)
	case "config":
		s.configure()
	case "at":
		s.runUntil(w.duration("t", 0))
	case "paused":
		s.now = core.Time(w.duration("until", 0))
	case "up":
		s.step(core.PeerUp{Peer: from, Incarnation: 1})
		s.receive(from, core.Hello{Host: from, Steward: w.has("steward")})
	case "down":
		s.step(core.PeerDown{Peer: from})
	case "grant":
		s.receive(from, s.grantOf(w))
	case "inventory":
		s.step(inventoryOf(w))
	case "done":
		s.step(core.OrderDone{Order: w.number("order", 0), Code: code.Code(w.number("code", 0))})
	case "stop":
		s.step(core.Stop{Limit: w.duration("limit", time.Minute)})
		s.ackLeaving(w, from)
	case "hosts":
		s.step(core.HostList{Hosts: []core.Host{{ID: "h1", State: core.HostLeaving}}})
		s.ackLeaving(w, from)
	case "parted":
		s.ackLeaving(w, from)
	case "status":
		s.status()
	default:
		s.requestCommand(t, w, from)
	}
}

// ackLeaving delivers the answer of an entry to Leaving, unless the command has
// the flag "unanswered".
func (s *script) ackLeaving(w scriptLine, from core.HostID) {
	if !w.has("unanswered") {
		s.receive(from, core.Leaving{Host: from})
	}
}

func (s *script) requestCommand(t *testing.T, w scriptLine, from core.HostID) {
	a := attemptOf(w.number("id", 1), w.number("attempt", 1))
	n := uint32(w.number("n", 1))
	switch w.name {
	case "req":
		s.receive(from, startOf(w, a))
	case "head":
		head := core.RunProgress{Attempt: a, Kind: core.FrameHead, Status: int(w.number("status", 200))}
		if w.has("retry-after") {
			head.Header = []core.HeaderKV{{Name: "Retry-After", Value: w.text("retry-after", "")}}
		}
		s.step(head)
	case "data":
		s.step(core.RunProgress{Attempt: a, Kind: core.FrameData, Count: n, Payload: make([]byte, n)})
	case "end":
		s.step(core.RunProgress{Attempt: a, Kind: core.FrameEnd, Code: code.Code(w.number("code", 0))})
	case "credit":
		s.receive(from, core.Credit{Attempt: a, Frames: w.number("frames", 0), Seq: w.number("seq", 0)})
	case "cancel":
		s.receive(from, core.Cancel{Attempt: a})
	case "permit":
		s.receive(from, core.PermitGrant{Sequence: w.number("seq", 1), StartIn: w.duration("in", 0)})
	case "resume":
		s.receive(from, core.Resume{
			Attempt: a, Seq: w.number("seq", 0), HaveHead: w.has("head"), Frames: w.number("frames", 0),
		})
	default:
		t.Fatalf("unknown command %q", w.name)
	}
}

func (s *script) create(w scriptLine) {
	cfg := Config{Host: "h1", Incarnation: 7, Kind: core.BackendEngine, Timings: testTimings()}
	cfg.Limits.QueueCount = 4
	cfg.Limits.BufferFrames = 4
	cfg.Idle = NewFixedTTL(w.duration("ttl", 20*time.Second))
	if w.has("service") {
		cfg.Kind, cfg.Service = core.BackendService, "akte"
	}
	*s = script{part: New(cfg), snapshot: emptySnapshot()}
	s.step(core.Tick{})
}

// boot brings a new engine agent to the point where it waits for its first
// Grant: a steward is connected and the empty inventory is settled.
func (s *script) boot() {
	s.configure()
	s.step(core.PeerUp{Peer: "e1", Incarnation: 1})
	s.receive("e1", core.Hello{Host: "e1", Steward: true})
	s.step(core.Inventory{MemoryMiB: 4000})
	s.runUntil(2500 * time.Millisecond)
	s.step(core.Inventory{MemoryMiB: 4000})
	s.out.Reset()
}

func (s *script) runUntil(t time.Duration) {
	for s.part.Next() <= core.Time(t) {
		s.now = max(s.now, s.part.Next())
		s.step(core.Tick{})
	}
	s.now = core.Time(t)
}

func (s *script) receive(from core.HostID, m core.Message) {
	s.step(core.Received{From: from, Message: m})
}

func (s *script) step(event core.Event) {
	var shown []string
	for _, e := range s.part.Step(s.now, event) {
		if text := s.describe(e); text != "" {
			shown = append(shown, text)
		}
	}
	if len(shown) > 0 {
		fmt.Fprintf(&s.out, "%s: %s\n", time.Duration(s.now), strings.Join(shown, "; "))
	}
}

func (s *script) describe(effect core.Effect) string {
	switch e := effect.(type) {
	case core.Count, core.Observe:
		return ""
	case core.Send:
		return s.describeMessage(e)
	case core.Order:
		if e.Kind == core.OrderRole {
			role := map[core.EngineRole]string{core.EngineServing: "serving", core.EngineDraining: "draining"}[e.Role]
			return fmt.Sprintf("ROLE #%d %s fence=%d notAfter=%s", e.ID, role, e.Fence, time.Duration(e.NotAfter))
		}
		kind := map[core.OrderKind]string{core.OrderLoad: "LOAD", core.OrderUnload: "UNLOAD", core.OrderPrefetch: "PREFETCH"}[e.Kind]
		return fmt.Sprintf("%s #%d %s fence=%d notAfter=%s", kind, e.ID, e.Key, e.Fence, time.Duration(e.NotAfter))
	case core.Run:
		return fmt.Sprintf("Run %s on %s", attemptName(e.Attempt), e.Key)
	case core.CancelRun:
		return "CancelRun " + attemptName(e.Attempt)
	case core.PauseRun:
		return fmt.Sprintf("PauseRun %s %v", attemptName(e.Attempt), e.Paused)
	case core.Note:
		return fmt.Sprintf("(%s)", strings.Join(append([]string{e.Name}, e.Fields...), " "))
	}
	return fmt.Sprintf("%T%+v", effect, effect)
}

func (s *script) describeMessage(e core.Send) string {
	var text string
	switch m := e.Message.(type) {
	case core.Welcome:
		return ""
	case core.Status:
		s.lastStatus = m
		return ""
	case core.Report:
		s.sequence = m.Sequence
		text = fmt.Sprintf("Report inventoried=%v leaving=%v released=%s", m.Inventoried, m.Leaving, slotNames(m.Released))
		for _, c := range m.Cleared {
			text += fmt.Sprintf(" cleared=%s.%d", slotNames([]core.Slot{c}), c.AdapterEpoch)
		}
		for _, id := range m.Crowded {
			text += fmt.Sprintf(" crowded=%s/%d", id.Model, id.Index)
		}
		if text == s.lastReport {
			return ""
		}
		s.lastReport = text
		text = fmt.Sprintf("#%d %s", m.Sequence, text)
	case core.Accepted:
		text = fmt.Sprintf("Accepted %s startsIn=%s", attemptName(m.Attempt), m.StartsIn)
	case core.Rejected:
		text = fmt.Sprintf("Rejected %s code=%d retryAfter=%s", attemptName(m.Attempt), m.Code, m.RetryAfter)
	case core.NotStarted:
		text = "NotStarted " + attemptName(m.Attempt)
	case core.Frame:
		kind := map[core.FrameKind]string{core.FrameHead: "head", core.FrameData: "data", core.FrameEnd: "end"}[m.Kind]
		text = fmt.Sprintf("Frame %s %s seq=%d code=%d", attemptName(m.Attempt), kind, m.Seq, m.Code)
	case core.PermitRequest:
		text = fmt.Sprintf("PermitRequest #%d %s %s", m.Sequence, m.Priority, m.Key)
	case core.PermitDone:
		text = fmt.Sprintf("PermitDone #%d", m.Sequence)
	default:
		text = fmt.Sprintf("%T%+v", m, m)
	}
	return fmt.Sprintf("-> %s %s", e.To, text)
}

func (s *script) status() {
	state := s.part.Dump().(State)
	fmt.Fprintf(&s.out, "reserved=%d/%d queued=%d running=%d\n", state.ReservedMiB, state.TotalMiB, state.Queued, state.Running)
	for _, it := range state.Items {
		fmt.Fprintf(&s.out, "item %s %s foreign=%v\n", it.Key, it.State, it.Foreign)
	}
	for _, l := range s.lastStatus.Slots {
		fmt.Fprintf(&s.out, "pushed %s/%d state=%d adapters=%v readyIn=%s\n", l.Slot.Model, l.Slot.Index, l.State, l.Adapters, l.ReadyIn)
	}
}
