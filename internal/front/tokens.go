package front

import (
	"encoding/binary"
	"encoding/json"
	"unicode/utf8"

	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
)

// forEachToken calls yield with each token of a data frame. It fails before the
// first call if the frame's sizes don't add up to its payload: tokens split at
// wrong offsets would otherwise pass as a valid answer.
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

// validSizes reports whether the frame's sizes match its payload and its token
// count.
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

// textJoiner converts tokens to valid UTF-8 text. A token may end within a
// character, whose parts JSON encoding would each replace by U+FFFD. Therefore an
// incomplete character is kept and prepended to the next token.
type textJoiner struct{ incomplete []byte }

// next returns the text up to the last complete character. It is valid until the
// next call.
func (j *textJoiner) next(token []byte) []byte {
	text := token
	if len(j.incomplete) > 0 {
		text = append(j.incomplete, token...)
	}
	cut := len(text) - incompleteTail(text)
	j.incomplete = append([]byte(nil), text[cut:]...)
	return text[:cut]
}

// rest returns the incomplete character at the end of an answer.
func (j *textJoiner) rest() []byte { return j.incomplete }

// incompleteTail returns the number of bytes of an incomplete character at the
// end of text.
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
// without escapes; copying them avoids the encoder's allocations.
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
