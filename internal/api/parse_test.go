package api

import (
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"

	"nutmeglane.example/nutmeglane/internal/code"
)

const digest = "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855"

// declare returns a declaration of a kind with a spec.
func declare(kind, name, spec string) string {
	return `{"apiVersion": "nutmeglane/v1", "kind": "` + kind + `", "metadata": {"name": "` + name + `"}, "spec": ` + spec + "}"
}

// messages returns the lines of a declaration error except the first.
func messages(t *testing.T, err error) []string {
	t.Helper()
	var bad *DeclarationError
	if !errors.As(err, &bad) || bad.Code() != code.BadDeclaration {
		t.Fatalf("got error %v, want a *DeclarationError", err)
	}
	return strings.Split(bad.Error(), "\n")[1:]
}

// Guards against a file of declarations that was cut and counts as one without the rest: an apply
// that prunes would delete what is missing.
func TestCutDeclarationsAreRefused(t *testing.T) {
	one := declare("Model", "m", `{"version": "1", "memoryMiB": 7}`)
	for _, text := range []string{one, "[" + one + ", " + one + "]"} {
		for cut := range text {
			if resources, err := ParseFile("f", []byte(text[:cut])); err == nil {
				t.Errorf("%q gives %d resources", text[:cut], len(resources))
			}
		}
		if _, err := ParseFile("f", []byte(text)); err != nil {
			t.Error(err)
		}
	}
}

