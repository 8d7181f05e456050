package explain

import (
	"strings"
	"testing"
)

const permitLines = `
{"time":"2026-02-07T01:22:24.000Z","msg":"request refused a permit; its account has its share","host":"front-1","request":"a1","account":"large","model":"m7","instance":"i-9","rank":0,"room_in":"180ms"}
{"time":"2026-02-07T01:22:24.200Z","msg":"request refused a permit; its account has its share","host":"front-1","request":"a1","account":"large","model":"m7","instance":"i-9","rank":0,"room_in":"90ms"}
{"time":"2026-02-07T01:22:24.387Z","msg":"request served","host":"front-1","request":"a1","model":"m7","instance":"i-9","attempts":1,"first":"306ms","took":"344ms"}
{"time":"2026-02-07T01:22:25.000Z","msg":"request refused a permit; its account has its share","host":"front-1","request":"a2","account":"large","instance":"i-9","rank":0,"room_in":"2s"}
{"time":"2026-02-07T01:22:25.001Z","msg":"request ended without a server's answer","host":"front-1","request":"a2","account":"large","code":2016,"name":"AtLimit","reason":"its account has its share of the requests that i-9 takes","retry_after":"2.1s","took":"4ms"}
{"time":"2026-02-07T01:22:26.000Z","msg":"request refused a permit; more urgent requests go first","host":"front-1","request":"a3","instance":"i-9","rank":2,"room_in":"200ms"}
{"time":"2026-02-07T01:22:26.010Z","msg":"request refused a permit; more urgent requests go first","host":"front-1","request":"a3","instance":"i-4","rank":2,"room_in":"200ms"}
{"time":"2026-02-07T01:22:31.000Z","msg":"caller left","host":"front-1","request":"a3","took":"5s"}
`

// Guards against an explanation that does not say that a request waited, or was refused, for its
// account's share or for more urgent requests.
func TestRefusedPermitsAreExplained(t *testing.T) {
	var l Log
	if err := l.Read(strings.NewReader(permitLines)); err != nil {
		t.Fatal(err)
	}
	for id, want := range map[string]string{
		"a1": "served by i-9, first event after 306ms; it was delayed because its client account had its share at i-9",
		"a2": "ended with AtLimit after 4ms: its account has its share of the requests that i-9 takes; it was refused a permit because its client account had its share at i-9",
		"a3": "the caller left after 5s; it was refused a permit because more urgent requests went first at i-9, i-4",
	} {
		explanation := l.Explain(id)
		if got := explanation.Cause(); got != want {
			t.Errorf("%s: %q, want %q", id, got, want)
		}
	}
}
