package steward

import (
	"testing"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
)

// guardFixture returns a fixture with a steward and one agent that owns m/0. change
// rewrites a KV value as another steward would.
func guardFixture(t *testing.T) (w *fixture, e *entry, change func(key string, value any)) {
	w = newFixture(testTimings(), 1)
	w.addAgent("a1", "z")
	w.sendList()
	w.configure(map[string]int{"m": 1})
	w.run(5 * time.Second)
	change = func(key string, value any) {
		data, err := core.EncodeValue(value)
		if err != nil {
			t.Fatal(err)
		}
		var r core.KVResult
		w.kv.cas(w.now, core.KVCas{Key: key, Value: data, Revision: w.kv.items[key].revision}, &r)
	}
	return w, w.entries[0], change
}

func (w *fixture) rosterEntry(t *testing.T) core.RosterEntry {
	var r core.Roster
	if err := core.DecodeValue(w.kv.items[core.KeyRosterPrefix+"z"].value, &r); err != nil || len(r.Entries) != 1 {
		t.Fatalf("roster: %v, %v", r, err)
	}
	return r.Entries[0]
}

// A steward holds reports of a process that was replaced after its connection
// went silent, and another steward recorded the new process. The old report must
// not restore the dead process, or the live one would lose its slots.
func TestDeadIncarnationIsNotRestored(t *testing.T) {
	w, e, change := guardFixture(t)
	a := w.agents["a1"]
	a.cut = true // the process is gone; its last report is not handled yet
	entry := w.rosterEntry(t)
	entry.Incarnation, entry.Sequence = 999, 1
	change(core.KeyRosterPrefix+"z", core.Roster{Zone: "z", Entries: []core.RosterEntry{entry}})
	e.inbox = append(e.inbox, core.Received{From: "a1", Message: a.report(w.now)})
	w.run(5 * time.Second)
	if got := w.rosterEntry(t).Incarnation; got != 999 {
		t.Fatalf("incarnation %d replaced 999", got)
	}
	a.cut = false // a process that answers a new dial is the newest
	w.run(20 * time.Second)
	if got := w.rosterEntry(t).Incarnation; got != a.incarnation {
		t.Fatalf("incarnation %d, want that of the process that answered, %d", got, a.incarnation)
	}
}

// The watch shows a slot assigned to a new process before it shows the roster with
// that process. Compared with the old roster the slot seems to belong to a dead
// process and would be taken from the live one.
func TestOldRosterDoesNotTakeOver(t *testing.T) {
	w, e, change := guardFixture(t)
	w.agents["a1"].cut = true
	entry := w.rosterEntry(t)
	entry.Incarnation, entry.Sequence = 999, 1
	e.lagging = true
	change(core.KeyRosterPrefix+"z", core.Roster{Zone: "z", Entries: []core.RosterEntry{entry}})
	e.watch = nil // the roster's change is late
	slot := core.Slot{ID: core.SlotID{Model: "m"}, Owner: "a1", Incarnation: 999, Generation: 2, State: core.SlotOwned}
	key := w.entries[0].part.chunks[core.SlotChunk("m")].key
	change(key, core.SlotTable{Slots: []core.Slot{slot}})
	e.lagging = false
	w.run(10 * time.Second)
	var table core.SlotTable
	if err := core.DecodeValue(w.kv.items[key].value, &table); err != nil || len(table.Slots) != 1 || table.Slots[0] != slot {
		t.Fatalf("table %v, %v; want %v", table, err, slot)
	}
}

// A steward resumes with an old report while the roster holds a newer renewal.
// Writing the old Sequence would make a live agent look unrenewed, or an old
// renewal look new.
func TestSequenceNeverFalls(t *testing.T) {
	w, _, change := guardFixture(t)
	entry := w.rosterEntry(t)
	entry.Sequence += 100
	change(core.KeyRosterPrefix+"z", core.Roster{Zone: "z", Entries: []core.RosterEntry{entry}})
	w.run(5 * time.Second)
	if got := w.rosterEntry(t).Sequence; got < entry.Sequence {
		t.Fatalf("sequence fell from %d to %d", entry.Sequence, got)
	}
}

// A fenced agent reports again: its slots may be assigned elsewhere, so its
// entry must stay fenced until another process replaces it.
func TestFenceIsPermanent(t *testing.T) {
	w, _, change := guardFixture(t)
	entry := w.rosterEntry(t)
	entry.Fenced = true
	change(core.KeyRosterPrefix+"z", core.Roster{Zone: "z", Entries: []core.RosterEntry{entry}})
	w.run(5 * time.Second)
	if got := w.rosterEntry(t); !got.Fenced || got.Sequence != entry.Sequence {
		t.Fatalf("fenced entry became %+v", got)
	}
}

// The answer to a write of a slot table is lost. The table is read back: the view
// must be what the service holds, not what was sent.
func TestUnknownWriteIsReadBack(t *testing.T) {
	w, e, _ := guardFixture(t)
	w.kv.lose = 1
	e.lagging = true
	w.configure(map[string]int{"m": 0})
	w.run(5 * time.Second)
	c := e.part.chunks[core.SlotChunk("m")]
	if it := w.kv.items[c.key]; c.revision != it.revision {
		t.Fatalf("view at revision %d, service at %d", c.revision, it.revision)
	}
}

// A limit is changed twice in quick succession, or its slot gets another owner, and
// a report arrives that listed the slot as cleared before. Its owner may have loaded
// adapters since, so they must not be allowed over the new count; a report that
// lists the slot in its current state allows them.
func TestOutdatedClearedReportIsIgnored(t *testing.T) {
	w, e, change := guardFixture(t)
	a := w.agents["a1"]
	slot := core.Slot{
		ID: core.SlotID{Model: "m"}, Owner: "a1", Incarnation: a.incarnation,
		Generation: 7, State: core.SlotOwned, AdapterEpoch: 5,
	}
	a.cut = true // its own reports are lost
	change(e.part.chunks[core.SlotChunk("m")].key, core.SlotTable{Slots: []core.Slot{slot}})
	report := a.report(w.now)
	setReport := func(incarnation core.Incarnation, cleared core.Slot) {
		t.Helper()
		report.Sequence++
		report.Incarnation, report.Cleared = incarnation, []core.Slot{cleared}
		e.part.hosts["a1"].report = report
		w.run(2 * time.Second)
	}
	allowed := func() bool { return e.part.chunks[core.SlotChunk("m")].table.Slots[0].AdapterMax != 0 }
	epoch, generation := slot, slot
	epoch.AdapterEpoch--
	generation.Generation--
	for _, old := range []core.Slot{epoch, generation} {
		if setReport(a.incarnation, old); allowed() {
			t.Fatalf("%+v counted for %+v", old, slot)
		}
	}
	if setReport(a.incarnation-1, slot); allowed() {
		t.Fatal("the report of another process counted")
	}
	if setReport(a.incarnation, slot); !allowed() {
		t.Fatal("the owner's report did not count")
	}
}
