package config

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
)

// TestApplyResultsMatchConfiguration has operators change models at two entries
// while the KV service fails, answers are lost and connections break. The
// fixture panics if any process reverts. At the end of each run the faults are
// over, and then:
//   - all processes have the same revision in force;
//   - every change answered with success is in force, every change answered
//     with "not applied" is not, and each change got exactly one answer.
//
// At each revision the configuration that was built from a difference is compared
// with the one built from scratch, and for each change the plan made on the
// chunks that it touches is compared with the one made on all chunks.
func TestApplyResultsMatchConfiguration(t *testing.T) {
	patched := 0
	rapid.Check(t, func(t *rapid.T) {
		w := newFixture()
		w.start("e1", true)
		w.start("e2", true)
		w.start("a1", false)
		changes := uint64(0)
		for range rapid.IntRange(1, 25).Draw(t, "steps") {
			changes += w.randomStep(t, changes)
		}
		w.deliverLateWrite()
		w.kvUp()
		w.connect("e1", "a1", true)
		w.connect("e2", "a1", true)
		w.advance(time.Minute)
		w.checkResults(t, changes)
		patched += w.patched
	})
	if patched == 0 {
		t.Error("no run built a configuration from a difference")
	}
}

// randomStep performs a random action and returns the number of changes that it posted.
func (w *fixture) randomStep(t *rapid.T, changes uint64) uint64 {
	host := rapid.SampledFrom([]core.HostID{"e1", "e2"}).Draw(t, "host")
	switch rapid.IntRange(0, 9).Draw(t, "step") {
	case 0, 1, 2:
		words := []string{fmt.Sprint(changes + 1), modelName(changes+1) + "=1"}
		w.post(host, changeOf(append(words, randomExtras(t)...)))
		return 1
	case 3:
		w.kv.loseHead = true
		w.kv.headTakesEffect = rapid.Bool().Draw(t, "taken")
		w.kv.lostThenDown = rapid.Bool().Draw(t, "down")
	case 4:
		w.kv.downAfter = rapid.IntRange(0, 4).Draw(t, "writes")
	case 5:
		w.kv.down, w.kv.lostThenDown = false, false
		w.publishHead()
	case 6:
		w.connect(host, "a1", rapid.Bool().Draw(t, "up"))
	case 7:
		w.advance(time.Duration(rapid.IntRange(1, 12000).Draw(t, "ms")) * time.Millisecond)
	case 8:
		for range min(len(w.queue), rapid.IntRange(1, 10).Draw(t, "deliveries")) {
			next := w.queue[0]
			w.queue = w.queue[1:]
			w.step(next.node, next.event)
		}
	case 9:
		w.deliverLateWrite()
	}
	return 0
}

// randomExtras returns arguments of changeOf that change other resources as well:
// adapters, and two base models whose priority they inherit. Some are rejected:
// an adapter without its base, the deletion of a base with adapters, a memory of 0.
func randomExtras(t *rapid.T) []string {
	var words []string
	model := rapid.SampledFrom([]string{"p", "q"}).Draw(t, "base")
	adapter := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "adapter")
	if rapid.Bool().Draw(t, "declare") {
		words = append(words, adapter+":"+model)
	}
	if rapid.Bool().Draw(t, "delete") {
		words = append(words, "-"+adapter+":")
	}
	if rapid.Bool().Draw(t, "touch") {
		words = append(words, rapid.SampledFrom([]string{model + "=1", model + "=2!", model + "=0", "-" + model}).Draw(t, "word"))
	}
	return words
}

// modelName returns the name of a model that only this change declares, which shows
// whether the change is in force.
func modelName(id uint64) string { return fmt.Sprintf("m%d", id) }

func (w *fixture) checkResults(t *rapid.T, changes uint64) {
	if uint64(len(w.answers)) != changes {
		t.Fatalf("%d answers to %d changes", len(w.answers), changes)
	}
	reference := w.nodes["e1"].snapshot
	for _, host := range core.SortedKeys(w.nodes) {
		if got := w.nodes[host].snapshot; reference != nil && (got == nil || got.Revision != reference.Revision) {
			t.Fatalf("%s has %+v in force, e1 revision %d", host, got, reference.Revision)
		}
	}
	for id, answer := range w.answers {
		applied := reference != nil && reference.Models[modelName(id)] != nil
		if answer != code.KVUnknown && applied != (answer == code.OK) {
			t.Errorf("change %d was answered with %d, applied: %v", id, answer, applied)
		}
	}
}
