package api

import (
	"fmt"
	"reflect"
	"slices"
	"sort"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

// lineIndex maps byte offsets to line numbers.
type lineIndex struct{ newlines []int }

func newLineIndex(data []byte) lineIndex {
	var index lineIndex
	for i, c := range data {
		if c == '\n' {
			index.newlines = append(index.newlines, i)
		}
	}
	return index
}

func (x lineIndex) line(offset int) int {
	return 1 + sort.SearchInts(x.newlines, offset)
}

// binder decodes a syntax tree into typed resources. Unlike encoding/json it
// continues after a problem, so that all problems are reported at once, and it
// records the line of each value.
type binder struct {
	file     string
	lines    lineIndex
	problems []Problem

	// The resource being decoded:
	name   string
	source *source
}

// resource decodes and validates one resource.
func (b *binder) resource(v *hujson.Value) Resource {
	b.source = &source{file: b.file, lines: map[string]int{}}
	b.name = ""
	before := len(b.problems)
	kind, known := b.kind(v)
	r := Resource{Spec: newSpec(kind), source: b.source}
	if !known {
		return r
	}
	b.value("", v, reflect.ValueOf(&r).Elem())
	if len(b.problems) > before {
		for i := range b.problems[before:] {
			b.problems[before+i].Resource = describe(r)
		}
		return r
	}
	applyDefaults(&r)
	b.problems = append(b.problems, checkResource(r)...)
	return r
}

func describe(r Resource) string {
	if r.Metadata.Name == "" {
		return ""
	}
	return r.Key().String()
}

// kind reads the kind before the other fields, because it determines the type of
// the spec.
func (b *binder) kind(v *hujson.Value) (Kind, bool) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		b.report("", v, "a resource object")
		return "", false
	}
	for i := range object.Members {
		m := &object.Members[i]
		if memberName(m) != "kind" {
			continue
		}
		if literal, ok := m.Value.Value.(hujson.Literal); ok && literal.Kind() == '"' {
			if kind := Kind(literal.String()); newSpec(kind) != nil {
				return kind, true
			}
		}
		b.report("kind", &m.Value, kindWanted(m.Value))
		return "", false
	}
	b.problems = append(b.problems, Problem{
		File: b.file, Line: b.lines.line(v.StartOffset),
		Path: "kind", Got: "nothing", Wanted: "one of " + kindNames(),
	})
	return "", false
}

// renamedKinds maps former names of kinds to the current ones.
var renamedKinds = map[string]Kind{"Customer": KindClientAccount}

// kindWanted describes the accepted kinds for an unknown one.
func kindWanted(v hujson.Value) string {
	if literal, ok := v.Value.(hujson.Literal); ok && literal.Kind() == '"' {
		if now, known := renamedKinds[literal.String()]; known {
			return string(now) + ", as this kind is named now"
		}
	}
	return "one of " + kindNames()
}

func kindNames() string {
	names := make([]string, 0, len(Kinds()))
	for _, k := range Kinds() {
		names = append(names, string(k))
	}
	return strings.Join(names, ", ")
}

func memberName(m *hujson.ObjectMember) string {
	return m.Name.Value.(hujson.Literal).String()
}

// value decodes one value of any supported type.
func (b *binder) value(path string, v *hujson.Value, dst reflect.Value) {
	b.source.lines[path] = b.lines.line(v.StartOffset)
	switch dst.Kind() {
	case reflect.Struct:
		b.structure(path, v, dst)
	case reflect.Interface:
		b.value(path, v, dst.Elem().Elem())
	case reflect.Map:
		b.stringMap(path, v, dst)
	case reflect.Slice:
		b.slice(path, v, dst)
	default:
		b.scalar(path, v, dst)
	}
}

// statusField is written by the API. It is ignored in declarations, so that a
// response of the API can be sent back unchanged.
const statusField = "status"

