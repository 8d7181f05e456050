package api

import (
	"bytes"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/tailscale/hujson"
)

// extensions are the extensions of the files that ParseDir reads.
var extensions = []string{".json", ".jsonc", ".hujson"}

// maxNesting limits the depth of a declaration. Deeper input is rejected before it
// reaches the recursive parser: megabytes of opening brackets would overflow the
// stack, which terminates the process and can't be recovered.
const maxNesting = 32

// ParseFile parses declarations from JSON with comments: one resource or an array
// of resources. Each resource is validated separately and its defaults are set;
// Check validates the whole set. All problems are returned in a *DeclarationError.
// The name is used only in messages.
func ParseFile(name string, data []byte) ([]Resource, error) {
	if depth(data) > maxNesting {
		return nil, asError([]Problem{{File: name, Got: "deeper nesting", Wanted: "at most 32 levels"}})
	}
	root, err := hujson.Parse(data)
	if err != nil {
		return nil, asError([]Problem{{File: name, Got: err.Error(), Wanted: "JSON with comments"}})
	}
	b := &binder{file: name, lines: newLineIndex(data)}
	elements := []hujson.Value{root}
	if array, ok := root.Value.(*hujson.Array); ok {
		elements = array.Elements
	}
	var resources []Resource
	for i := range elements {
		resources = append(resources, b.resource(&elements[i]))
	}
	return resources, asError(b.problems)
}

// Standardize converts JSON with comments to plain JSON. Like ParseFile it rejects
// input that is nested too deeply.
func Standardize(data []byte) ([]byte, error) {
	if depth(data) > maxNesting {
		return nil, errors.Newf("more than %d levels of nesting", maxNesting)
	}
	return hujson.Standardize(slices.Clone(data))
}

// ParseDir parses all declaration files of a directory (.json, .jsonc and .hujson,
// without subdirectories) in the order of their names. It returns the problems of
// all files together.
func ParseDir(dir string) ([]Resource, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, errors.Wrap(err, "read declarations")
	}
	var resources []Resource
	var problems []Problem
	for _, entry := range entries {
		if entry.IsDir() || !slices.Contains(extensions, filepath.Ext(entry.Name())) {
			continue
		}
		path := filepath.Join(dir, entry.Name())
		data, err := os.ReadFile(path)
		if err != nil {
			return nil, errors.Wrap(err, "read declarations")
		}
		parsed, err := ParseFile(path, data)
		var bad *DeclarationError
		if errors.As(err, &bad) {
			problems = append(problems, bad.Problems...)
		}
		resources = append(resources, parsed...)
	}
	return resources, asError(problems)
}

// depth returns the nesting depth of JSON with comments, up to the first syntax
// error. Brackets within strings and comments are not counted.
func depth(data []byte) int {
	level, deepest := 0, 0
	for i := 0; i < len(data); i++ {
		switch data[i] {
		case '"':
			i = stringEnd(data, i)
		case '/':
			i = commentEnd(data, i)
		case '[', '{':
			level++
			deepest = max(deepest, level)
		case ']', '}':
			level--
		}
	}
	return deepest
}

// stringEnd returns the index of the closing quote of the string that starts at i.
func stringEnd(data []byte, i int) int {
	for i++; i < len(data) && data[i] != '"'; i++ {
		if data[i] == '\\' {
			i++
		}
	}
	return i
}

// commentEnd returns the index of the last byte of the comment that starts at i, or
// i if no comment starts there.
func commentEnd(data []byte, i int) int {
	rest, end := data[i:], ""
	switch {
	case bytes.HasPrefix(rest, []byte("//")):
		end = "\n"
	case bytes.HasPrefix(rest, []byte("/*")):
		end = "*/"
	default:
		return i
	}
	length := bytes.Index(rest[2:], []byte(end))
	if length < 0 {
		return len(data)
	}
	return i + 2 + length + len(end) - 1
}

// source holds the file of a resource and the lines of its fields.
type source struct {
	file  string
	lines map[string]int
}

// line returns the line of a field, or of the nearest enclosing one.
func (s *source) line(path string) int {
	for {
		if line, ok := s.lines[path]; ok {
			return line
		}
		cut := strings.LastIndexAny(path, ".[")
		if cut < 0 {
			return s.lines[""]
		}
		path = path[:cut]
	}
}

// problem returns a problem with a field of the resource, with its file and line if
// known.
func (r Resource) problem(path, got, wanted string) Problem {
	p := Problem{Path: path, Got: got, Wanted: wanted}
	if r.Metadata.Name != "" {
		p.Resource = r.Key().String()
	}
	if r.source != nil {
		p.File, p.Line = r.source.file, r.source.line(path)
	}
	return p
}
