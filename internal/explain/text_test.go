package explain

import (
	"strings"
	"testing"
)

// A duration of nanoseconds fills a line with digits that nobody needs.
func TestDurationsAreShort(t *testing.T) {
	var b strings.Builder
	l := Log{}
	if err := l.Read(strings.NewReader(`{"time":"2026-02-07T01:22:24.067Z","msg":"request served","host":"h","request":"a","took":"2.344969185s"}`)); err != nil {
		t.Fatal(err)
	}
	story := l.Explain("a")
	if err := story.Write(&b); err != nil {
		t.Fatal(err)
	}
	if want := "  01:22:24.067  h  request served  request=a  took=2.345s\n"; !strings.Contains(b.String(), want) {
		t.Errorf("got %q, want a line %q", b.String(), want)
	}
}
