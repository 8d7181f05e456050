package core

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Header values may hold bytes that are not valid UTF-8, such as Latin-1 text. If
// the agent could not decode such a Start, it would close the connection and break
// the streams of all other callers on it.
func TestNonUTF8HeaderValueIsDecoded(t *testing.T) {
	want := Start{Method: "POST", Header: []HeaderKV{{Name: "X-Room", Value: "caf\xe9"}}}
	data, err := EncodeMessage(want)
	if err != nil {
		t.Fatal(err)
	}
	got, err := DecodeMessage(data)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(Message(want), got); diff != "" {
		t.Error(diff)
	}
}
