package api

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestSchemaFiles compares the files in docs/schema with the generated schemas.
func TestSchemaFiles(t *testing.T) {
	for _, kind := range Kinds() {
		want, err := Schema(kind)
		if err != nil {
			t.Fatal(err)
		}
		file := filepath.Join("../../docs/schema", strings.ToLower(string(kind))+".json")
		got, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(string(want), string(got)); diff != "" {
			t.Errorf("%s differs; run `nutmeglane schema --dir docs/schema` (-code +file):\n%s", file, diff)
		}
	}
}

// TestSchemaRules detects a rule for a field that does not exist, such as one that
// was renamed. Such a rule would be missing from the schema without an error.
func TestSchemaRules(t *testing.T) {
	for kind, byPath := range rules {
		document, err := Schema(kind)
		if err != nil {
			t.Fatal(err)
		}
		var root schema
		if err := json.Unmarshal(document, &root); err != nil {
			t.Fatal(err)
		}
		for path := range byPath {
			at := &root
			for part := range strings.SplitSeq(path, ".") {
				if at = at.Properties[part]; at == nil {
					t.Fatalf("%s: rule for %s, which is not a field", kind, path)
				}
			}
		}
	}
}
