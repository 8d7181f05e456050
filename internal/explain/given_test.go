package explain

import (
	"strings"
	"testing"
)

const cutLines = `
{"time":"2026-02-07T01:22:25.500Z","level":"INFO","msg":"server was silent; the request goes on at another one","host":"front-1","request":"s1","model":"m7","instance":"i-3","other":"i-4","waited":"1.6s"}
{"time":"2026-02-07T01:22:25.501Z","level":"INFO","msg":"request ended without a server's answer","host":"front-1","request":"s1","model":"m7","code":3004,"name":"AnswerCut","reason":"the backend server refused it","retry_after":"0s","took":"1.7s","stage":"between attempts, answer begun","tried":["i-3 left: silent after 1.6s","i-4 refused after 9ms"],"since_stop":"700ms","deadline_in":"3.3s","events":4,"bytes":120,"silent_for":"1.21s"}
`

// Guards against a cut stream whose explanation does not tell a silent server from the end of the
// process or the deadline.
func TestCutStreamIsExplainedByWhatItsCallerHad(t *testing.T) {
	var l Log
	if err := l.Read(strings.NewReader(cutLines)); err != nil {
		t.Fatal(err)
	}
	explanation := l.Explain("s1")
	want := "ended with AnswerCut after 1.7s: the backend server refused it (between attempts, answer begun, events given: 4, " +
		"the last byte of a server 1.21s before, the process stopping for 700ms); before that i-3 was silent, and the request went on at i-4"
	if explanation.Cause() != want {
		t.Errorf("cause %q, want %q", explanation.Cause(), want)
	}
}
