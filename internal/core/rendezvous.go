package core

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Score is the rendezvous hashing (highest random weight) score of a key at a node.
// All processes compute the same score.
func Score(key, node string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(node)
	return d.Sum64()
}

// SlotChunk returns the number of the KV value that holds a model's slots.
func SlotChunk(model string) int {
	return int(xxhash.Sum64String(model) % SlotChunks)
}

// AdapterSlots returns the indexes of the base model's slots that may hold an
// adapter, in order of preference: those with the count highest rendezvous scores
// among max slots. max is Slot.AdapterMax, because the configured limit does not
// take effect in all processes at the same time. Adapter locations are derived from
// the base model's slots and the adapter's own limit, so that 42,000 adapters need
// no state in the KV service. The owner of a slot owns the adapters on it.
func AdapterSlots(adapter string, count, max int) []uint16 {
	type scored struct {
		index uint16
		score uint64
	}
	all := make([]scored, max)
	var node [2]byte
	for i := range all {
		binary.BigEndian.PutUint16(node[:], uint16(i))
		all[i] = scored{index: uint16(i), score: Score(adapter, string(node[:]))}
	}
	slices.SortFunc(all, func(a, b scored) int {
		switch {
		case a.score > b.score:
			return -1
		case a.score < b.score:
			return 1
		default:
			return int(a.index) - int(b.index)
		}
	})
	indexes := make([]uint16, 0, min(count, max))
	for _, s := range all[:min(count, max)] {
		indexes = append(indexes, s.index)
	}
	return indexes
}
