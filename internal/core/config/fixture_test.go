package config

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"nutmeglane.example/nutmeglane/internal/api"
	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
)

// delivery is an event that waits to be delivered to a node.
type delivery struct {
	node  core.HostID
	event core.Event
}

// node is a process: the part, and a snapshot builder for the assembled revisions.
type node struct {
	part      *Part
	snapshots SnapshotBuilder
	kv        bool
	// corrupts is set if every chunk that the node sends arrives damaged.
	corrupts bool
	// mute is set if all messages of the node except announcements are lost.
	mute     bool
	snapshot *api.Snapshot
	reads    int
}

type kvEntry struct {
	value    []byte
	revision int64
}

// fakeKV is a KV service with compare-and-swap and injected faults.
type fakeKV struct {
	entries  map[string]kvEntry
	revision int64
	down     bool
	// downAfter is the number of writes until the service goes down; -1 is never.
	downAfter int
	// loseHead drops the answer to the next write of the head, which takes
	// effect only with headTakesEffect. With lostThenDown an outage follows.
	loseHead, headTakesEffect, lostThenDown bool
	// late is a lost write that may still be delivered.
	late *core.KVCas
}

// fixture is a set of nodes, their connections and one KV service. Events are
// delivered in the order in which they were posted.
type fixture struct {
	now   core.Time
	nodes map[core.HostID]*node
	links map[[2]core.HostID]bool
	kv    fakeKV
	queue []delivery
	trace bool
	log   strings.Builder
	// answers holds the result of each change by its ID.
	answers map[uint64]code.Code
	// patched counts the configurations that were built from a difference.
	patched int
}

func newFixture() *fixture {
	return &fixture{
		nodes: map[core.HostID]*node{}, links: map[[2]core.HostID]bool{},
		kv: fakeKV{entries: map[string]kvEntry{}, downAfter: -1}, answers: map[uint64]code.Code{},
	}
}

func (w *fixture) logf(format string, args ...any) { fmt.Fprintf(&w.log, format+"\n", args...) }

func (w *fixture) post(to core.HostID, event core.Event) {
	w.queue = append(w.queue, delivery{to, event})
}

// start starts a new process on a host, without the state of an earlier one.
func (w *fixture) start(host core.HostID, kv bool) {
	incarnation := core.Incarnation(len(w.nodes) + 1)
	w.nodes[host] = &node{part: New(Config{KV: kv, Incarnation: incarnation}), kv: kv}
	if head, ok := w.kv.entries[core.KeyConfigHead]; ok && kv && !w.kv.down {
		w.post(host, core.KVValue{Key: core.KeyConfigHead, Value: head.value, Revision: head.revision})
	}
}

func (w *fixture) connect(a, b core.HostID, up bool) {
	w.links[[2]core.HostID{a, b}], w.links[[2]core.HostID{b, a}] = up, up
	for _, pair := range [][2]core.HostID{{a, b}, {b, a}} {
		if up {
			w.post(pair[0], core.PeerUp{Peer: pair[1]})
		} else {
			w.post(pair[0], core.PeerDown{Peer: pair[1]})
		}
	}
}

// run delivers all events, including those that they cause.
func (w *fixture) run() {
	for len(w.queue) > 0 {
		next := w.queue[0]
		w.queue = w.queue[1:]
		w.step(next.node, next.event)
	}
}

// advance moves the clock forward and sends each node a tick whenever one is due.
func (w *fixture) advance(d time.Duration) {
	end := w.now.Add(d)
	for {
		w.run()
		due := core.Never
		for _, host := range core.SortedKeys(w.nodes) {
			due = min(due, w.nodes[host].part.Next())
		}
		if due > end {
			w.now = end
			return
		}
		w.now = max(w.now, due)
		for _, host := range core.SortedKeys(w.nodes) {
			if w.nodes[host].part.Next() <= w.now {
				w.post(host, core.Tick{})
			}
		}
	}
}

func (w *fixture) step(host core.HostID, event core.Event) {
	if asked, ok := event.(core.ApplyRequested); ok {
		comparePlans(w.nodes[host].part, asked)
	}
	for _, effect := range w.nodes[host].part.Step(w.now, event) {
		w.perform(host, effect)
	}
}

