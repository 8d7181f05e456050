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

// schema is the part of JSON Schema that is used here.
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

// rule adds to a field's schema what its Go type does not say. The rules are
// those of validate.go; Check has the last word, also on what a schema can't
// say, such as that an adapter's base exists.
type rule func(*schema)

// A number that is left out is its zero value and gets its default, so 0 is
// accepted wherever there is a default.
func numbers(least, most int64) rule {
	return func(s *schema) { s.Minimum, s.Maximum = &least, &most }
}

func required(s *schema) { s.Description = requiredMark }

// requiredMark is replaced by an entry in the parent's list of required fields.
const requiredMark = "required"

func name(s *schema) { s.Pattern, s.MaxLength = namePattern.String(), MaxNameBytes }

func priorities(s *schema) { s.Enum = []string{string(PriorityInteractive), string(PriorityBatch)} }

// elements bounds a list, whose elements follow a pattern.
func elements(least, most int, pattern string) rule {
	return func(s *schema) {
		s.MinItems, s.MaxItems, s.Items.Pattern = least, most, pattern
	}
}

var replicaRules = map[string][]rule{
	"spec.replicas.min": {numbers(0, MaxReplicas)},
	"spec.replicas.max": {numbers(0, MaxReplicas)},
}

// rules by kind and path.
var rules = map[Kind]map[string][]rule{
	KindModel: {
		"spec.version": {required, name}, "spec.memoryMiB": {required, numbers(1, MaxMemoryMiB)},
		"spec.checkpointMiB": {numbers(0, MaxMemoryMiB)}, "spec.priority": {priorities},
		"spec.maxConcurrent": {numbers(0, MaxConcurrentLimit)},
	},
	KindAdapter: {
		"spec.base": {required, name}, "spec.version": {required, name},
		"spec.memoryMiB": {required, numbers(1, MaxMemoryMiB)}, "spec.priority": {priorities},
	},
	KindService: {
		"spec.idempotentMethods":  {elements(0, MaxListed, methodPattern.String())},
		"spec.nonIdempotentPaths": {elements(0, MaxListed, "^/")},
		"spec.maxConcurrent":      {numbers(0, MaxConcurrentLimit)},
	},
	KindClientAccount: {
		"spec.apiKeySHA256": {required, elements(1, MaxKeysPerAccount, digestPattern.String())},
		"spec.weight":       {numbers(0, MaxWeight)},
	},
	KindDeployment: {
		"metadata.name":            {func(s *schema) { s.Const = DeploymentName }},
		"spec.coldStartPrice":      {numbers(0, MaxPrice)},
		"spec.idleHourPrice":       {numbers(0, MaxPrice)},
		"spec.storeLoadsPerSecond": {numbers(0, MaxPrice)},
		"spec.storeLanes":          {numbers(0, MaxStoreLanes)},
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
	whole := &schema{
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
	document, err := json.MarshalIndent(whole, "", "  ")
	return append(document, '\n'), errors.Wrap(err, "encode schema")
}

// describer turns Go types into schemas.
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
