package settings

import (
	"bytes"
	"cmp"
	"os"
	"reflect"
	"slices"
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/tailscale/hujson"
)

// Load reads and validates a settings file of any role. The result is an *Entry,
// an *Agent, a *Router or a *Loader. The error is of type Problems.
func Load(file string) (Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.WithStack(Problems{{File: file, Got: err.Error(), Wanted: "a readable file"}})
	}
	return Parse(file, data)
}

// LoadEntry is Load for an entry.
func LoadEntry(file string) (*Entry, error) { return loadAs[*Entry](file, RoleEntry) }

// LoadAgent is Load for an agent.
func LoadAgent(file string) (*Agent, error) { return loadAs[*Agent](file, RoleAgent) }

func loadAs[T Settings](file string, want Role) (T, error) {
	var none T
	loaded, err := Load(file)
	if err != nil {
		return none, err
	}
	typed, ok := loaded.(T)
	if !ok {
		return none, errors.WithStack(Problems{{
			File: file, Field: "role",
			Got: quote(string(loaded.RoleName())), Wanted: quote(string(want)),
		}})
	}
	return typed, nil
}

// Parse is Load for the contents of a file. The file name is used only in errors.
func Parse(file string, data []byte) (Settings, error) {
	c := &checker{file: file, data: data, lines: map[string]int{}}
	loaded := c.parse()
	if loaded != nil {
		loaded.check(c)
	}
	if len(c.problems) > 0 {
		slices.SortStableFunc(c.problems, func(a, b Problem) int { return cmp.Compare(a.Line, b.Line) })
		return nil, errors.WithStack(c.problems)
	}
	return loaded, nil
}

// checker decodes one file and collects its problems.
type checker struct {
	file     string
	data     []byte
	lines    map[string]int
	reported map[string]bool
	problems Problems
}

func (c *checker) parse() Settings {
	root, err := hujson.Parse(c.data)
	if err != nil {
		c.report("", 0, err.Error(), "JSON with comments")
		return nil
	}
	object, ok := root.Value.(*hujson.Object)
	if !ok {
		c.report("", c.lineAt(root.StartOffset), kindName(root), "an object")
		return nil
	}
	loaded := c.defaultsForRole(object)
	if loaded != nil {
		c.object(object, "", reflect.ValueOf(loaded).Elem())
	}
	return loaded
}

// defaultsForRole returns the defaults of the role that the file sets.
func (c *checker) defaultsForRole(object *hujson.Object) Settings {
	const wanted = `"entry", "agent", "router" or "loader"`
	for _, member := range object.Members {
		if memberName(member) != "role" {
			continue
		}
		switch literalString(member.Value) {
		case string(RoleEntry):
			return DefaultEntry()
		case string(RoleAgent):
			return DefaultAgent()
		case string(RoleRouter):
			return DefaultRouter()
		case string(RoleLoader):
			return DefaultLoader()
		}
		c.report("role", c.lineAt(member.Value.StartOffset), formatNode(member.Value), wanted)
		return nil
	}
	c.report("role", 0, "nothing", wanted)
	return nil
}

func (c *checker) lineAt(offset int) int { return 1 + bytes.Count(c.data[:offset], []byte{'\n'}) }

func (c *checker) report(field string, line int, got, wanted string) {
	c.problems = append(c.problems, Problem{File: c.file, Line: line, Field: field, Got: got, Wanted: wanted})
	if c.reported == nil {
		c.reported = map[string]bool{}
	}
	c.reported[field] = true
}

func quote(text string) string { return strconv.Quote(text) }