// comparePlans checks that a plan made on some chunks equals the one made on all.
func comparePlans(p *Part, asked core.ApplyRequested) {
	if !p.newestInForce() {
		return
	}
	var all []int
	for number := range chunkCount {
		all = append(all, number)
	}
	change := decodeRequest(asked)
	var plans [2]plan
	for i, numbers := range [][]int{p.touched(change), all} {
		current, err := p.decodeChunks(numbers)
		if err != nil {
			panic(err)
		}
		plans[i] = makePlan(current, change, p.newest.Revision+1, p.checkFor(numbers))
	}
	some, whole := plans[0], plans[1]
	if some.code != whole.code || !cmp.Equal(some.problems, whole.problems) || !cmp.Equal(some.changes, whole.changes) {
		panic(fmt.Sprintf("plan on some chunks %+v, on all %+v", some, whole))
	}
}

func (w *fixture) perform(host core.HostID, effect core.Effect) {
	n := w.nodes[host]
	switch e := effect.(type) {
	case core.Send:
		w.send(host, e)
	case core.KVGet:
		n.reads++
		w.post(host, w.kv.get(e))
	case core.KVCas:
		w.post(host, w.cas(e))
	case core.ConfigApplied:
		w.putInForce(host, e)
	case core.ApplyDone:
		w.answered(host, e)
	}
}

func (w *fixture) answered(host core.HostID, done core.ApplyDone) {
	if _, twice := w.answers[done.ID]; twice {
		panic("a change was answered twice")
	}
	w.answers[done.ID] = done.Code
	line := fmt.Sprintf("%s: apply %d: code %d, revision %d", host, done.ID, done.Code, done.Revision)
	for _, c := range done.Changes {
		line += fmt.Sprintf("; %s %s", c.Key.Name, c.Action)
	}
	w.logf("%s", line)
	for _, p := range done.Problems {
		w.logf("  %s", p)
	}
}

// putInForce acts as the process around the part. It checks that no revision
// reverts, and that the snapshot equals the one built from scratch from the
// revision's chunks.
func (w *fixture) putInForce(host core.HostID, applied core.ConfigApplied) {
	n := w.nodes[host]
	inForce, err := n.snapshots.Apply(applied)
	if err != nil {
		panic(err)
	}
	old := n.snapshot
	if old != nil && old.Revision >= applied.Revision {
		panic(fmt.Sprintf("%s reverts from %d to %d", host, old.Revision, applied.Revision))
	}
	whole := n.part.buildNewest(applied.Revision)
	if diff := cmp.Diff(whole, inForce.Snapshot); diff != "" {
		panic(fmt.Sprintf("%s at %d on %d: %s", host, applied.Revision, applied.Base, diff))
	}
	if unlisted := unlistedChange(old, whole, inForce.Changed); inForce.Changed != nil && unlisted != nil {
		panic(fmt.Sprintf("%s at %d: %v differs and is not listed", host, applied.Revision, unlisted))
	}
	if applied.Base != 0 {
		w.patched++
	}
	n.snapshot = inForce.Snapshot
	w.post(host, inForce)
}

// buildNewest builds the part's newest revision from scratch.
func (p *Part) buildNewest(revision int64) *api.Snapshot {
	resources, err := api.DecodeDocument(assemble(p.newest.Chunks, p.chunks))
	if err != nil {
		panic(err)
	}
	snapshot, err := api.Build(revision, resources)
	if err != nil {
		panic(err)
	}
	return snapshot
}

// unlistedChange returns the key of a resource that differs between two snapshots
// and is not among the changed keys, or nil.
func unlistedChange(before, after *api.Snapshot, changed []api.Key) *api.Key {
	if before == nil {
		return nil
	}
	for _, kind := range api.Kinds() {
		for _, name := range append(before.Names(kind), after.Names(kind)...) {
			key := api.Key{Kind: kind, Name: name}
			old, _ := before.Resource(key)
			now, _ := after.Resource(key)
			if !cmp.Equal(old, now, cmpopts.IgnoreUnexported(api.Resource{})) && !slices.Contains(changed, key) {
				return &key
			}
		}
	}
	return nil
}

