package api

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// TestPatchEqualsBuild applies random valid and invalid patches to a snapshot and
// compares each result with that of Build from all resources: the snapshot or the
// problems must be the same. The patched snapshot must not be modified.
func TestPatchEqualsBuild(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		declared := map[Key]Resource{}
		inForce, err := Build(1, nil)
		if err != nil {
			t.Fatal(err)
		}
		for revision := range int64(rapid.IntRange(1, 20).Draw(t, "changes")) {
			put, deleted := randomPatch(t, declared)
			next := maps.Clone(declared)
			for _, key := range deleted {
				delete(next, key)
			}
			for _, r := range put {
				next[r.Key()] = r
			}
			all := slices.SortedFunc(maps.Values(next), func(a, b Resource) int { return a.Key().Compare(b.Key()) })
			want, wantErr := Build(revision+2, all)
			got, gotErr := inForce.Patch(revision+2, put, deleted)
			if diff := cmp.Diff(fmt.Sprint(wantErr), fmt.Sprint(gotErr)); diff != "" {
				t.Fatal(diff)
			}
			if diff := cmp.Diff(want, got); diff != "" {
				t.Fatal(diff)
			}
			if diff := cmp.Diff(mustBuild(t, inForce.Revision, declared), inForce); diff != "" {
				t.Fatalf("Patch modified its receiver: %s", diff)
			}
			if gotErr == nil {
				declared, inForce = next, got
			}
			if inForce.Size() != len(declared) {
				t.Fatalf("size %d, declared %d", inForce.Size(), len(declared))
			}
		}
	})
}

func mustBuild(t *rapid.T, revision int64, declared map[Key]Resource) *Snapshot {
	s, err := Build(revision, slices.Collect(maps.Values(declared)))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// randomPatch draws from few names, so that changes often concern the same resource.
func randomPatch(t *rapid.T, declared map[Key]Resource) (put []Resource, deleted []Key) {
	named := map[Key]bool{}
	for range rapid.IntRange(1, 4).Draw(t, "resources") {
		r := randomResource(t)
		key := r.Key()
		if named[key] {
			continue
		}
		named[key] = true
		if _, exists := declared[key]; exists && rapid.IntRange(0, 3).Draw(t, "delete") == 0 {
			deleted = append(deleted, key)
		} else {
			put = append(put, r)
		}
	}
	return put, deleted
}

func randomResource(t *rapid.T) Resource {
	name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")
	number := rapid.IntRange(1, 2).Draw(t, "number")
	priority := rapid.SampledFrom([]Priority{"", PriorityInteractive, PriorityBatch}).Draw(t, "priority")
	r := Resource{APIVersion: Version, Kind: rapid.SampledFrom(Kinds()).Draw(t, "kind"), Metadata: Metadata{Name: name}}
	switch r.Kind {
	case KindModel:
		r.Spec = &ModelSpec{Version: "1", MemoryMiB: int64(number), CheckpointMiB: 1, MaxConcurrent: 1,
			Replicas: ReplicaLimits{Max: number}, Priority: priority}
	case KindAdapter:
		r.Metadata.Name = rapid.SampledFrom([]string{"a", "x", "y", "z"}).Draw(t, "adapter")
		r.Spec = &AdapterSpec{Base: name, Version: "1", MemoryMiB: 1, Replicas: ReplicaLimits{Max: number}, Priority: priority}
	case KindService:
		r.Spec = &ServiceSpec{IdempotentMethods: []string{"GET"}, MaxConcurrent: number}
	case KindClientAccount:
		r.Spec = &ClientAccountSpec{APIKeySHA256: []string{strings.Repeat(fmt.Sprint(number), 64)}, Weight: number}
	case KindDeployment:
		r.Metadata.Name = DeploymentName
		r.Spec = &DeploymentSpec{ColdStartPrice: float64(number)}
	}
	return r
}
