package placement

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"nutmeglane.example/nutmeglane/internal/api"
	"nutmeglane.example/nutmeglane/internal/core"
)

func hostsIn(zones, perZone int) []Host {
	var hosts []Host
	for z := range zones {
		for i := range perZone {
			hosts = append(hosts, Host{
				ID: core.HostID(fmt.Sprintf("h%d-%d", z, i)), Zone: core.Zone(fmt.Sprintf("z%d", z)), MemoryMiB: 80_000,
			})
		}
	}
	return hosts
}

func slot(model string, index int, memory int64) Slot {
	return Slot{ID: core.SlotID{Model: model, Index: uint16(index)}, Key: model + "@v1", MemoryMiB: memory, Priority: api.PriorityInteractive}
}

func TestCachedHostIsPreferredUntilFull(t *testing.T) {
	hosts := hostsIn(1, 3)
	hosts[2].Cached = []core.CachedCheckpoint{{Key: "m@v1", Tier: core.TierDisk}}
	p := New(hosts)
	if host, _ := p.Place(slot("m", 0, 20_000)); host != "h0-2" {
		t.Errorf("placed at %s, not where the checkpoint is on disk", host)
	}
	p = New(hosts)
	for i := range 4 {
		p.Occupy(slot(fmt.Sprint("other", i), 0, 80_000), "h0-2")
	}
	if host, _ := p.Place(slot("m", 0, 20_000)); host != "h0-0" {
		t.Errorf("placed at %s, not on an empty host", host)
	}
}

func TestResidentSlotsFitTogether(t *testing.T) {
	p := New(hostsIn(1, 1))
	a, b := slot("a", 0, 50_000), slot("b", 0, 50_000)
	a.Resident, b.Resident = true, true
	if _, ok := p.Place(a); !ok {
		t.Error("the first resident slot found no host")
	}
	if host, ok := p.Place(b); ok {
		t.Errorf("the second resident slot was placed at %s, which exceeds its memory", host)
	}
}

// TestPlacementInvariants draws hosts and models: each slot fits its host, no host has
// two slots of a model, zones differ by at most one slot of a model while each has room,
// and the order of the hosts does not matter.
func TestPlacementInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones, perZone := rapid.IntRange(1, 4).Draw(t, "zones"), rapid.IntRange(1, 6).Draw(t, "hosts")
		hosts := hostsIn(zones, perZone)
		reversed := slices.Clone(hosts)
		slices.Reverse(reversed)
		a, b := New(hosts), New(reversed)
		for m := range rapid.IntRange(1, 8).Draw(t, "models") {
			counts := map[core.Zone]int{}
			used := map[core.HostID]bool{}
			for i := range rapid.IntRange(1, zones*perZone).Draw(t, "max") {
				s := slot(fmt.Sprint("m", m), i, 30_000)
				host, ok := a.Place(s)
				if again, _ := b.Place(s); !ok || again != host || used[host] {
					t.Fatalf("slot %v at %q, %q; found %v, used %v", s.ID, host, again, ok, used[host])
				}
				used[host] = true
				counts[a.nodes[host].host.Zone]++
			}
			for _, h := range hosts {
				for _, g := range hosts {
					if counts[h.Zone] > counts[g.Zone]+1 {
						t.Fatalf("zones uneven: %v", counts)
					}
				}
			}
		}
	})
}

// BenchmarkPlace places 6,200 slots on 3,125 empty hosts in eight zones.
func BenchmarkPlace(b *testing.B) {
	hosts := hostsIn(8, 391)[:3125]
	for i := range hosts {
		hosts[i].Cached = []core.CachedCheckpoint{{Key: fmt.Sprintf("m%d@v1", i%130), Tier: core.TierDisk}}
	}
	var slots []Slot
	for i := range 6200 {
		slots = append(slots, slot(fmt.Sprint("m", i%130), i/130, 20_000))
	}
	for b.Loop() {
		p := New(hosts)
		for _, s := range slots {
			if _, ok := p.Place(s); !ok {
				b.Fatal("no host")
			}
		}
	}
}
