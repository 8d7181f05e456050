package agent

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"

	"nutmeglane.example/nutmeglane/internal/api"
)

// TestUpdateMinAdaptersEqualsRebuild checks that after random changes of
// adapters the incrementally updated lists equal lists built from all adapters.
func TestUpdateMinAdaptersEqualsRebuild(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := &Part{snapshot: &api.Snapshot{}, minAdapters: map[string][]string{}}
		for range rapid.IntRange(1, 12).Draw(t, "changes") {
			before := p.snapshot
			next := &api.Snapshot{Adapters: map[string]*api.Adapter{}}
			changed := []api.Key{{Kind: api.KindModel, Name: "p"}}
			for i := range 6 {
				name := fmt.Sprint("a", i)
				next.Adapters[name] = before.Adapters[name]
				if rapid.Bool().Draw(t, "change") {
					next.Adapters[name] = randomAdapter(t)
					changed = append(changed, api.Key{Kind: api.KindAdapter, Name: name})
				}
				if next.Adapters[name] == nil {
					delete(next.Adapters, name)
				}
			}
			p.snapshot = next
			p.updateMinAdapters(before, changed)
			got := map[string][]string{}
			for base, names := range p.minAdapters {
				if len(names) > 0 {
					got[base] = names
				}
			}
			if diff := cmp.Diff(buildMinAdapters(next), got, cmpopts.EquateEmpty()); diff != "" {
				t.Fatal(diff)
			}
		}
	})
}

func randomAdapter(t *rapid.T) *api.Adapter {
	if rapid.IntRange(0, 3).Draw(t, "gone") == 0 {
		return nil
	}
	base := rapid.SampledFrom([]string{"p", "q"}).Draw(t, "base")
	limits := api.ReplicaLimits{Min: rapid.IntRange(0, 1).Draw(t, "min"), Max: 1}
	return &api.Adapter{Spec: api.AdapterSpec{Base: base, Replicas: limits}}
}
