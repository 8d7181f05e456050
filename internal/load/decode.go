package load

import (
	"bytes"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/tailscale/hujson"

	"nutmeglane.example/nutmeglane/internal/settings"
)

// maxShown is the length in bytes after which an error message truncates a
// value.
const maxShown = 60

// checker collects the problems found in one plan.
type checker struct {
	file     string
	data     []byte
	lines    map[string]int
	problems settings.Problems
}

func (c *checker) report(field, got, wanted string) {
	if len(got) > maxShown {
		got = got[:maxShown] + "..."
	}
	c.problems = append(c.problems, settings.Problem{
		File: c.file, Line: c.lineOf(field), Field: field, Got: got, Wanted: wanted,
	})
}

// lineOf returns the line of a field, or of the nearest enclosing field whose
// line is known.
func (c *checker) lineOf(field string) int {
	for {
		if line, known := c.lines[field]; known || field == "" {
			return line
		}
		field = field[:max(0, strings.LastIndexAny(field, ".["))]
	}
}

// parse checks field names and types before decoding, so that all problems are
// reported at once and duplicate fields are rejected. encoding/json alone would
// silently use the last of the duplicates.
func (c *checker) parse(data []byte, into *Plan) {
	root, err := hujson.Parse(data)
	if err != nil {
		c.report("", err.Error(), "JSON with comments")
		return
	}
	c.data = data
	c.checkValue(root, reflect.TypeOf(*into), "")
	if len(c.problems) == 0 {
		c.decode(root, into)
	}
}

func (c *checker) checkValue(node hujson.Value, want reflect.Type, path string) {
	c.lines[path] = 1 + bytes.Count(c.data[:node.StartOffset], []byte{'\n'})
	if want.Kind() == reflect.Pointer {
		want = want.Elem()
	}
	switch v := node.Value.(type) {
	case *hujson.Object:
		c.object(v, want, path)
	case *hujson.Array:
		c.checkArray(v, want, path)
	case hujson.Literal:
		if wanted := literalWanted(v, want); wanted != "" {
			c.report(path, string(v), wanted)
		}
	}
}

func (c *checker) checkArray(array *hujson.Array, want reflect.Type, path string) {
	if want.Kind() != reflect.Slice {
		c.report(path, "an array", kindWanted(want))
		return
	}
	for i, element := range array.Elements {
		c.checkValue(element, want.Elem(), fmt.Sprintf("%s[%d]", path, i))
	}
}

func (c *checker) object(checkObject *hujson.Object, want reflect.Type, path string) {
	if want.Kind() != reflect.Struct && want.Kind() != reflect.Map {
		c.report(path, "an object", kindWanted(want))
		return
	}
	seen := map[string]bool{}
	for _, member := range checkObject.Members {
		name := member.Name.Value.(hujson.Literal).String()
		full := strings.TrimPrefix(path+"."+name, ".")
		field, known := fieldType(want, name)
		switch {
		case !known:
			c.report(full, "an unknown field", "one of "+strings.Join(fieldNames(want), ", "))
		case seen[name]:
			c.report(full, "the field twice", "it once")
		default:
			c.checkValue(member.Value, field, full)
		}
		seen[name] = true
	}
}

func fieldNames(of reflect.Type) []string {
	var names []string
	for i := range of.NumField() {
		name, _, _ := strings.Cut(of.Field(i).Tag.Get("json"), ",")
		names = append(names, name)
	}
	return names
}

func fieldType(of reflect.Type, name string) (reflect.Type, bool) {
	if of.Kind() == reflect.Map {
		return of.Elem(), true
	}
	i := slices.Index(fieldNames(of), name)
	if i < 0 {
		return nil, false
	}
	return of.Field(i).Type, true
}

// literalWanted returns a description of the type wanted if the literal does not
// match it, or "".
func literalWanted(literal hujson.Literal, want reflect.Type) string {
	isNumber, isString := literal.Kind() == '0', literal.Kind() == '"'
	ok := false
	switch {
	case want == reflect.TypeFor[Duration]():
		_, err := time.ParseDuration(literal.String())
		ok = isString && err == nil
	case want.Kind() == reflect.String:
		ok = isString
	case want.Kind() == reflect.Float64:
		ok = isNumber
	case want.Kind() == reflect.Int:
		ok = isNumber && !strings.ContainsAny(string(literal), ".eE")
	case want.Kind() == reflect.Uint64:
		ok = isNumber && !strings.ContainsAny(string(literal), "-.eE")
	}
	if ok {
		return ""
	}
	return kindWanted(want)
}

func kindWanted(want reflect.Type) string {
	if want == reflect.TypeFor[Duration]() {
		return `a duration such as "250ms", "10s" or "2m"`
	}
	switch want.Kind() {
	case reflect.String:
		return "a string"
	case reflect.Float64:
		return "a number"
	case reflect.Int:
		return "a whole number"
	case reflect.Uint64:
		return "a whole number, 0 or more"
	case reflect.Slice:
		return "an array"
	default:
		return "an object"
	}
}
