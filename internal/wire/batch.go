package wire

import (
	"github.com/cockroachdb/errors"

	"nutmeglane.example/nutmeglane/internal/core"
)

// maxBatch is the size in bytes at which a batch takes no further message. It
// also bounds how long a ping waits for the write in progress, unless a single
// larger message is being written.
const maxBatch = 64 << 10

// ErrBadMessage marks a batch that can't be decoded.
var ErrBadMessage = errors.New("wire: message can't be decoded")

// decodeBatch reads a CBOR sequence of messages. It returns either all of them
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