func (b *binder) structure(path string, v *hujson.Value, dst reflect.Value) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		b.report(path, v, "an object")
		return
	}
	fields := jsonFields(dst.Type())
	seen := map[string]bool{}
	for i := range object.Members {
		m := &object.Members[i]
		name := memberName(m)
		member := join(path, name)
		index, known := fields[name]
		switch {
		case path == "" && name == statusField:
		case !known:
			b.problem(member, &m.Name, "an unknown field", "one of "+fieldNames(fields))
		case seen[name]:
			b.problem(member, &m.Name, "the field twice", "it once")
		default:
			b.value(member, &m.Value, dst.Field(index))
		}
		seen[name] = true
	}
}

func (b *binder) stringMap(path string, v *hujson.Value, dst reflect.Value) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		b.report(path, v, "an object of strings")
		return
	}
	filled := reflect.MakeMap(dst.Type())
	for i := range object.Members {
		m := &object.Members[i]
		element := reflect.New(dst.Type().Elem()).Elem()
		b.value(join(path, memberName(m)), &m.Value, element)
		filled.SetMapIndex(reflect.ValueOf(memberName(m)), element)
	}
	dst.Set(filled)
}

func (b *binder) slice(path string, v *hujson.Value, dst reflect.Value) {
	array, ok := v.Value.(*hujson.Array)
	if !ok {
		b.report(path, v, "an array")
		return
	}
	filled := reflect.MakeSlice(dst.Type(), len(array.Elements), len(array.Elements))
	for i := range array.Elements {
		b.value(fmt.Sprintf("%s[%d]", path, i), &array.Elements[i], filled.Index(i))
	}
	dst.Set(filled)
}

func (b *binder) scalar(path string, v *hujson.Value, dst reflect.Value) {
	literal, ok := v.Value.(hujson.Literal)
	switch dst.Kind() {
	case reflect.String:
		if ok && literal.Kind() == '"' {
			dst.SetString(literal.String())
			return
		}
		b.report(path, v, "a string")
	case reflect.Int, reflect.Int64:
		if n, err := strconv.ParseInt(string(literal), 10, 64); ok && err == nil {
			dst.SetInt(n)
			return
		}
		b.report(path, v, "a whole number")
	case reflect.Float64:
		if n, err := strconv.ParseFloat(string(literal), 64); ok && err == nil && literal.Kind() == '0' {
			dst.SetFloat(n)
			return
		}
		b.report(path, v, "a number")
	}
}

// report adds a problem about a value of an invalid type.
func (b *binder) report(path string, v *hujson.Value, wanted string) {
	b.problem(path, v, describeValue(v), wanted)
}

func (b *binder) problem(path string, v *hujson.Value, got, wanted string) {
	b.problems = append(b.problems, Problem{
		File: b.file, Line: b.lines.line(v.StartOffset), Path: path, Got: got, Wanted: wanted,
	})
}

// maxShownBytes limits the bytes of an invalid value in a message.
const maxShownBytes = 60

func describeValue(v *hujson.Value) string {
	switch value := v.Value.(type) {
	case *hujson.Object:
		return "an object"
	case *hujson.Array:
		return "an array"
	case hujson.Literal:
		return truncate(string(value))
	default:
		return "nothing"
	}
}

func truncate(s string) string {
	if len(s) > maxShownBytes {
		return strings.ToValidUTF8(s[:maxShownBytes], "") + "..."
	}
	return s
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// jsonFields returns the index of each exported field by its JSON name.
func jsonFields(t reflect.Type) map[string]int {
	fields := map[string]int{}
	for i := range t.NumField() {
		if f := t.Field(i); f.IsExported() {
			name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
			fields[name] = i
		}
	}
	return fields
}

func fieldNames(fields map[string]int) string {
	names := make([]string, 0, len(fields))
	for name := range fields {
		names = append(names, name)
	}
	slices.Sort(names)
	return strings.Join(names, ", ")
}
