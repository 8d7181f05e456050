package capacity

import (
	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
)

// countingKV simulates the KV service in virtual time and counts its calls.
// Calls never fail, and leases never expire.
type countingKV struct {
	values   map[string]core.KVValue
	revision int64
	counts   KVCounts
}

// KVCounts counts the KV calls of one entry and their effects on watches.
type KVCounts struct {
	Reads      int `json:"reads"`
	Writes     int `json:"writes"`
	KeepAlives int `json:"keep_alives"`
	// Changes is the number of accepted writes. Each is sent to a watch of
	// every entry.
	Changes int `json:"changes"`
	// WrittenBytes is the size of the values of accepted writes. Every watch
	// receives them too.
	WrittenBytes int `json:"written_bytes"`
}

func (c KVCounts) minus(d KVCounts) KVCounts {
	return KVCounts{
		Reads: c.Reads - d.Reads, Writes: c.Writes - d.Writes, KeepAlives: c.KeepAlives - d.KeepAlives,
		Changes: c.Changes - d.Changes, WrittenBytes: c.WrittenBytes - d.WrittenBytes,
	}
}

func newCountingKV() *countingKV { return &countingKV{values: map[string]core.KVValue{}} }

// do executes a KV effect and returns the resulting events. It ignores other
// effects and returns nil for them.
func (k *countingKV) do(effect core.Effect) []core.Event {
	switch e := effect.(type) {
	case core.KVGet:
		k.counts.Reads++
		v := k.values[e.Key]
		return []core.Event{core.KVResult{Tag: e.Tag, Key: e.Key, Value: v.Value, Revision: v.Revision}}
	case core.KVCas:
		return k.cas(e)
	case core.KVLease:
		k.counts.Writes++
		k.revision++
		return []core.Event{core.KVResult{Tag: e.Tag, Lease: k.revision}}
	case core.KVKeepAlive:
		k.counts.KeepAlives++
		return []core.Event{core.KVResult{Tag: e.Tag, Lease: e.Lease}}
	}
	return nil
}

func (k *countingKV) cas(e core.KVCas) []core.Event {
	k.counts.Writes++
	v := k.values[e.Key]
	if v.Revision != e.Revision {
		return []core.Event{core.KVResult{Tag: e.Tag, Code: code.KVConflict, Key: e.Key, Value: v.Value, Revision: v.Revision}}
	}
	k.revision++
	k.counts.Changes++
	k.counts.WrittenBytes += len(e.Value)
	v = core.KVValue{Key: e.Key, Value: e.Value, Revision: k.revision}
	k.values[e.Key] = v
	return []core.Event{core.KVResult{Tag: e.Tag, Key: e.Key, Value: v.Value, Revision: k.revision}, v}
}
