package wire

import (
	"github.com/cockroachdb/errors"

	"nutmeglane.example/nutmeglane/internal/core"
)

// maxBatch is the maximum size in bytes of a batch of several messages. It also
// bounds how long a ping waits for the write in progress, except during the write
// of a single larger message.
const maxBatch = 64 << 10

// ErrBadMessage marks a batch that can't be decoded.
var ErrBadMessage = errors.New("wire: message can't be decoded")

// decodeBatch decodes a CBOR sequence of messages. It returns either all of them
// or an error that wraps ErrBadMessage.
func decodeBatch(data []byte) ([]core.Message, error) {
	var batch []core.Message
	for len(data) > 0 {
		message, rest, err := core.DecodeFirstMessage(data)
		if err != nil {
			return nil, errors.Mark(err, ErrBadMessage)
		}
		batch = append(batch, message)
		data = rest
	}
	return batch, nil
}
