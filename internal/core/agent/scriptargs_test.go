package agent

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"nutmeglane.example/nutmeglane/internal/api"
	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
)

// scriptLine is a parsed line of a script: a command, "key=value" pairs and
// flags, and items, which are the words that contain an "@".
type scriptLine struct {
	t      *testing.T
	name   string
	values map[string]string
	items  []string
}

func parseLine(t *testing.T, line string) scriptLine {
	split := strings.Fields(line)
	w := scriptLine{t: t, name: split[0], values: map[string]string{}}
	for _, word := range split[1:] {
		if strings.Contains(word, "@") {
			w.items = append(w.items, word)
			continue
		}
		key, value, _ := strings.Cut(word, "=")
		w.values[key] = value
	}
	return w
}

func (w scriptLine) has(name string) bool { _, ok := w.values[name]; return ok }

func (w scriptLine) text(name, fallback string) string {
	if w.has(name) {
		return w.values[name]
	}
	return fallback
}

func (w scriptLine) number(name string, fallback uint64) uint64 {
	n, err := strconv.ParseUint(w.text(name, strconv.FormatUint(fallback, 10)), 10, 64)
	if err != nil {
		w.t.Fatalf("%s %s: %v", w.name, name, err)
	}
	return n
}

func (w scriptLine) duration(name string, fallback time.Duration) time.Duration {
	d, err := time.ParseDuration(w.text(name, fallback.String()))
	if err != nil {
		w.t.Fatalf("%s %s: %v", w.name, name, err)
	}
	return d
}

// parseItem parses "name@rest,key=value,flag" into a scriptLine with name as
// command and rest as the value of "@".
func (w scriptLine) parseItem(item string) scriptLine {
	parts := strings.Split(item, ",")
	sub := parseLine(w.t, "x "+strings.Join(parts[1:], " "))
	sub.name, sub.values["@"], _ = strings.Cut(parts[0], "@")
	return sub
}

func slotOf(name string) core.SlotID {
	model, index, _ := strings.Cut(name, "/")
	n, _ := strconv.ParseUint(index, 10, 16)
	return core.SlotID{Model: model, Index: uint16(n)}
}

// attemptOf returns an attempt ID that attemptName prints as "id.attempt".
func attemptOf(id, attempt uint64) core.AttemptID {
	a := core.AttemptID{Attempt: uint32(attempt)}
	a.Request[0], a.Request[1] = byte(id), byte(id>>8)
	return a
}

func attemptName(a core.AttemptID) string { return fmt.Sprintf("%d.%d", a.Request[0], a.Attempt) }

func slotNames(slots []core.Slot) string {
	var names []string
	for _, s := range slots {
		names = append(names, fmt.Sprintf("%s/%d@%d", s.ID.Model, s.ID.Index, s.Generation))
	}
	return strings.Join(names, ",")
}

func emptySnapshot() *api.Snapshot {
	return &api.Snapshot{
		Models: map[string]*api.Model{}, Adapters: map[string]*api.Adapter{},
		Services: map[string]*api.Service{}, ClientAccounts: map[string]*api.ClientAccount{},
		Deployment: &api.DeploymentSpec{},
	}
}

// declare adds a resource to the next configuration.
func (s *script) declare(w scriptLine) {
	name := w.text("name", "")
	limits := api.ReplicaLimits{Min: int(w.number("min", 0)), Max: int(w.number("max", 1))}
	memory, concurrent := int64(w.number("memory", 0)), int(w.number("concurrent", 0))
	meta := api.Metadata{Name: name}
	switch w.name {
	case "model":
		s.snapshot.Models[name] = &api.Model{Metadata: meta, Spec: api.ModelSpec{
			Version: w.text("version", "v1"), MemoryMiB: memory, Replicas: limits, MaxConcurrent: concurrent,
		}}
	case "adapter":
		s.snapshot.Adapters[name] = &api.Adapter{Metadata: meta, Spec: api.AdapterSpec{
			Base: w.text("base", ""), Version: w.text("version", "v1"), MemoryMiB: memory, Replicas: limits,
		}}
	case "service":
		s.snapshot.Services[name] = &api.Service{Metadata: meta, Spec: api.ServiceSpec{MaxConcurrent: concurrent}}
	case "account":
		s.snapshot.ClientAccounts[name] = &api.ClientAccount{Metadata: meta, Spec: api.ClientAccountSpec{Weight: int(w.number("weight", 1))}}
	}
}

// configure puts the declared resources into force.
func (s *script) configure() {
	s.snapshot.Revision++
	inForce := *s.snapshot
	s.step(core.ConfigInForce{Snapshot: &inForce})
}

// grantOf returns a Grant that answers the newest report unless seq is given.
// Its items are "model/index@generation[,releasing][,adapters=MAX][,epoch=N]",
// where MAX defaults to the replica limit of the model.
func (s *script) grantOf(w scriptLine) core.Grant {
	g := core.Grant{
		Sequence:    w.number("seq", s.sequence),
		Incarnation: core.Incarnation(w.number("inc", 7)),
		Tenure:      w.duration("tenure", time.Minute),
	}
	for _, item := range w.items {
		f := w.parseItem(item)
		slot := core.Slot{ID: slotOf(f.name), Owner: "h1", Incarnation: 7, Generation: f.number("@", 0), State: core.SlotOwned}
		slot.AdapterMax = uint16(f.number("adapters", s.limitOf(slot.ID.Model)))
		slot.AdapterEpoch = f.number("epoch", 0)
		if f.has("releasing") {
			slot.State = core.SlotReleasing
		}
		g.Slots = append(g.Slots, slot)
	}
	return g
}

func (s *script) limitOf(model string) uint64 {
	if m := s.snapshot.Models[model]; m != nil {
		return uint64(m.Spec.Replicas.Max)
	}
	return 0
}

// inventoryOf returns an inventory with items
// "name@version,memory=N,fence=N[,base=KEY][,busy]", where the version of the
// base is v1, and with the role of the engine if it is given.
func inventoryOf(w scriptLine) core.Inventory {
	inv := core.Inventory{Code: code.Code(w.number("code", 0)), MemoryMiB: 4000}
	inv.Role = map[string]core.EngineRole{"serving": core.EngineServing, "draining": core.EngineDraining}[w.text("role", "")]
	inv.RoleFence = w.number("rolefence", 0)
	for _, item := range w.items {
		f := w.parseItem(item)
		li := core.LoadedItem{
			Key: keyOf(f.name, f.text("@", "")), MemoryMiB: int64(f.number("memory", 0)),
			Fence: f.number("fence", 0), Busy: f.has("busy"),
		}
		if f.has("base") {
			li.Base = keyOf(f.text("base", ""), "v1")
		}
		inv.Items = append(inv.Items, li)
	}
	return inv
}

func startOf(w scriptLine, a core.AttemptID) core.Start {
	slot := slotOf(w.text("slot", "small/0"))
	m := core.Start{
		Attempt: a, Slot: slot, Generation: 1, ClientAccount: w.text("account", "c"),
		Target:   core.Target{Model: slot.Model, Adapter: w.text("adapter", "")},
		Priority: api.Priority(w.text("priority", "interactive")),
		Key:      w.text("key", ""), Body: []byte(w.text("body", "x")),
		Remaining: w.duration("remaining", 30*time.Second),
		Window:    uint32(w.number("window", 8)), Idempotent: w.has("idem"),
	}
	if w.has("service") {
		m.Target, m.Slot = core.Target{Service: "akte"}, core.SlotID{}
	}
	return m
}
