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

// sent is a request of a history without faults.
type sent struct {
	at     time.Duration
	target core.Target
	tokens uint64
	key    string
	// entry is the index of the entry that receives the request.
	entry int
}

// answer is the result of a request and its number of runs.
type answer struct {
	Result code.Code
	Tokens uint64
	Runs   int
}

// referenceSystem is a simple model of the whole system as a single process. It
// loads each model on the first host with enough memory, unloads the models that
// were loaded first to free memory, runs requests one at a time and stores every
// idempotency key.
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
		a.Runs = 0 // the answer of the first run is returned again
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

// Guards against differences between the fleet and the reference system. Without
// faults and with sufficient timeouts, placement, single-flight, admission and
// routing over many processes must not change any result: the same requests are
// served with the same answers, and each idempotency key runs once.
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
			rt.Fatalf("reference system (-) and fleet (+) differ:\n%s", diff)
		}
		f.finish()
	})
}

// sumRuns adds the runs of all requests with the same key to the first of them,
// because any one of them may run.
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
