package config

import (
	"fmt"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"

	"nutmeglane.example/nutmeglane/internal/api"
	"nutmeglane.example/nutmeglane/internal/core"
)

// deltaFixture is a part and its snapshot builder, to which revisions are passed directly.
type deltaFixture struct {
	t         *testing.T
	part      *Part
	snapshots SnapshotBuilder
}

// adopt makes the part adopt a revision of the resources, after damage changed its chunks.
func (w *deltaFixture) adopt(revision int64, resources []api.Resource, damage func(chunks [][]byte)) core.ConfigApplied {
	var numbers []int
	for number := range chunkCount {
		numbers = append(numbers, number)
	}
	hashes := make([]string, chunkCount)
	byHash, err := encodeChunks(resources, numbers, hashes)
	if err != nil {
		w.t.Fatal(err)
	}
	chunks := make([][]byte, chunkCount)
	for number, hash := range hashes {
		chunks[number] = byHash[hash]
	}
	if damage != nil {
		damage(chunks)
	}
	for number, chunk := range chunks {
		hashes[number] = contentHash(chunk)
		w.part.chunks[hashes[number]] = chunk
	}
	w.part.out = nil
	w.part.adopt(core.ConfigHead{Revision: revision, Chunks: hashes})
	return w.part.out[0].(core.ConfigApplied)
}

// TestDifferenceBuildsOnConfirmedRevision checks that a difference builds on the
// newest revision that the process has confirmed, not on one that it rejected or
// has not confirmed yet. Changes are listed only if the base is in force.
func TestDifferenceBuildsOnConfirmedRevision(t *testing.T) {
	w := &deltaFixture{t: t, part: New(Config{})}
	model := func(memory string) []api.Resource { return []api.Resource{modelResource("m", memory, "")} }
	bases := "" // "?" marks revisions in which any resource may have changed
	for revision, step := range []struct {
		memory           string
		refused, confirm bool
	}{{"1", false, true}, {"0", true, false}, {"2", false, false}, {"3", false, true}, {"4", false, true}} {
		applied := w.adopt(int64(revision+1), model(step.memory), nil)
		bases += fmt.Sprintf("%d ", applied.Base)
		inForce, err := w.snapshots.Apply(applied)
		if (err != nil) != step.refused {
			t.Fatalf("revision %d: %v", applied.Revision, err)
		}
		if err == nil && fmt.Sprint(inForce.Snapshot.Models["m"].Spec.MemoryMiB) != step.memory {
			t.Errorf("revision %d has %+v", applied.Revision, inForce.Snapshot.Models["m"])
		}
		if err == nil && inForce.Changed == nil {
			bases += "? "
		}
		if step.confirm {
			w.part.Step(0, inForce)
		}
	}
	if want := "0 ? 1 1 1 ? 4 "; bases != want {
		t.Errorf("bases %q, wanted %q", bases, want)
	}
	w.adopt(6, model("5"), nil)
	w.part.Step(0, core.ConfigInForce{Snapshot: &api.Snapshot{Revision: 7}})
	if applied := w.adopt(8, model("6"), nil); applied.Base != 0 {
		t.Errorf("based on %d after a revision with unknown chunks came into force", applied.Base)
	}
	if _, err := w.snapshots.Apply(core.ConfigApplied{Revision: 9, Base: 8, Document: []byte("[]")}); !errors.Is(err, ErrNoBase) {
		t.Errorf("unknown base: %v", err)
	}
}

// TestWholeConfigurationResetsBase checks that after a change of most chunks,
// which is handed over whole, no difference builds on an earlier revision.
func TestWholeConfigurationResetsBase(t *testing.T) {
	w := &deltaFixture{t: t, part: New(Config{})}
	models := func(memory string) (all []api.Resource) {
		for i := range 4 * chunkCount {
			all = append(all, modelResource(fmt.Sprint("m", i), memory, ""))
		}
		return all
	}
	last := models("1") // similar to the first, which is in force
	last[0] = modelResource("m0", "3", "")
	for i, resources := range [][]api.Resource{models("1"), models("2"), last} {
		applied := w.adopt(int64(i+1), resources, nil)
		inForce, err := w.snapshots.Apply(applied)
		if err != nil || applied.Base != 0 {
			t.Fatalf("revision %d on %d: %v", applied.Revision, applied.Base, err)
		}
		if i == 0 {
			w.part.Step(0, inForce)
		}
	}
}

// TestFaultyChunksPatchedAsBuiltWhole checks that chunks of a form that no process
// of this release writes are rejected or accepted by a patch exactly as when the
// configuration is built whole.
func TestFaultyChunksPatchedAsBuiltWhole(t *testing.T) {
	m, n := modelResource("m", "1", ""), modelResource("n", "2", "")
	encode := func(resources ...api.Resource) []byte {
		document, err := api.EncodeDocument(resources)
		if err != nil {
			t.Fatal(err)
		}
		return document
	}
	home, other := chunkOf(m.Key()), (chunkOf(m.Key())+1)%chunkCount
	changed := modelResource("m", "3", "")
	for name, damage := range map[string]func([][]byte){
		"same line twice":       func(c [][]byte) { c[home] = encode(m, m) },
		"two lines of a key":    func(c [][]byte) { c[home] = encode(m, changed) },
		"also in another chunk": func(c [][]byte) { c[other] = encode(changed) },
		"in another chunk":      func(c [][]byte) { c[home], c[other] = encode(), encode(changed) },
		"of another form":       func(c [][]byte) { c[home] = append([]byte("[ "), c[home][1:]...) },
		"not readable":          func(c [][]byte) { c[home] = []byte("[{]") },
	} {
		w := &deltaFixture{t: t, part: New(Config{})}
		inForce, err := w.snapshots.Apply(w.adopt(1, []api.Resource{m}, nil))
		if err != nil {
			t.Fatal(err)
		}
		w.part.Step(0, inForce)
		applied := w.adopt(2, []api.Resource{m, n}, damage)
		resources, wholeErr := api.DecodeDocument(assemble(w.part.newest.Chunks, w.part.chunks))
		if wholeErr == nil {
			_, wholeErr = api.Build(2, resources)
		}
		patched, err := w.snapshots.Apply(applied)
		if (err == nil) != (wholeErr == nil) {
			t.Errorf("%s: patched: %v; whole: %v", name, err, wholeErr)
		}
		if err == nil && !cmp.Equal(w.part.buildNewest(2), patched.Snapshot) {
			t.Errorf("%s: the patched configuration differs from the one built whole", name)
		}
	}
}
