package front

import (
	"encoding/binary"
	"encoding/json"
	"unicode/utf8"

	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
)

// eachToken calls yield with each token of a data frame. It fails, before any
// call, on a frame whose sizes don't add up to its payload: a token cut at the
// wrong byte would look like a whole answer.
func forEachToken(data core.RespondData, yield func([]byte)) error {
	if len(data.Sizes) == 0 && data.Count == 1 {
		yield(data.Payload)
		return nil
	}
	if !validSizes(data) {
		return answerError{code.BackendFailed}
	}
	sizes, payload := data.Sizes, data.Payload
	for len(sizes) > 0 {
		size, n := binary.Uvarint(sizes)
		yield(payload[:size])
		sizes, payload = sizes[n:], payload[size:]
	}
	return nil
}

func validSizes(data core.RespondData) bool {
	rest := uint64(len(data.Payload))
	count := uint32(0)
	for sizes := data.Sizes; len(sizes) > 0; count++ {
		size, n := binary.Uvarint(sizes)
		if n <= 0 || size > rest {
			return false
		}
		rest -= size
		sizes = sizes[n:]
	}
	return rest == 0 && count == data.Count
}

// textJoiner turns tokens into pieces of valid text. A token may end within a
// character; sent as it is, JSON encoding would replace both halves by U+FFFD
// and spoil the answer. The first half is held back for the next token.
type textJoiner struct{ incomplete []byte }

// next returns the text that is complete with this token. It is valid until
// the next call.
func (j *textJoiner) next(token []byte) []byte {
	text := token
	if len(j.incomplete) > 0 {
		text = append(j.incomplete, token...)
	}
	cut := len(text) - incompleteTail(text)
	j.incomplete = append([]byte(nil), text[cut:]...)
	return text[:cut]
}

// rest returns what is held back at the end of an answer.
func (j *textJoiner) rest() []byte { return j.incomplete }

// incompleteTail returns the length of a character's beginning at the end.
func incompleteTail(text []byte) int {
	for n := 1; n < utf8.UTFMax && n <= len(text); n++ {
		tail := text[len(text)-n:]
		if utf8.RuneStart(tail[0]) {
			if utf8.FullRune(tail) {
				return 0
			}
			return n
		}
	}
	return 0
}

// appendJSONString appends text as a JSON string. Most tokens are plain ASCII
// and need no escapes, which saves the encoder's allocations.
func appendJSONString(to, text []byte) []byte {
	for _, b := range text {
		if b < ' ' || b > '~' || b == '"' || b == '\\' {
			return appendEscaped(to, text)
		}
	}
	to = append(to, '"')
	to = append(to, text...)
	return append(to, '"')
}

func appendEscaped(to, text []byte) []byte {
	encoded, err := json.Marshal(string(text))
	if err != nil {
		panic(err) // a string always encodes
	}
	return append(to, encoded...)
}
