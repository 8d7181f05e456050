package api

import (
	"encoding/json"
	"reflect"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
)

// schemaDialect is the version of JSON Schema that the schemas are written in.
const schemaDialect = "https://json-schema.org/draft/2020-12/schema"

// schema holds the JSON Schema keywords that declarations use.
type schema struct {
	Dialect     string             `json:"$schema,omitempty"`
	Title       string             `json:"title,omitempty"`
	Type        string             `json:"type,omitempty"`
	Const       string             `json:"const,omitempty"`
	Enum        []string           `json:"enum,omitempty"`
	Pattern     string             `json:"pattern,omitempty"`
	Minimum     *int64             `json:"minimum,omitempty"`
	Maximum     *int64             `json:"maximum,omitempty"`
	MaxLength   int                `json:"maxLength,omitempty"`
	MinItems    int                `json:"minItems,omitempty"`
	MaxItems    int                `json:"maxItems,omitempty"`
	Items       *schema            `json:"items,omitempty"`
	Properties  map[string]*schema `json:"properties,omitempty"`
	Required    []string           `json:"required,omitempty"`
	Additional  any                `json:"additionalProperties,omitempty"`
	MaxMembers  int                `json:"maxProperties,omitempty"`
	Description string             `json:"description,omitempty"`
}

// rule adds constraints to a field's schema that its Go type does not express. The
// rules match the checks in validate.go. Check is authoritative, and also covers
// constraints that a schema can't express, such as that an adapter's base exists.
type rule func(*schema)

// integerRange limits a number. An omitted number is decoded as 0 and replaced by
// its default, so 0 is accepted wherever there is a default.
func integerRange(least, most int64) rule {
	return func(s *schema) { s.Minimum, s.Maximum = &least, &most }
}

func required(s *schema) { s.Description = requiredMark }

// requiredMark marks a required field in its description. structure replaces it by
// an entry in the parent's list of required fields.
const requiredMark = "required"

func name(s *schema) { s.Pattern, s.MaxLength = namePattern.String(), MaxNameBytes }

func priorities(s *schema) { s.Enum = []string{string(PriorityInteractive), string(PriorityBatch)} }

// listOf limits the length of a list whose elements match a pattern.
func listOf(least, most int, pattern string) rule {
	return func(s *schema) {
		s.MinItems, s.MaxItems, s.Items.Pattern = least, most, pattern
	}
}

var replicaRules = map[string][]rule{
	"spec.replicas.min": {integerRange(0, MaxReplicas)},
	"spec.replicas.max": {integerRange(0, MaxReplicas)},
}

// rules holds the rules by kind and field path.
var rules = map[Kind]map[string][]rule{
	KindModel: {
		"spec.version": {required, name}, "spec.memoryMiB": {required, integerRange(1, MaxMemoryMiB)},
		"spec.checkpointMiB": {integerRange(0, MaxMemoryMiB)}, "spec.priority": {priorities},
		"spec.maxConcurrent": {integerRange(0, MaxConcurrentLimit)},
	},
	KindAdapter: {
		"spec.base": {required, name}, "spec.version": {required, name},
		"spec.memoryMiB": {required, integerRange(1, MaxMemoryMiB)}, "spec.priority": {priorities},
	},
	KindService: {
		"spec.idempotentMethods":  {listOf(0, MaxListed, methodPattern.String())},
		"spec.nonIdempotentPaths": {listOf(0, MaxListed, "^/")},
		"spec.maxConcurrent":      {integerRange(0, MaxConcurrentLimit)},
	},
	KindClientAccount: {
		"spec.apiKeySHA256": {required, listOf(1, MaxKeysPerAccount, digestPattern.String())},
		"spec.weight":       {integerRange(0, MaxWeight)},
	},
	KindDeployment: {
		"metadata.name":            {func(s *schema) { s.Const = DeploymentName }},
		"spec.coldStartPrice":      {integerRange(0, MaxPrice)},
		"spec.idleHourPrice":       {integerRange(0, MaxPrice)},
		"spec.storeLoadsPerSecond": {integerRange(0, MaxPrice)},
		"spec.storeLanes":          {integerRange(0, MaxStoreLanes)},
	},
}

// Schema returns the JSON Schema of declarations of a kind.
func Schema(kind Kind) ([]byte, error) {
	spec := newSpec(kind)
	if spec == nil {
		return nil, errors.Newf("unknown kind %q", kind)
	}
	d := describer{kind: kind}
	metadata := d.describe("metadata", reflect.TypeFor[Metadata]())
	metadata.Required = []string{"name"}
	root := &schema{
		Dialect: schemaDialect, Title: string(kind), Type: "object", Additional: false,
		Required: []string{"apiVersion", "kind", "metadata", "spec"},
		Properties: map[string]*schema{
			"apiVersion": {Type: "string", Const: Version},
			"kind":       {Type: "string", Const: string(kind)},
			"metadata":   metadata,
			"spec":       d.describe("spec", reflect.TypeOf(spec).Elem()),
			statusField:  {Type: "object", Description: "Written by the API; ignored in declarations."},
		},
	}
	document, err := json.MarshalIndent(root, "", "  ")
	return append(document, '\n'), errors.Wrap(err, "encode schema")
}

// describer derives schemas from Go types.
type describer struct{ kind Kind }

func (d describer) describe(path string, t reflect.Type) *schema {
	s := &schema{}
	switch t.Kind() {
	case reflect.Struct:
		d.structure(s, path, t)
	case reflect.Map:
		s.Type, s.MaxMembers = "object", MaxLabels
		s.Additional = &schema{Type: "string", MaxLength: MaxLabelBytes}
	case reflect.Slice:
		s.Type, s.Items = "array", d.describe(path+"[]", t.Elem())
	case reflect.Int, reflect.Int64:
		s.Type = "integer"
	case reflect.Float64:
		s.Type = "number"
	default:
		s.Type = "string"
	}
	for _, each := range [][]rule{d.common(path), replicaRules[path], rules[d.kind][path]} {
		for _, apply := range each {
			apply(s)
		}
	}
	return s
}

func (d describer) common(path string) []rule {
	if path == "metadata.name" {
		return []rule{name}
	}
	return nil
}

func (d describer) structure(s *schema, path string, t reflect.Type) {
	s.Type, s.Additional, s.Properties = "object", false, map[string]*schema{}
	for i := range t.NumField() {
		field, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		inner := d.describe(join(path, field), t.Field(i).Type)
		if inner.Description == requiredMark {
			inner.Description = ""
			s.Required = append(s.Required, field)
		}
		s.Properties[field] = inner
	}
	slices.Sort(s.Required)
}