func TestParseFileMessages(t *testing.T) {
	const name63 = "1 to 63 lower-case letters, digits, '-' and '.', beginning and ending with a letter or digit"
	for _, test := range []struct {
		name, input string
		want        []string
	}{
		{"syntax", "[\n{,}]", []string{"f: got hujson: line 2, column 2: invalid character ',' at start of value, wanted JSON with comments"}},
		{"nesting", strings.Repeat("[", 100), []string{"f: got deeper nesting, wanted at most 32 levels"}},
		{"nesting hidden by comments", "/* \" */" + strings.Repeat("[/* ] */", 100), []string{"f: got deeper nesting, wanted at most 32 levels"}},
		{"not an object", "[7]", []string{"f:1: got 7, wanted a resource object"}},
		{"no kind", "{}", []string{"f:1: kind: got nothing, wanted one of Model, Adapter, Service, ClientAccount, Deployment"}},
		{"former kind", `{"kind": "Customer"}`, []string{`f:1: kind: got "Customer", wanted ClientAccount, as this kind is named now`}},
		{"unknown kind", `{"kind": "Modell"}`, []string{`f:1: kind: got "Modell", wanted one of Model, Adapter, Service, ClientAccount, Deployment`}},
		{
			"all problems of all resources",
			"[" + declare("Model", "m", `{"version": "1",`+"\n"+`"memory": 7, "memoryMiB": "7"}`) + ",\n" +
				declare("Model", "n", `{"version": 2, "memoryMiB": 1.5, "replicas": []}`) + "]",
			[]string{
				"f:2: Model/m: spec.memory: got an unknown field, wanted one of checkpointMiB, maxConcurrent, memoryMiB, priority, replicas, version",
				`f:2: Model/m: spec.memoryMiB: got "7", wanted a whole number`,
				"f:3: Model/n: spec.version: got 2, wanted a string",
				"f:3: Model/n: spec.memoryMiB: got 1.5, wanted a whole number",
				"f:3: Model/n: spec.replicas: got an array, wanted an object",
			},
		},
		{
			"field twice", declare("Model", "m", `{"version": "1", "memoryMiB": 1, "version": "2"}`),
			[]string{"f:1: Model/m: spec.version: got the field twice, wanted it once"},
		},
		{
			"model values", declare("Model", "M", `{"memoryMiB": 0,`+"\n"+`"replicas": {"min": 3, "max": 2}, "priority": "urgent", "maxConcurrent": -1}`),
			[]string{
				`f:1: Model/M: metadata.name: got "M", wanted ` + name63,
				`f:1: Model/M: spec.version: got "", wanted ` + name63,
				"f:1: Model/M: spec.memoryMiB: got 0, wanted 1 to 16777216",
				"f:2: Model/M: spec.replicas.min: got 3, wanted 0 to spec.replicas.max (2)",
				`f:2: Model/M: spec.priority: got "urgent", wanted "interactive" or "batch"`,
				"f:2: Model/M: spec.maxConcurrent: got -1, wanted 1 to 4096",
			},
		},
		{
			"service values", declare("Service", "s", `{"idempotentMethods": ["get"], "nonIdempotentPaths": ["x"]}`),
			[]string{
				`f:1: Service/s: spec.idempotentMethods[0]: got "get", wanted an HTTP method in capitals`,
				`f:1: Service/s: spec.nonIdempotentPaths[0]: got "x", wanted a path that begins with '/'`,
			},
		},
		{
			"client account values", "[" + declare("ClientAccount", "c", `{"weight": -1}`) + "," + declare("ClientAccount", "d", `{"apiKeySHA256": ["key"]}`) + "]",
			[]string{
				"f:1: ClientAccount/c: spec.apiKeySHA256: got 0, wanted 1 to 64 digests",
				"f:1: ClientAccount/c: spec.weight: got -1, wanted 1 to 1000000",
				`f:1: ClientAccount/d: spec.apiKeySHA256[0]: got "key", wanted a SHA-256 digest of 64 lower-case hexadecimal digits`,
			},
		},
		{
			"deployment values", declare("Deployment", "d", `{"coldStartPrice": -1, "storeLanes": 5000}`),
			[]string{
				`f:1: Deployment/d: metadata.name: got "d", wanted "default", the one Deployment that is read`,
				"f:1: Deployment/d: spec.coldStartPrice: got -1, wanted more than 0, at most 1e+09",
				"f:1: Deployment/d: spec.storeLanes: got 5000, wanted 1 to 1024",
			},
		},
		{
			"envelope", `{"apiVersion": "v2", "kind": "Adapter", "metadata": {"name": "a", "labels": {"X": "y"}}, "spec": {"base": "b", "version": "1", "memoryMiB": 1}}`,
			[]string{
				`f:1: Adapter/a: apiVersion: got "v2", wanted "nutmeglane/v1"`,
				`f:1: Adapter/a: metadata.labels.X: got "X", wanted ` + name63,
			},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, err := ParseFile("f", []byte(test.input))
			if diff := cmp.Diff(test.want, messages(t, err)); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestCheckMessages(t *testing.T) {
	input := "[" + strings.Join([]string{
		declare("Model", "m", `{"version": "1", "memoryMiB": 1}`),
		declare("Model", "m", `{"version": "2", "memoryMiB": 1}`),
		declare("Adapter", "m", `{"base": "m", "version": "1", "memoryMiB": 1}`),
		declare("Adapter", "a", `{"base": "m", "version": "1", "memoryMiB": 1, "replicas": {"max": 2}}`),
		declare("Adapter", "b", `{"base": "n", "version": "1", "memoryMiB": 1}`),
		declare("ClientAccount", "c", `{"apiKeySHA256": ["`+digest+`"]}`),
		declare("ClientAccount", "d", `{"apiKeySHA256": ["`+digest+`"]}`),
	}, ",\n") + "]"
	resources, err := ParseFile("f", []byte(input))
	if err != nil {
		t.Fatal(err)
	}
	_, err = Build(1, resources)
	want := []string{
		`f:2: Model/m: metadata.name: got "m" a second time, wanted a name unique within its kind`,
		`f:3: Adapter/m: metadata.name: got "m", wanted a name that no Model has`,
		"f:4: Adapter/a: spec.replicas.max: got 2, wanted at most the limit of its base m (1)",
		`f:5: Adapter/b: spec.base: got "n", wanted the name of a declared Model`,
		"f:7: ClientAccount/d: spec.apiKeySHA256[0]: got a digest also in ClientAccount/c, wanted a key of one client account, listed once",
	}
	if diff := cmp.Diff(want, messages(t, err)); diff != "" {
		t.Error(diff)
	}
}

func TestBuildFillsDefaults(t *testing.T) {
	resources, err := ParseFile("f", []byte("["+
		declare("Model", "m", `{"version": "1", "memoryMiB": 7, "priority": "batch"}`)+","+
		declare("Adapter", "a", `{"base": "m", "version": "1", "memoryMiB": 1}`)+", /* comment */ "+
		declare("Service", "s", "{}")+",]"))
	if err != nil {
		t.Fatal(err)
	}
	got, err := Build(3, resources)
	if err != nil {
		t.Fatal(err)
	}
	one := ReplicaLimits{Max: 1}
	want := &Snapshot{
		Revision: 3,
		Models: map[string]*Model{"m": {Metadata{Name: "m"}, ModelSpec{
			Version: "1", MemoryMiB: 7, CheckpointMiB: 7, Replicas: one, Priority: PriorityBatch, MaxConcurrent: 8,
		}}},
		Adapters: map[string]*Adapter{"a": {Metadata{Name: "a"}, AdapterSpec{
			Base: "m", Version: "1", MemoryMiB: 1, Replicas: one, Priority: PriorityBatch,
		}, true}},
		Services: map[string]*Service{"s": {Metadata{Name: "s"}, ServiceSpec{
			IdempotentMethods: []string{"GET", "HEAD", "OPTIONS", "PUT", "DELETE"}, MaxConcurrent: 16,
		}}},
		ClientAccounts: map[string]*ClientAccount{},
		Deployment:     &DeploymentSpec{ColdStartPrice: 1, IdleHourPrice: 20, StoreLoadsPerSecond: 5, StoreLanes: 4},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

// FuzzParseFile checks that accepted input can be encoded and parsed again, and that
// rejected input is rejected with a reason.
func FuzzParseFile(f *testing.F) {
	f.Add(declare("Model", "m", `{"version": "1", "memoryMiB": 7}`))
	f.Add("[" + declare("ClientAccount", "c", `{"apiKeySHA256": ["`+digest+`"], "weight": 3,}`) + "]")
	f.Add(declare("Service", "s", `{"nonIdempotentPaths": ["/x"]} // comment`))
	f.Add(`[{"kind": "Deployment", "spec": {"coldStartPrice": 1e400}}]`)
	f.Add(strings.Repeat("[", 40))
	f.Add(`{"kind": "Adapter", "metadata": null, "spec": 3}`)
	f.Fuzz(func(t *testing.T, input string) {
		resources, err := ParseFile("f", []byte(input))
		if err != nil {
			if len(messages(t, err)) == 0 {
				t.Error("refused without a reason")
			}
			return
		}
		document, err := EncodeDocument(resources)
		if err != nil {
			t.Fatal(err)
		}
		again, err := ParseFile("g", document)
		if err != nil {
			t.Fatalf("own document refused: %v", err)
		}
		decoded, err := DecodeDocument(document)
		if err != nil {
			t.Fatal(err)
		}
		for i := range decoded {
			if diff := cmp.Diff(again[i].Spec, decoded[i].Spec); diff != "" {
				t.Error(diff)
			}
		}
	})
}
