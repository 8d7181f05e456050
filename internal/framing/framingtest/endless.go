package framingtest

import (
	"io"
	"strings"
	"sync/atomic"
)

// Endless is a response that does not end: a start, and what follows it again and again.
type Endless struct{ Start, More string }

// endlessWrite is the approximate size of one write, in bytes.
const endlessWrite = 32 << 10

// Send writes the response until the other side closes, and adds the bytes that were written after
// the start to sent as it goes.
func (e Endless) Send(w io.Writer, sent *atomic.Int64) {
	if _, err := io.WriteString(w, e.Start); err != nil {
		return
	}
	part := strings.Repeat(e.More, 1+endlessWrite/len(e.More))
	for {
		n, err := io.WriteString(w, part)
		sent.Add(int64(n))
		if err != nil {
			return
		}
	}
}
