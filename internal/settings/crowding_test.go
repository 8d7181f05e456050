package settings

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"

	"nutmeglane.example/nutmeglane/internal/code"
)

// routerText returns a router's settings with further fields.
func routerText(fields string) string {
	return fmt.Sprintf(`{
  "role": "router", "host": "r", "address": "10.0.0.1", "zone": "a", "callers": "10.0.0.1:1", "readiness": "10.0.0.1:2",
  "operators": "10.0.0.1:3", "loaderPort": 4, "store": "10.0.0.1:5",
  "bounds": {"drain": "2s", "configDelay": "2s", "retryRatio": 0.2, "retrySlack": 50, "retryWindow": "10s",
    "storeLoadWindow": "5s", "storeLoadSlack": 1.1},
  %s
}`, fields)
}

// Guards against a switch that is on although the settings leave it out.
func TestCrowdingSettings(t *testing.T) {
	tests := []struct {
		fields string
		want   Crowding
	}{
		{``, Crowding{}},
		{`"crowding": {}`, Crowding{}},
		{`"crowding": {"fromPause": "800ms", "budget": true}`, Crowding{FromPause: 800 * time.Millisecond, Budget: true}},
		{`"crowding": {"fromPause": "1s", "budget": false, "copyPlan": true, "runCopies": true}`,
			Crowding{FromPause: time.Second, CopyPlan: true, RunCopies: true}},
	}
	for _, test := range tests {
		loaded, err := Parse("x", []byte(routerText(test.fields)))
		if err != nil {
			t.Errorf("%s: %v", test.fields, err)
			continue
		}
		if diff := cmp.Diff(test.want, loaded.(*Router).Crowding); diff != "" {
			t.Errorf("%s (-want +got):\n%s", test.fields, diff)
		}
	}
}

// Guards against a router that starts without the protection because its block has a mistake.
func TestBadCrowdingSettings(t *testing.T) {
	tests := []struct{ fields, problem string }{
		{`"crowding": {"fromPause": "-1ms"}`, "crowding.fromPause"},
		{`"crowding": {"fromPause": "soon"}`, "crowding.fromPause"},
		{`"crowding": {"fromPause": 800}`, "crowding.fromPause"},
		{`"crowding": {"budget": "true"}`, "crowding.budget"},
		{`"crowding": {"budget": 1}`, "crowding.budget"},
		{`"crowding": {"budgets": true}`, "crowding.budgets"},
	}
	for _, test := range tests {
		_, err := Parse("x", []byte(routerText(test.fields)))
		var problems Problems
		if !errors.As(err, &problems) {
			t.Errorf("%s: got %v, want Problems", test.fields, err)
			continue
		}
		if problems.Code() != code.BadSettings || len(problems) != 1 || problems[0].Field != test.problem {
			t.Errorf("%s: problems %v, want one of %s", test.fields, problems, test.problem)
		}
	}
}
