package load

import (
	"fmt"
	"strings"
)

// compareText classifies the difference between the expected text and a text
// that ended as complete. It returns "" as the fault if they are equal.
func compareText(want, got string) (Fault, string) {
	if want == got {
		return "", ""
	}
	head := commonPrefix(want, got)
	tail := commonSuffix(want, got)
	extra := len(got) - len(want)
	switch {
	case extra < 0 && head+tail >= len(got):
		return FaultCut, fmt.Sprintf("%d of %d bytes missing at byte %d", -extra, len(want), min(head, len(got)))
	case extra > 0 && head+tail >= len(want) && repeats(got, head, extra):
		return FaultDoubled, fmt.Sprintf("%d bytes repeated at byte %d", extra, head)
	default:
		return FaultCrossed, fmt.Sprintf("wanted %q, got %q at byte %d", excerpt(want[head:]), excerpt(got[head:]), head)
	}
}

// repeats reports whether the n bytes at position at also occur before it.
func repeats(text string, at, n int) bool { return strings.Contains(text[:at], text[at:at+n]) }

func commonPrefix(a, b string) int {
	n := 0
	for n < len(a) && n < len(b) && a[n] == b[n] {
		n++
	}
	return n
}

func commonSuffix(a, b string) int {
	n := 0
	for n < len(a) && n < len(b) && a[len(a)-1-n] == b[len(b)-1-n] {
		n++
	}
	return n
}

// excerptBytes is the maximum length of a text quoted in a report.
const excerptBytes = 40

func excerpt(text string) string { return text[:min(len(text), excerptBytes)] }
