package harness_test

import (
	"cmp"
	"fmt"
	"testing"
	"time"

	gocmp "github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"nutmeglane.example/nutmeglane/internal/api"
	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
)

// sent is a request of a fault-free history.
type sent struct {
	at     time.Duration
	target core.Target
	tokens uint64
	key    string
	// entry is the number of the entry that gets it.
	entry int
}

// answer is what the caller of a request gets, and how often a call runs.
type answer struct {
	Result code.Code
	Tokens uint64
	Runs   int
}

// naive is the whole system as one process that loads each model on the first
// host with room, unloads the least recently used ones for it, runs one
// request after the other and remembers every key.
type referenceSystem struct {
	hosts  []map[string]int64
	recent []string
	keys   map[string]bool
	known  map[string]int64
}

func (n *referenceSystem) serve(s sent) answer {
	name, memory := nameOfTarget(s.target), int64(0)
	if s.target.Service == "" {
		known := false
		if memory, known = n.known[name]; !known {
			return answer{Result: code.UnknownModel}
		}
		n.load(name, memory)
	}
	a := answer{Tokens: s.tokens, Runs: 1}
	if s.key != "" && n.keys[s.key] {
		a.Runs = 0 // the answer of the first run is given again
	}
	n.keys[s.key] = true
	return a
}

func (n *referenceSystem) load(name string, memory int64) {
	for _, host := range n.hosts {
		if host[name] > 0 {
			return
		}
	}
	for {
		for _, host := range n.hosts {
			used := memory
			for _, m := range host {
				used += m
			}
			if used <= engineMiB {
				host[name] = memory
				n.recent = append(n.recent, name)
				return
			}
		}
		for _, host := range n.hosts {
			delete(host, n.recent[0])
		}
		n.recent = n.recent[1:]
	}
}

func nameOfTarget(t core.Target) string { return cmp.Or(t.Adapter, t.Model, t.Service) }

func newReferenceSystem() *referenceSystem {
	n := &referenceSystem{keys: map[string]bool{}, known: map[string]int64{}}
	for range 4 {
		n.hosts = append(n.hosts, map[string]int64{})
	}
	for _, r := range models() {
		switch spec := r.Spec.(type) {
		case *api.ModelSpec:
			n.known[r.Metadata.Name] = spec.MemoryMiB
		case *api.AdapterSpec:
			n.known[r.Metadata.Name] = spec.MemoryMiB
		}
	}
	return n
}

// Without faults and with time enough, placement, single-flight, admission and
// routing over many processes must not show: the same requests are served,
// with the same answers, and each key runs once, as by one naive process.
func TestMatchesReferenceSystem(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		requests := drawRequests(rt)
		f := newFleet(rt, 1, core.DefaultTimings())
		n := newReferenceSystem()
		var want, got []answer
		var outcomes []func() answer
		for i, s := range requests {
			f.RunFor(s.at)
			want = append(want, n.serve(s))
			o := f.Request(entryID(s.entry), core.RequestArrived{
				ClientAccount: "c", Target: s.target, Timeout: 10 * time.Minute, Key: s.key,
				Idempotent: i%2 == 0, Method: "POST", Path: "/x",
			}, s.tokens)
			outcomes = append(outcomes, func() answer { return answer{o.Code, o.Tokens, f.Checker.Runs(o.ID)} })
		}
		f.RunFor(11 * time.Minute)
		for _, outcome := range outcomes {
			got = append(got, outcome())
		}
		if diff := gocmp.Diff(sumRuns(requests, want), sumRuns(requests, got)); diff != "" {
			rt.Fatalf("naive (-) and fleet (+) differ:\n%s", diff)
		}
		f.finish()
	})
}

// sumRuns counts the runs of all requests with one key at the first of them:
// which of them ran is not the caller's business.
func sumRuns(requests []sent, answers []answer) []answer {
	first := map[string]int{}
	for i, s := range requests {
		at, seen := first[s.key]
		switch {
		case s.key == "":
		case !seen:
			first[s.key] = i
		default:
			answers[at].Runs += answers[i].Runs
			answers[i].Runs = 0
		}
	}
	return answers
}

func drawRequests(rt *rapid.T) []sent {
	all := make([]sent, rapid.IntRange(1, 40).Draw(rt, "requests"))
	for i := range all {
		target := rapid.IntRange(0, len(targets)).Draw(rt, "target")
		s := sent{
			at:     time.Duration(rapid.Int64Range(0, 20_000).Draw(rt, "pause")) * time.Millisecond,
			tokens: rapid.Uint64Range(0, 60).Draw(rt, "tokens"),
			entry:  rapid.IntRange(0, 1).Draw(rt, "entry"),
			target: modelTarget("unknown"),
		}
		if target < len(targets) {
			s.target = targets[target]
			if rapid.IntRange(0, 3).Draw(rt, "keyed") == 0 {
				s.key, s.tokens = fmt.Sprintf("%d-%d", target, rapid.IntRange(0, 2).Draw(rt, "key")), 9
			}
		}
		all[i] = s
	}
	return all
}
