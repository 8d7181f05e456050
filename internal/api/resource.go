package api

import (
	"bytes"
	"cmp"
	"encoding/json"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
)

// Key identifies a resource.
type Key struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
}

// String returns "<kind>/<name>".
func (k Key) String() string { return string(k.Kind) + "/" + k.Name }

// Compare orders keys by kind, then name.
func (k Key) Compare(other Key) int {
	return cmp.Or(cmp.Compare(k.Kind, other.Kind), cmp.Compare(k.Name, other.Name))
}

// Resource is the envelope of any declared resource. Its JSON encoding is
// deterministic: equal resources have equal bytes.
type Resource struct {
	APIVersion string   `json:"apiVersion"`
	Kind       Kind     `json:"kind"`
	Metadata   Metadata `json:"metadata"`
	// Spec is a *ModelSpec, *AdapterSpec, *ServiceSpec, *ClientAccountSpec or
	// *DeploymentSpec, depending on Kind.
	Spec any `json:"spec"`

	source *source
}

// Key returns the resource's kind and name.
func (r Resource) Key() Key { return Key{Kind: r.Kind, Name: r.Metadata.Name} }

// Kinds returns all resource kinds, in the order they are listed to users.
func Kinds() []Kind {
	return []Kind{KindModel, KindAdapter, KindService, KindClientAccount, KindDeployment}
}

// Plural returns the kind's name in paths of the operators' API.
func (k Kind) Plural() string { return strings.ToLower(string(k)) + "s" }

// KindOf returns the kind with the given plural name, or with the given name in any
// case.
func KindOf(name string) (Kind, bool) {
	for _, k := range Kinds() {
		if name == k.Plural() || strings.EqualFold(name, string(k)) {
			return k, true
		}
	}
	return "", false
}

// newSpec returns a pointer to an empty spec of the kind, or nil.
func newSpec(kind Kind) any {
	switch kind {
	case KindModel:
		return &ModelSpec{}
	case KindAdapter:
		return &AdapterSpec{}
	case KindService:
		return &ServiceSpec{}
	case KindClientAccount:
		return &ClientAccountSpec{}
	case KindDeployment:
		return &DeploymentSpec{}
	default:
		return nil
	}
}

// UnmarshalJSON implements json.Unmarshaler for documents that this package encoded.
// Declarations written by operators are parsed by ParseFile, which validates every
// field and records line numbers.
func (r *Resource) UnmarshalJSON(data []byte) error {
	var form struct {
		APIVersion string          `json:"apiVersion"`
		Kind       Kind            `json:"kind"`
		Metadata   Metadata        `json:"metadata"`
		Spec       json.RawMessage `json:"spec"`
	}
	if err := json.Unmarshal(data, &form); err != nil {
		return errors.Wrap(err, "decode resource")
	}
	spec := newSpec(form.Kind)
	if spec == nil {
		return errors.Newf("unknown kind %q", form.Kind)
	}
	if err := json.Unmarshal(form.Spec, spec); err != nil {
		return errors.Wrapf(err, "decode spec of %s/%s", form.Kind, form.Metadata.Name)
	}
	*r = Resource{APIVersion: form.APIVersion, Kind: form.Kind, Metadata: form.Metadata, Spec: spec}
	return nil
}

// EncodeDocument returns the canonical document of a set of resources: a JSON
// array sorted by kind and name. It does not modify the argument.
func EncodeDocument(resources []Resource) ([]byte, error) {
	sorted := slices.Clone(resources)
	slices.SortFunc(sorted, func(a, b Resource) int { return a.Key().Compare(b.Key()) })
	lines := make([][]byte, len(sorted))
	for i, r := range sorted {
		line, err := json.Marshal(r)
		if err != nil {
			return nil, errors.Wrapf(err, "encode %s", r.Key())
		}
		lines[i] = line
	}
	return JoinDocument(lines), nil
}

// resourceSeparator separates the resources of a document. An encoded resource
// contains no raw line feed.
var resourceSeparator = []byte(",\n")

// JoinDocument returns the document that consists of the encoded resources.
func JoinDocument(lines [][]byte) []byte {
	return slices.Concat([]byte{'['}, bytes.Join(lines, resourceSeparator), []byte{']'})
}

// SplitDocument returns the encoded resources of a document that EncodeDocument
// or JoinDocument returned. They share its memory.
func SplitDocument(document []byte) [][]byte {
	inner := bytes.TrimSuffix(bytes.TrimPrefix(document, []byte{'['}), []byte{']'})
	if len(inner) == 0 {
		return nil
	}
	return bytes.Split(inner, resourceSeparator)
}

// DocumentSize returns the number of resources in a document that EncodeDocument or
// JoinDocument returned.
func DocumentSize(document []byte) int {
	if len(document) <= len("[]") {
		return 0
	}
	return bytes.Count(document, []byte{'\n'}) + 1
}

// DecodeKey decodes only the key of an encoded resource.
func DecodeKey(line []byte) (Key, error) {
	var form struct {
		Kind     Kind `json:"kind"`
		Metadata struct {
			Name string `json:"name"`
		} `json:"metadata"`
	}
	if err := json.Unmarshal(line, &form); err != nil {
		return Key{}, errors.Wrap(err, "decode key")
	}
	return Key{Kind: form.Kind, Name: form.Metadata.Name}, nil
}

// DecodeDocument decodes a document that EncodeDocument returned. It checks only
// the syntax; Build validates the content.
func DecodeDocument(document []byte) ([]Resource, error) {
	var resources []Resource
	if err := json.Unmarshal(document, &resources); err != nil {
		return nil, errors.Wrap(err, "decode document")
	}
	return resources, nil
}
