package examples

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"

	"nutmeglane.example/nutmeglane/internal/api"
)

const dir = "../../examples"

func TestGeneratedFilesAreCurrent(t *testing.T) {
	for _, name := range Names() {
		files, err := Generate(name)
		if err != nil {
			t.Fatal(err)
		}
		for _, file := range files {
			committed, err := os.ReadFile(filepath.Join(dir, name, file.Name))
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(string(file.Data), string(committed)); diff != "" {
				t.Errorf("%s/%s is out of date: run go generate ./internal/examples\n%s", name, file.Name, diff)
			}
		}
	}
}

func TestExamplesAreValid(t *testing.T) {
	for name, want := range map[string][5]int{
		"quickstart": {3, 4, 1, 2, 1}, "helvarin": {65, 75, 1, 3, 1}, "agence": {65, 75, 1, 3, 1},
	} {
		resources, err := api.ParseDir(filepath.Join(dir, name))
		if err != nil {
			t.Fatal(err)
		}
		snapshot, err := api.Build(1, resources)
		if err != nil {
			t.Fatal(err)
		}
		var got [5]int
		for i, kind := range api.Kinds() {
			got[i] = len(snapshot.Names(kind))
		}
		if got != want {
			t.Errorf("%s has %v resources by kind, want %v", name, got, want)
		}
	}
}
