package core

import (
	"cmp"
	"slices"
)

// SortedKeys returns the keys of a map in ascending order. Reducers have to use it
// to range over a map wherever the order can influence effects: Go's map order is
// random and would break replay.
func SortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
