package steward

import (
	"fmt"
	"testing"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
)

// A fleet starts: 120 agents register one by one, and the first of them gets
// all 120 models, each of one replica. Without rebalancing, later hosts stay empty
// while one engine serves all callers. The steward can't wait for hosts that are
// not listed yet.
//
// The bound: 16 moves are in flight at a time, each takes a plan that starts and
// one that ends it, and plans continue while the owners unload. So 120 slots that
// move at most once need ceil(120/16) times these plans.
func TestFleetStartIsRebalanced(t *testing.T) {
	const hosts, models = 120, 120
	const waves = (models + maxMovesInFlight - 1) / maxMovesInFlight
	const bound = waves * (2 + int(releaseTime/minWriteInterval))
	w := newFixture(testTimings(), 1)
	w.quiet = true
	w.configureMany("m", models)
	for i := range hosts {
		w.addAgent(core.HostID(fmt.Sprintf("a%03d", i)), core.Zone(fmt.Sprintf("z%d", i%2))).idle = true
		w.sendList()
		if i == 0 {
			w.run(4 * time.Second)
		}
		w.run(tick)
	}
	if got := w.largest(); got != models {
		t.Fatalf("the first host has %d slots: the test does not start from an uneven placement", got)
	}
	plans, most := w.runUntilStable()
	t.Logf("%d plans, bound %d; %d moves in flight at most; largest host %d", plans, bound, most, w.largest())
	if most > maxMovesInFlight || plans > bound || w.violation != "" {
		t.Errorf("%d plans, %d moves in flight; %s", plans, most, w.violation)
	}
	// One slot is 0.12 of a host, the margin 0.10: no host keeps more than one
	// slot more than the host with the lowest pressure.
	if got := w.largest(); got > 2 {
		t.Errorf("a host has %d slots of %d at %d hosts", got, models, hosts)
	}
	writes := w.tableWrites()
	w.run(2 * time.Minute)
	if extra := w.tableWrites() - writes; extra != 0 {
		t.Errorf("%d writes of slot tables at rest", extra)
	}
}

// runUntilStable runs until no table has changed for a while. It returns the number
// of plans from the first change to the last, and the most moves in flight.
func (w *fixture) runUntilStable() (plans, most int) {
	const still = 15 * time.Second
	part := w.entries[0].part
	changedAt, writes, planned := w.now, w.tableWrites(), part.plannedAt
	count, first := 0, -1
	for w.now.Sub(changedAt) < still {
		w.run(tick)
		if part.plannedAt != planned {
			count, planned = count+1, part.plannedAt
		}
		if now := w.tableWrites(); now != writes {
			changedAt, writes, plans = w.now, now, count
			if first < 0 {
				first = count
			}
		}
		most = max(most, w.releasing())
	}
	return plans - first + 1, most
}

func (w *fixture) releasing() int {
	count := 0
	for _, s := range w.last {
		if s.State == core.SlotReleasing {
			count++
		}
	}
	return count
}

func (w *fixture) largest() int {
	counts, most := map[core.HostID]int{}, 0
	for _, s := range w.last {
		counts[s.Owner]++
		most = max(most, counts[s.Owner])
	}
	return most
}

// tableWrites returns the sum of the revisions of the slot tables, which increases
// with each write of one.
func (w *fixture) tableWrites() int64 {
	var sum int64
	for _, c := range w.entries[0].part.chunks {
		sum += c.revision
	}
	return sum
}