func (w *fixture) send(from core.HostID, s core.Send) {
	if !w.links[[2]core.HostID{from, s.To}] {
		return
	}
	if w.trace {
		w.logf("%s -> %s %s", from, s.To, describe(s.Message))
	}
	if head, ok := s.Message.(core.ConfigHead); w.nodes[from].mute && (!ok || len(head.Chunks) > 0) {
		return
	}
	if chunk, ok := s.Message.(core.ConfigChunk); ok && w.nodes[from].corrupts {
		chunk.Data = damaged(chunk.Data)
		s.Message = chunk
	}
	w.post(s.To, core.Received{From: from, Message: s.Message})
}

func describe(m core.Message) string {
	switch m := m.(type) {
	case core.ConfigHead:
		return fmt.Sprintf("head %d, %d hashes", m.Revision, len(m.Chunks))
	case core.ConfigWant:
		return fmt.Sprintf("want %d chunks", len(m.Chunks))
	default:
		return "chunk"
	}
}

func damaged(data []byte) []byte {
	data = slices.Clone(data)
	data[len(data)/2] ^= 0xff
	return data
}

func (kv *fakeKV) get(e core.KVGet) core.KVResult {
	if kv.down {
		return core.KVResult{Tag: e.Tag, Code: code.KVUnavailable}
	}
	entry := kv.entries[e.Key]
	return core.KVResult{Tag: e.Tag, Key: e.Key, Value: entry.value, Revision: entry.revision}
}

func (w *fixture) cas(e core.KVCas) core.KVResult {
	kv := &w.kv
	if kv.downAfter == 0 {
		kv.down, kv.downAfter = true, -1
	}
	if kv.down {
		return core.KVResult{Tag: e.Tag, Code: code.KVUnavailable}
	}
	kv.downAfter = max(kv.downAfter-1, -1)
	lost := kv.loseHead && e.Key == core.KeyConfigHead
	if entry := kv.entries[e.Key]; entry.revision != e.Revision {
		return core.KVResult{Tag: e.Tag, Code: code.KVConflict, Key: e.Key, Value: entry.value, Revision: entry.revision}
	}
	if !lost || kv.headTakesEffect {
		w.write(e.Key, e.Value)
	}
	if lost {
		if !kv.headTakesEffect {
			kv.late = &e
		}
		kv.loseHead, kv.down = false, kv.lostThenDown
		return core.KVResult{Tag: e.Tag, Code: code.KVUnknown}
	}
	return core.KVResult{Tag: e.Tag, Key: e.Key, Revision: kv.revision}
}

// write stores a value and publishes the head to its watchers.
func (w *fixture) write(key string, value []byte) {
	w.kv.revision++
	w.kv.entries[key] = kvEntry{value, w.kv.revision}
	if key == core.KeyConfigHead && !w.kv.lostThenDown {
		w.publishHead()
	}
}

// kvUp ends all faults of the KV service.
func (w *fixture) kvUp() {
	w.kv.down, w.kv.loseHead, w.kv.lostThenDown, w.kv.downAfter = false, false, false, -1
	for _, host := range core.SortedKeys(w.nodes) {
		if w.nodes[host].kv {
			w.post(host, core.KVReachable{Up: true})
		}
	}
	w.publishHead()
}

// deliverLateWrite delivers a lost write of the head after all.
func (w *fixture) deliverLateWrite() {
	if late := w.kv.late; late != nil && w.kv.entries[late.Key].revision == late.Revision {
		w.write(late.Key, late.Value)
	}
	w.kv.late = nil
}

func (w *fixture) publishHead() {
	head := w.kv.entries[core.KeyConfigHead]
	for _, host := range core.SortedKeys(w.nodes) {
		if w.nodes[host].kv {
			w.post(host, core.KVValue{Key: core.KeyConfigHead, Value: head.value, Revision: head.revision})
		}
	}
}
