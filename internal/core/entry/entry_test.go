package entry

import (
	"encoding/binary"
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"nutmeglane.example/nutmeglane/internal/api"
	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/core/peers"
)

// TestScenarios runs the scripts in testdata: events separated by ";" ("@<time>" sets the
// clock and sends a Tick), and for each event a line of its effects, without metrics.
// "fresh" resets the fixture: model m with slots 0, 1, 2 owned by a0, a1, a2 (incarnation
// 1), adapter ad on m, service svc on s0 and s1. "run" continues with the present state.
func TestScenarios(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var h *fixture
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			if d.Cmd == "fresh" {
				h = newFixture(t)
			}
			h.t = t
			var out strings.Builder
			for _, event := range strings.Split(d.Input, ";") {
				h.line(&out, strings.Fields(event))
			}
			return out.String()
		})
	})
}

type fixture struct {
	t        *testing.T
	part     *Part
	manager  *peers.Manager
	now      core.Time
	revision int64
}

func newFixture(t *testing.T) *fixture {
	manager := peers.New(1)
	h := &fixture{t: t, manager: manager, part: New(Config{
		Host: "e0", Incarnation: 7, Zone: "z0", Seed: 1, Timings: core.DefaultTimings(),
		Limits: Limits{StreamWindow: 4, QueueRequests: 8},
	}, manager)}
	h.step(core.ConfigInForce{Snapshot: testSnapshot()})
	h.step(h.value(core.KeyRosterPrefix+"z0", testRoster("", "")))
	h.step(h.value(core.KeySlotsPrefix+"0", testTable(3)))
	return h
}

func testTable(adapterMax uint16) core.SlotTable {
	var table core.SlotTable
	for i := range uint16(3) {
		host := core.HostID(fmt.Sprint("a", i))
		table.Slots = append(table.Slots, core.Slot{ID: core.SlotID{Model: "m", Index: i},
			Owner: host, Incarnation: 1, Generation: 5, State: core.SlotOwned, AdapterMax: adapterMax})
	}
	return table
}

func testSnapshot() *api.Snapshot {
	model := &api.Model{Spec: api.ModelSpec{Replicas: api.ReplicaLimits{Max: 3}, MaxConcurrent: 2}}
	adapter := &api.Adapter{Spec: api.AdapterSpec{Base: "m", Replicas: api.ReplicaLimits{Max: 2}}}
	service := &api.Service{Spec: api.ServiceSpec{MaxConcurrent: 4}}
	return &api.Snapshot{Revision: 3, Models: map[string]*api.Model{"m": model},
		Adapters: map[string]*api.Adapter{"ad": adapter},
		Services: map[string]*api.Service{"svc": service}}
}

func testRoster(leaving, restarted core.HostID) core.Roster {
	roster := core.Roster{Zone: "z0"}
	for _, host := range []core.HostID{"a0", "a1", "a2", "s0", "s1"} {
		entry := core.RosterEntry{Host: host, Incarnation: 1, Address: "addr-" + string(host),
			Kind: core.BackendEngine, Leaving: host == leaving}
		if host == restarted {
			entry.Incarnation++
		}
		if host[0] == 's' {
			entry.Kind, entry.Service = core.BackendService, "svc"
		}
		roster.Entries = append(roster.Entries, entry)
	}
	return roster
}

func (h *fixture) value(key string, value any) core.KVValue {
	h.revision++
	return core.KVValue{Key: key, Value: must(core.EncodeValue(value)), Revision: h.revision}
}

func (h *fixture) step(event core.Event) []core.Effect {
	effects := h.manager.Step(h.now, event)
	return append(effects, h.part.Step(h.now, event)...)
}

// line runs one line of a script.
func (h *fixture) line(out *strings.Builder, args []string) {
	if at, ok := strings.CutPrefix(args[0], "@"); ok {
		h.now = core.Time(h.duration(at))
		if min(h.part.Next(), h.manager.Next()) > h.now {
			return
		}
		args = []string{"tick"}
	}
	var shown []string
	for _, effect := range h.step(h.event(args)) {
		if text := show(effect); text != "" {
			shown = append(shown, text)
		}
	}
	if len(shown) > 0 {
		fmt.Fprintln(out, strings.Join(shown, "; "))
	}
}

