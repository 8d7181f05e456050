package harness

import (
	"strconv"
	"strings"
	"time"

	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
)

// KV is the fake KV service with fault injection.
type KV struct {
	world    *World
	values   map[string]record
	leases   map[int64]core.Time
	revision int64
	// Calls counts calls by operation.
	Calls map[string]int
	// BytesWritten is the total size of accepted values.
	BytesWritten int
	down         bool
	unreachable  map[core.HostID]bool
	loseAnswers  int
	watchers     []*Process
}

type record struct {
	value    []byte
	revision int64
	lease    int64
}

func newKV(w *World) *KV {
	return &KV{
		world: w, values: map[string]record{}, leases: map[int64]core.Time{},
		Calls: map[string]int{}, unreachable: map[core.HostID]bool{},
	}
}

// SetDown starts or ends an outage for all processes. Leases that ran out
// during the outage expire at its end.
func (k *KV) SetDown(down bool) {
	k.down = down
	for _, p := range k.watchers {
		p.post(core.KVReachable{Up: !down && !k.unreachable[p.Host.ID]})
	}
	if !down {
		k.expire()
		k.resendAll()
	}
}

// CutOff makes the KV service unreachable for one host, or reachable again.
func (k *KV) CutOff(host core.HostID, cut bool) {
	k.unreachable[host] = cut
	p := k.world.processes[host]
	p.post(core.KVReachable{Up: !cut && !k.down})
	if !cut {
		k.resend(p)
	}
}

// LoseAnswers loses the answers of the next n writes; accepted writes take
// effect.
func (k *KV) LoseAnswers(n int) { k.loseAnswers = n }

// Value returns the stored value of a key; tests use it.
func (k *KV) Value(key string) []byte { return k.values[key].value }

func (k *KV) attach(p *Process) {
	if p.Host.Role != core.RoleEntry {
		return
	}
	known := false
	for _, other := range k.watchers {
		known = known || other == p
	}
	if !known {
		k.watchers = append(k.watchers, p)
	}
	if k.down || k.unreachable[p.Host.ID] {
		p.post(core.KVReachable{Up: false})
		return
	}
	p.post(core.KVReachable{Up: true})
	k.resend(p)
}

// resend sends all current values to a watcher, and an empty steward key if
// there is no steward.
func (k *KV) resend(p *Process) {
	for _, key := range core.SortedKeys(k.values) {
		k.notify(p, key)
	}
	if _, ok := k.values[core.KeySteward]; !ok {
		k.notify(p, core.KeySteward)
	}
}

func (k *KV) resendAll() {
	for _, p := range k.watchers {
		k.resend(p)
	}
}

func (k *KV) notify(p *Process, key string) {
	if strings.HasPrefix(key, core.KeyChunkPrefix) {
		return
	}
	r, inc := k.values[key], p.Incarnation
	k.world.After(watchDelay, func() {
		if !k.down && !k.unreachable[p.Host.ID] {
			p.postTo(inc, core.KVValue{Key: key, Value: r.value, Revision: r.revision})
		}
	})
}

func (k *KV) set(key string, r record, present bool) {
	if present {
		k.values[key] = r
	} else {
		delete(k.values, key)
	}
	if chunk, ok := strings.CutPrefix(key, core.KeySlotsPrefix); ok {
		number, _ := strconv.Atoi(chunk)
		k.world.Checker.slotTableWritten(number, r.value)
	}
	for _, p := range k.watchers {
		k.notify(p, key)
	}
}

// call carries out a KV effect of a process.
func (k *KV) call(p *Process, effect core.Effect) {
	inc := p.Incarnation
	answer := func(after time.Duration, r core.KVResult) {
		k.world.After(after, func() { p.postTo(inc, r) })
	}
	if k.down || k.unreachable[p.Host.ID] {
		answer(kvTimeout, core.KVResult{Tag: tagOf(effect), Code: code.KVUnavailable})
		return
	}
	k.world.After(kvDelay/2, func() {
		if k.down {
			answer(kvTimeout, core.KVResult{Tag: tagOf(effect), Code: code.KVUnavailable})
			return
		}
		k.expire()
		result, write := k.apply(effect)
		if write && k.loseAnswers > 0 {
			k.loseAnswers--
			answer(kvTimeout, core.KVResult{Tag: result.Tag, Key: result.Key, Code: code.KVUnknown})
			return
		}
		answer(kvDelay/2, result)
	})
}

func tagOf(effect core.Effect) uint64 {
	switch e := effect.(type) {
	case core.KVGet:
		return e.Tag
	case core.KVCas:
		return e.Tag
	case core.KVLease:
		return e.Tag
	case core.KVKeepAlive:
		return e.Tag
	}
	return 0
}

func (k *KV) apply(effect core.Effect) (result core.KVResult, write bool) {
	switch e := effect.(type) {
	case core.KVGet:
		k.Calls["get"]++
		r := k.values[e.Key]
		return core.KVResult{Tag: e.Tag, Key: e.Key, Value: r.value, Revision: r.revision}, false
	case core.KVCas:
		k.Calls["cas"]++
		return k.cas(e), true
	case core.KVLease:
		k.Calls["lease"]++
		k.revision++
		k.grant(k.revision, e.TTL)
		return core.KVResult{Tag: e.Tag, Lease: k.revision}, false
	case core.KVKeepAlive:
		k.Calls["keepalive"]++
		return k.keepAlive(e), false
	}
	return core.KVResult{}, false
}

func (k *KV) cas(e core.KVCas) core.KVResult {
	current := k.values[e.Key]
	_, leased := k.leases[e.Lease]
	if current.revision != e.Revision || (e.Lease != 0 && !leased) {
		return core.KVResult{Tag: e.Tag, Code: code.KVConflict, Key: e.Key, Value: current.value, Revision: current.revision}
	}
	k.revision++
	k.BytesWritten += len(e.Value)
	k.set(e.Key, record{value: e.Value, revision: k.revision, lease: e.Lease}, true)
	return core.KVResult{Tag: e.Tag, Key: e.Key, Value: e.Value, Revision: k.revision}
}

// grant sets the expiry of a lease and stores its TTL, which a renewal needs.
func (k *KV) grant(lease int64, ttl time.Duration) {
	k.leases[lease] = k.world.now.Add(ttl)
	k.values[ttlKey(lease)] = record{revision: int64(ttl)}
	k.world.After(ttl, func() {
		if !k.down {
			k.expire()
		}
	})
}

func ttlKey(lease int64) string { return core.KeyChunkPrefix + "ttl/" + time.Duration(lease).String() }

func (k *KV) keepAlive(e core.KVKeepAlive) core.KVResult {
	if _, ok := k.leases[e.Lease]; !ok {
		return core.KVResult{Tag: e.Tag, Code: code.KVConflict}
	}
	k.grant(e.Lease, time.Duration(k.values[ttlKey(e.Lease)].revision))
	return core.KVResult{Tag: e.Tag, Lease: e.Lease}
}

// expire removes expired leases and the keys attached to them.
func (k *KV) expire() {
	for _, lease := range core.SortedKeys(k.leases) {
		if k.leases[lease] > k.world.now {
			continue
		}
		delete(k.leases, lease)
		delete(k.values, ttlKey(lease))
		for _, key := range core.SortedKeys(k.values) {
			if k.values[key].lease == lease && lease != 0 {
				k.set(key, record{}, false)
			}
		}
	}
}
