package load

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"

	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/settings"
)

func TestExamplesAreValid(t *testing.T) {
	for _, name := range []string{"quickstart", "mixed"} {
		if _, err := ReadPlan("../../examples/load/" + name + ".json"); err != nil {
			t.Error(err)
		}
	}
}

// planText returns a valid plan with the first occurrence of old replaced.
func planText(old, replacement string) string {
	const text = `{
  "targets": ["http://127.0.0.1:1"],
  "duration": "1s", // a comment
  "versions": {"m": "1"},
  "classes": [{
    "name": "c", "apiKey": "k", "poisson": {"perSecond": 5},
    "calls": [{"models": ["m"]}, {"service": "s", "path": "/p"}],
  }],
}`
	return strings.Replace(text, old, replacement, 1)
}

func TestPlanProblems(t *testing.T) {
	for _, c := range []struct{ old, replacement, line, field, got string }{
		{"{", "", "0", "", ""},
		{`"duration": "1s"`, `"duration": 1`, "3", "duration", "1"},
		{`"duration": "1s",`, "", "1", "duration", "0s"},
		{`"duration": "1s"`, `"duration": "1s", "phases": [{"name": "a", "duration": "1s", "multiplier": 1}]`, "3", "duration", "1s"},
		{`"duration": "1s"`, `"phases": [{"name": "a", "duration": "1s", "multiplier": 0}]`, "3", "phases[0].multiplier", "0"},
		{`"duration"`, `"speed": 1, "duration"`, "1", "speed", "an unknown field"},
		{`"duration"`, `"seed": 1, "seed": 2, "duration"`, "3", "seed", "the field twice"},
		{`"duration"`, `"seed": -1, "duration"`, "3", "seed", "-1"},
		{`"duration"`, `"maxOpen": 1.5, "duration"`, "3", "maxOpen", "1.5"},
		{`"duration"`, `"maxRequests": -1, "duration"`, "3", "maxRequests", "-1"},
		{`"duration"`, `"grace": "2h", "duration"`, "3", "grace", "2h0m0s"},
		{"127.0.0.1:1", "192.0.2.1:1", "2", "targets[0]", "192.0.2.1"},
		{"127.0.0.1:1", "localhost:1", "2", "targets[0]", "localhost"},
		{`["http://127.0.0.1:1"]`, `[]`, "2", "targets", "nothing"},
		{`"duration"`, `"referees": ["http://10.0.0.1:1"], "duration"`, "3", "referees[0]", "10.0.0.1"},
		{`"apiKey": "k"`, `"apiKey": ""`, "6", "classes[0].apiKey", `""`},
		{`"apiKey": "k"`, `"apiKey": "k", "priority": "urgent"`, "6", "classes[0].priority", "urgent"},
		{`"poisson": {"perSecond": 5},`, "", "5", "classes[0]", "no arrival process"},
		{`"perSecond": 5`, `"perSecond": -5`, "6", "classes[0].poisson.perSecond", "-5"},
		{`"poisson"`, `"bursts": {"size": 1, "every": "1s", "spread": "2s"}, "poisson"`, "6", "classes[0].bursts.spread", "2s"},
		{`"poisson"`, `"streamShare": 1.5, "poisson"`, "6", "classes[0].streamShare", "1.5"},
		{`"poisson"`, `"maxTokens": {"min": 5, "max": 4}, "poisson"`, "6", "classes[0].maxTokens", "5 to 4"},
		{`"poisson"`, `"timeout": "1ms", "poisson"`, "6", "classes[0].timeout", "1ms"},
		{`["m"]`, `["n"]`, "7", "classes[0].calls[0].models[0]", `"n"`},
		{`["m"]`, `["m"], "service": "s"`, "7", "classes[0].calls[0]", "neither or both"},
		{`"/p"`, `"p"`, "7", "classes[0].calls[1].path", `"p"`},
		{`"path"`, `"method": "HEAD", "path"`, "7", "classes[0].calls[1].method", "HEAD"},
	} {
		_, err := ParsePlan("plan.json", []byte(planText(c.old, c.replacement)))
		var problems settings.Problems
		if !errors.As(err, &problems) || problems.Code() != code.BadSettings {
			t.Errorf("%s: got %v, wanted problems", c.replacement, err)
			continue
		}
		first := problems[0]
		if first.Field != c.field || !strings.Contains(first.Got, c.got) || fmt.Sprint(first.Line) != c.line {
			t.Errorf("%s: got %v, wanted line %s, %s: %s", c.replacement, first, c.line, c.field, c.got)
		}
	}
	if _, err := ParsePlan("plan.json", []byte(planText("", ""))); err != nil {
		t.Error(err)
	}
}
