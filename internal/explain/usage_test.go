package explain

import (
	"fmt"
	"strings"
	"testing"
)

// A restarted loader resets its totals. Guards against a summary that loses the
// totals of the run before the restart; percentiles of cold starts are checked too.
func TestUsageAcrossLoaderRestart(t *testing.T) {
	var log Log
	lines := ""
	for i := range 100 {
		lines += fmt.Sprintf(`{"time":"2026-01-01T00:00:%02dZ","msg":"request served","host":"r1","cold":"disk","first":"%dms"}`+"\n", i%60, 10*(i+1))
	}
	lines += `{"time":"2026-01-01T00:00:01Z","msg":"request served","host":"r1","cold":"","first":"5ms"}
{"time":"2026-01-01T00:00:10Z","msg":"engine use","host":"l1","models":"30s","models_idle":"10s","engine":"10s","engine_idle":"5s"}
{"time":"2026-01-01T00:00:20Z","msg":"engine use","host":"l1","models":"60s","models_idle":"20s","engine":"20s","engine_idle":"10s"}
{"time":"2026-01-01T00:00:21Z","msg":"loader starting","host":"l1"}
{"time":"2026-01-01T00:00:31Z","msg":"engine use","host":"l1","models":"20s","models_idle":"0s","engine":"10s","engine_idle":"0s"}
`
	if err := log.Read(strings.NewReader(lines)); err != nil {
		t.Fatal(err)
	}
	usage := log.Usage()
	var out strings.Builder
	if err := usage.Write(&out); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"disk             100       500ms  950ms  990ms", "models   80       20    0.25", "engines  30       10    0.33"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("%q is missing in\n%s", want, out.String())
		}
	}
}
