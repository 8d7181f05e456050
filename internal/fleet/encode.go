package fleet

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// maxConfigBytes is the largest decompressed size of a configuration received from another
// process: far above the platform's largest value (1 MB).
const maxConfigBytes = 16 << 20

// EncodeConfig encodes a configuration for other processes as compressed CBOR. A
// configuration of 184 models and 16 accounts takes a seventh of the platform's text.
func EncodeConfig(config *Config) ([]byte, error) {
	data, err := cbor.Marshal(config)
	if err != nil {
		return nil, errors.Wrap(err, "encode configuration")
	}
	var packed bytes.Buffer
	writer, err := flate.NewWriter(&packed, flate.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "compress configuration")
	}
	_, _ = writer.Write(data) // a bytes.Buffer returns no write errors
	if err := writer.Close(); err != nil {
		return nil, errors.Wrap(err, "compress configuration")
	}
	return packed.Bytes(), nil
}

// DecodeConfig decodes the result of EncodeConfig.
func DecodeConfig(packed []byte) (*Config, error) {
	reader := flate.NewReader(bytes.NewReader(packed))
	data, err := io.ReadAll(io.LimitReader(reader, maxConfigBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "unpack configuration")
	}
	if len(data) > maxConfigBytes {
		return nil, errors.Newf("decompressed configuration exceeds %d bytes", maxConfigBytes)
	}
	config := &Config{}
	if err := cbor.Unmarshal(data, config); err != nil {
		return nil, errors.Wrap(err, "decode configuration")
	}
	return config, nil
}
