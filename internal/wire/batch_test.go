package wire

import (
	"bytes"
	"testing"

	"nutmeglane.example/nutmeglane/internal/core"
)

func encodeBatch(t testing.TB, messages ...core.Message) []byte {
	var q queue
	for _, m := range messages {
		data, err := core.EncodeMessage(m)
		if err != nil {
			t.Fatal(err)
		}
		q.push(data)
	}
	return q.takeBatch(nil)
}

// FuzzBatch checks that no input makes decoding panic, and that accepted batches
// are unchanged after they are encoded and decoded again.
func FuzzBatch(f *testing.F) {
	f.Add([]byte{})
	f.Add([]byte{0x82, 0x01})
	f.Add([]byte{0x9f, 0x9f, 0x9f})
	f.Add(encodeBatch(f, core.Hello{Host: "a"}, core.Frame{Payload: []byte("x"), Sizes: []byte{1}}))
	f.Add(encodeBatch(f, core.Start{Header: []core.HeaderKV{{Name: "n", Value: "v"}}}, core.Cancel{}))
	f.Fuzz(func(t *testing.T, data []byte) {
		messages, err := decodeBatch(data)
		if err != nil {
			return
		}
		first := encodeBatch(t, messages...)
		again, err := decodeBatch(first)
		if err != nil || !bytes.Equal(first, encodeBatch(t, again...)) {
			t.Errorf("batch changed by encoding and decoding: %v", err)
		}
	})
}