func must[T any](value T, err error) T {
	if err != nil {
		panic(err)
	}
	return value
}

func (h *fixture) duration(s string) time.Duration { return must(time.ParseDuration(s)) }
func (h *fixture) number(s string) uint64          { return must(strconv.ParseUint(s, 10, 64)) }

func (h *fixture) event(args []string) core.Event {
	switch args[0] {
	case "tick":
		return core.Tick{}
	case "ask":
		return h.ask(args[1:])
	case "up":
		return core.PeerUp{Peer: core.HostID(args[1]), Incarnation: core.Incarnation(h.number(args[2]))}
	case "down":
		return core.PeerDown{Peer: core.HostID(args[1])}
	case "took":
		return core.CallerTook{ID: requestID(args[1]), Frames: uint32(h.number(args[2]))}
	case "gone":
		return core.CallerGone{ID: requestID(args[1])}
	case "stop":
		stop := core.Stop{Limit: h.duration(args[1])}
		if len(args) > 2 {
			stop.Delay = h.duration(args[2])
		}
		return stop
	case "roster-leaving":
		return h.value(core.KeyRosterPrefix+"z0", testRoster(core.HostID(args[1]), ""))
	case "roster-restarted":
		return h.value(core.KeyRosterPrefix+"z0", testRoster("", core.HostID(args[1])))
	case "roster-moved":
		roster := testRoster("", core.HostID(args[1]))
		for i := range roster.Entries {
			if roster.Entries[i].Host == core.HostID(args[1]) {
				roster.Entries[i].Address = "moved"
			}
		}
		return h.value(core.KeyRosterPrefix+"z0", roster)
	case "adapters":
		return h.value(core.KeySlotsPrefix+"0", testTable(uint16(h.number(args[1]))))
	case "old-slots":
		return core.KVValue{Key: core.KeySlotsPrefix + "0"}
	case "hosts":
		return hostList(args[1:])
	default:
		return core.Received{From: core.HostID(args[1]), Message: h.message(args[0], args[2:])}
	}
}

func hostList(args []string) core.HostList {
	var list core.HostList
	for _, arg := range args {
		name, state, _ := strings.Cut(arg, "=")
		list.Hosts = append(list.Hosts, core.Host{ID: core.HostID(name), Role: core.RoleBackend, State: core.HostState(state)})
	}
	return list
}

// ask parses "<id> <target> <timeout> [idem] [key=K] [batch] [small]".
func (h *fixture) ask(args []string) core.RequestArrived {
	ev := core.RequestArrived{ID: requestID(args[0]), ClientAccount: "c", Timeout: h.duration(args[2])}
	switch args[1] {
	case "svc", "nosvc":
		ev.Target.Service = args[1]
	case "ad":
		ev.Target.Adapter = args[1]
	default:
		ev.Target.Model = args[1]
	}
	for _, arg := range args[3:] {
		switch key, ok := strings.CutPrefix(arg, "key="); {
		case ok:
			ev.Key = key
		case arg == "idem":
			ev.Idempotent = true
		case arg == "small":
			ev.ClientAccount = "small"
		case arg == "batch":
			ev.Priority = api.PriorityBatch
		}
	}
	return ev
}

