package explain

import (
	"strings"
	"testing"
)

// Durations must be rounded to 1 ms: nanosecond digits make the lines hard to read.
func TestDurationsAreRounded(t *testing.T) {
	var b strings.Builder
	l := Log{}
	if err := l.Read(strings.NewReader(`{"time":"2026-02-07T01:22:24.067Z","msg":"request served","host":"h","request":"a","took":"2.344969185s"}`)); err != nil {
		t.Fatal(err)
	}
	explanation := l.Explain("a")
	if err := explanation.Write(&b); err != nil {
		t.Fatal(err)
	}
	if want := "  01:22:24.067  h  request served  request=a  took=2.345s\n"; !strings.Contains(b.String(), want) {
		t.Errorf("got %q, want a line %q", b.String(), want)
	}
}
