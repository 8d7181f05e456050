package settings

import (
	"os"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"nutmeglane.example/nutmeglane/internal/code"
)

const (
	entryExample = "../../examples/settings/entry.json"
	agentExample = "../../examples/settings/agent.json"
)

// The example files must contain the default values of the code, so that the
// documented values stay correct.
func TestExamplesMatchDefaults(t *testing.T) {
	entry, err := LoadEntry(entryExample)
	if err != nil {
		t.Fatal(err)
	}
	wantEntry := DefaultEntry()
	required := cmpopts.IgnoreFields(Common{}, "Role", "Host", "Zone", "Operators", "Hosts.URL")
	if diff := cmp.Diff(wantEntry, entry, required, cmpopts.IgnoreFields(Entry{}, "Callers.Listen", "KV.URL")); diff != "" {
		t.Errorf("entry example (-default +example):\n%s", diff)
	}
	agent, err := LoadAgent(agentExample)
	if err != nil {
		t.Fatal(err)
	}
	wantAgent := DefaultAgent()
	if diff := cmp.Diff(wantAgent, agent, required,
		cmpopts.IgnoreFields(Agent{}, "Backend", "Peers.Listen", "Peers.Advertise")); diff != "" {
		t.Errorf("agent example (-default +example):\n%s", diff)
	}
	if _, err := LoadAgent(entryExample); err == nil {
		t.Error("an entry's settings were loaded as an agent's")
	}
}

func TestBadSettings(t *testing.T) {
	tests := []struct {
		name, file, old, new string
		// want lists the field of each problem; its line must name the field.
		want []string
	}{
		{"syntax", entryExample, `"role": "entry",`, `"role" "entry",`, []string{""}},
		{"no role", entryExample, `"role": "entry",`, ``, []string{"role"}},
		{"wrong role", entryExample, `"entry",`, `"gateway",`, []string{"role"}},
		{"unknown field", entryExample, `"timeout": "2s"`, `"timeOut": "2s"`, []string{"kv.timeOut"}},
		{"repeated field", entryExample, `"zone": "bern-a",`, `"zone": "bern-a", "zone": "olten",`, []string{"zone"}},
		{"host name, not IP", entryExample, `http://127.0.0.1:9101`, `http://localhost:9101`, []string{"kv.url"}},
		{"listen without IP", entryExample, `"127.0.0.1:8080"`, `":8080"`, []string{"callers.listen"}},
		{"open operators' address", entryExample, `"127.0.0.1:8081"`, `"0.0.0.0:8081"`, []string{"operators.token"}},
		{"duration as number", entryExample, `"interval": "5s"`, `"interval": 5`, []string{"hosts.interval"}},
		{"fraction", entryExample, `"queueLength": 1000`, `"queueLength": 10.5`, []string{"limits.queueLength"}},
		{"object for a value", entryExample, `"record": ""`, `"record": {}`, []string{"record"}},
		{"value for an object", entryExample, `"role": "entry",`, `"role": "entry", "log": 3,`, []string{"log", "log"}},
		{"margin under order validity", entryExample, `"tenureMargin": "2m"`, `"tenureMargin": "3s"`, []string{"timings.tenureMargin"}},
		{"lead over tenure", entryExample, `"unloadLead": "3m"`, `"unloadLead": "80m"`, []string{"timings.unloadLead"}},
		{"rare reports", entryExample, `"reportInterval": "10s"`, `"reportInterval": "20m"`,
			[]string{"timings.reportInterval", "timings.grace"}},
		{"no lease", entryExample, `"stewardLease": "15s"`, `"stewardLease": "0s"`,
			[]string{"kv.timeout", "timings.stewardLease"}},
		{"certificate without key", agentExample, `"tls": {"cert": "", "key": "", "ca": ""}`,
			`"tls": {"cert": "a.pem", "key": "", "ca": "c.pem"}`, []string{"peers.tls"}},
		{"peers without authority", agentExample, `"tls": {"cert": "", "key": "", "ca": ""}`,
			`"tls": {"cert": "a.pem", "key": "b.pem", "ca": ""}`, []string{"peers.tls.ca"}},
		{"open peers' address", agentExample, `"listen": "127.0.0.1:8090"`, `"listen": "10.0.0.1:8090"`, []string{"peers.tls"}},
		{"authority alone", agentExample, `"tls": {"cert": "", "key": "", "ca": ""}`,
			`"tls": {"cert": "", "key": "", "ca": "c.pem"}`, []string{"peers.tls.ca"}},
		{"two faults at once", entryExample, `"host": "entry-1",`, "\"host\": \"\",\n\"stopLimt\": \"1s\",",
			[]string{"host", "stopLimt"}},
		{"advertise every address", agentExample, `"advertise": "127.0.0.1:8090"`, `"advertise": "0.0.0.0:8090"`,
			[]string{"peers.advertise"}},
		{"unknown kind", agentExample, `"kind": "engine"`, `"kind": "motor"`, []string{"backend.kind"}},
		{"service without a name", agentExample, `"kind": "engine"`, `"kind": "service"`, []string{"backend.service"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			data, err := os.ReadFile(test.file)
			if err != nil {
				t.Fatal(err)
			}
			if !strings.Contains(string(data), test.old) {
				t.Fatalf("%s does not hold %s", test.file, test.old)
			}
			text := strings.Replace(string(data), test.old, test.new, 1)
			_, err = Parse(test.file, []byte(text))
			var problems Problems
			if !errors.As(err, &problems) {
				t.Fatalf("got %v, want Problems", err)
			}
			if diff := cmp.Diff(test.want, checkedFields(t, text, problems)); diff != "" {
				t.Errorf("problems (-want +got):\n%s\n%v", diff, err)
			}
		})
	}
}