func (h *fixture) message(kind string, args []string) core.Message {
	switch kind {
	case "leaving":
		return core.Leaving{}
	case "status":
		return h.status(args)
	}
	attempt := parseAttempt(args[0])
	switch args = args[1:]; kind {
	case "accept":
		return core.Accepted{Attempt: attempt, StartsIn: h.duration(args[0])}
	case "reject":
		return core.Rejected{Attempt: attempt, Code: code.Code(h.number(args[0])), RetryAfter: h.duration(args[1])}
	case "notstarted":
		return core.NotStarted{Attempt: attempt, Incarnation: core.Incarnation(h.number(args[0]))}
	case "head":
		return core.Frame{Attempt: attempt, Kind: core.FrameHead, Status: 200}
	case "data":
		return h.data(attempt, args)
	case "end":
		frame := core.Frame{Attempt: attempt, Kind: core.FrameEnd, Seq: h.number(args[0])}
		if len(args) > 1 {
			frame.Code = code.Code(h.number(args[1]))
		}
		return frame
	}
	h.t.Fatalf("unknown command %q", kind)
	return nil
}

// data parses "<seq> <token>|<token>".
func (h *fixture) data(attempt core.AttemptID, args []string) core.Frame {
	frame := core.Frame{Attempt: attempt, Kind: core.FrameData, Seq: h.number(args[0])}
	for _, token := range strings.Split(args[1], "|") {
		frame.Count++
		frame.Payload = append(frame.Payload, token...)
		frame.Sizes = binary.AppendUvarint(frame.Sizes, uint64(len(token)))
	}
	return frame
}

// status parses "<sequence> <index>:<state>:<readyIn>:<running>[:<skipIn>]" for model m.
func (h *fixture) status(args []string) core.Status {
	m := core.Status{Sequence: h.number(args[0])}
	for _, arg := range args[1:] {
		f := strings.Split(arg, ":")
		states := map[string]core.LoadState{"loading": core.Loading, "loaded": core.Loaded}
		load := core.SlotLoad{
			Slot: core.SlotID{Model: "m", Index: uint16(h.number(f[0]))}, Generation: 5,
			State: states[f[1]], ReadyIn: h.duration(f[2]), Running: int(h.number(f[3])),
		}
		if len(f) > 4 {
			load.SkipIn = h.duration(f[4])
		}
		m.Slots = append(m.Slots, load)
		m.Running += int(h.number(f[3]))
	}
	return m
}

func requestID(name string) (id core.RequestID) {
	copy(id[:], name)
	return id
}

func requestName(id core.RequestID) string { return strings.TrimRight(string(id[:]), "\x00") }

func parseAttempt(s string) core.AttemptID {
	name, number, _ := strings.Cut(s, ".")
	n, _ := strconv.Atoi(number)
	return core.AttemptID{Request: requestID(name), Attempt: uint32(n)}
}

func show(effect core.Effect) string {
	switch e := effect.(type) {
	case core.Count, core.Observe:
		return ""
	case core.Dial:
		return "dial " + string(e.Peer)
	case core.Send:
		return fmt.Sprintf("to %s: %s", e.To, showMessage(e.Message))
	case core.RespondHead:
		return fmt.Sprintf("%s head %d", requestName(e.ID), e.Status)
	case core.RespondData:
		return fmt.Sprintf("%s data %d %s", requestName(e.ID), e.Count, e.Payload)
	case core.RespondEnd:
		return fmt.Sprintf("%s end %d retry-after %s", requestName(e.ID), e.Code, e.RetryAfter)
	}
	return strings.TrimPrefix(fmt.Sprintf("%T%+v", effect, effect), "core.")
}

func showMessage(message core.Message) string {
	name := func(id core.AttemptID) string { return fmt.Sprintf("%s.%d", requestName(id.Request), id.Attempt) }
	switch m := message.(type) {
	case core.Start:
		return fmt.Sprintf("start %s slot %d from %d window %d", name(m.Attempt), m.Slot.Index, m.ResumeFrom, m.Window)
	case core.Credit:
		return fmt.Sprintf("credit %s frames %d seq %d", name(m.Attempt), m.Frames, m.Seq)
	case core.Cancel:
		return "cancel " + name(m.Attempt)
	case core.Resume:
		return fmt.Sprintf("resume %s seq %d head %t frames %d", name(m.Attempt), m.Seq, m.HaveHead, m.Frames)
	}
	return strings.ToLower(strings.TrimPrefix(fmt.Sprintf("%T", message), "core."))
}
