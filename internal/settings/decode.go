package settings

import (
	"net/netip"
	"reflect"
	"strings"
	"time"

	"github.com/tailscale/hujson"
)

const maxShownBytes = 60 // of an invalid value in an error message

// secretField is never shown in errors.
const secretField = "operators.token"

// object decodes a JSON object into a struct. Unlike encoding/json it continues
// after an error, so that an operator sees all problems of a file at once, and it
// rejects a repeated field, of which encoding/json silently uses the last.
func (c *checker) object(object *hujson.Object, path string, into reflect.Value) {
	fields := fieldsByName(into)
	seen := map[string]bool{}
	for _, member := range object.Members {
		name := memberName(member)
		field, known := fields[name]
		full := joinPath(path, name)
		line := c.lineAt(member.Name.StartOffset)
		switch {
		case !known:
			c.report(full, line, "an unknown field", "one of "+strings.Join(fieldNames(into), ", "))
		case seen[name]:
			c.report(full, line, "the field twice", "it once")
		default:
			c.lines[full] = line
			c.value(member.Value, full, field)
		}
		seen[name] = true
	}
}

// value decodes one field.
func (c *checker) value(node hujson.Value, path string, into reflect.Value) {
	wanted, ok := fill(node, into)
	if object, isObject := node.Value.(*hujson.Object); isObject && into.Kind() == reflect.Struct && wanted == wantObject {
		c.object(object, path, into)
		return
	}
	if !ok {
		got := formatNode(node)
		if path == secretField {
			got = "(not shown)"
		}
		c.report(path, c.lineAt(node.StartOffset), got, wanted)
	}
}

const wantObject = "an object"

// fill sets a field from a literal. It returns whether that succeeded and a
// description of the values that the field accepts.
func fill(node hujson.Value, into reflect.Value) (wanted string, ok bool) {
	literal, _ := node.Value.(hujson.Literal)
	text := literalString(node)
	isString := literal.Kind() == '"'
	switch target := into.Addr().Interface().(type) {
	case *time.Duration:
		d, err := time.ParseDuration(text)
		*target = d
		return `a duration such as "250ms", "10s" or "75m"`, isString && err == nil
	case *netip.AddrPort:
		address, err := netip.ParseAddrPort(text)
		*target = address
		return `"IP:port", such as "127.0.0.1:8080"`, isString && err == nil
	}
	switch into.Kind() {
	case reflect.Bool:
		into.SetBool(string(literal) == "true")
		return "true or false", literal.Kind() == 't' || literal.Kind() == 'f'
	case reflect.String:
		into.SetString(text)
		return "a string", isString
	case reflect.Int, reflect.Int64:
		return "a whole number", fillInt(literal, into)
	case reflect.Float64:
		into.SetFloat(literalFloat(literal))
		return "a number", literal.Kind() == '0'
	default:
		return wantObject, false
	}
}

func fillInt(literal hujson.Literal, into reflect.Value) bool {
	if literal.Kind() != '0' || strings.ContainsAny(string(literal), ".eE") {
		return false
	}
	into.SetInt(literal.Int())
	return true
}

func literalFloat(literal hujson.Literal) float64 {
	if literal.Kind() != '0' {
		return 0
	}
	return literal.Float()
}

func literalString(node hujson.Value) string {
	literal, ok := node.Value.(hujson.Literal)
	if !ok || literal.Kind() != '"' {
		return ""
	}
	return literal.String()
}

func memberName(member hujson.ObjectMember) string { return literalString(member.Name) }

// formatNode formats a value for an error message, truncated to maxShownBytes.
func formatNode(node hujson.Value) string {
	if literal, ok := node.Value.(hujson.Literal); ok {
		if len(literal) > maxShownBytes {
			return string(literal[:maxShownBytes]) + "..."
		}
		return string(literal)
	}
	return kindName(node)
}

func kindName(node hujson.Value) string {
	switch node.Value.Kind() {
	case '{':
		return "an object"
	case '[':
		return "an array"
	default:
		return "a single value"
	}
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// fieldsByName returns the fields of a struct and its embedded structs by their
// JSON names.
func fieldsByName(into reflect.Value) map[string]reflect.Value {
	fields := map[string]reflect.Value{}
	for _, field := range reflect.VisibleFields(into.Type()) {
		if !field.Anonymous {
			fields[field.Tag.Get("json")] = into.FieldByIndex(field.Index)
		}
	}
	return fields
}

func fieldNames(into reflect.Value) []string {
	var names []string
	for _, field := range reflect.VisibleFields(into.Type()) {
		if !field.Anonymous {
			names = append(names, field.Tag.Get("json"))
		}
	}
	return names
}