// checkedFields returns the fields of the problems and checks their line numbers.
func checkedFields(t *testing.T, text string, problems Problems) []string {
	t.Helper()
	lines := strings.Split(text, "\n")
	var fields []string
	for _, p := range problems {
		fields = append(fields, p.Field)
		name := p.Field[strings.LastIndex(p.Field, ".")+1:]
		if p.Line > 0 && !strings.Contains(lines[p.Line-1], `"`+name+`"`) {
			t.Errorf("line %d does not hold %s", p.Line, p.Field)
		}
		if p.Line == 0 && strings.Contains(text, `"`+name+`":`) {
			t.Errorf("%s has no line", p.Field)
		}
	}
	return fields
}

// Guards against a settings file that was cut while it was written and that counts as one with
// the defaults for the rest.
func TestCutSettingsAreRefused(t *testing.T) {
	for _, file := range []string{entryExample, agentExample} {
		data, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		data = data[:strings.LastIndex(string(data), "}")+1]
		for cut := range data {
			if _, err := Parse(file, data[:cut]); err == nil {
				t.Fatalf("%s: its first %d of %d bytes are accepted", file, cut, len(data))
			}
		}
		if _, err := Parse(file, data); err != nil {
			t.Error(err)
		}
	}
}

// A settings file contains a malformed token, and the process writes the problem to
// a log that many can read. The token must not be part of the message.
func TestTokenIsNotShown(t *testing.T) {
	for _, token := range []string{`"hunter2"`, `["hunter2"]`, `{"hunter2": 1}`} {
		_, err := Parse("x", []byte(`{"role": "entry", "operators": {"token": `+token+`}}`))
		if err == nil || strings.Contains(err.Error(), "hunter2") {
			t.Errorf("token %s: error is %v", token, err)
		}
	}
}

func FuzzSettings(f *testing.F) {
	for _, file := range []string{entryExample, agentExample} {
		data, err := os.ReadFile(file)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Add([]byte(`{"role": "agent", "peers": {"listen": 1, "upgradeRate": 1e999}}`))
	f.Add([]byte(`{"role": "entry", "timings": {"tenure": "2562047h", "tenureMargin": "-1ns"}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		loaded, err := Parse("fuzz", data)
		var problems Problems
		if err != nil && (!errors.As(err, &problems) || problems.Code() != code.BadSettings) {
			t.Fatalf("error without Problems: %v", err)
		}
		if err == nil && !loaded.OperatorsListen().IsValid() {
			t.Fatal("settings without an address were accepted")
		}
	})
}
