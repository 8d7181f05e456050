package config

import (
	"bytes"
	"compress/flate"
	"crypto/sha256"
	"encoding/hex"
	"io"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"nutmeglane.example/nutmeglane/internal/api"
	"nutmeglane.example/nutmeglane/internal/core"
)

// chunkCount is the number of chunks of a revision. With 42,000 adapters a
// chunk holds about 660 resources.
const chunkCount = 64

// Size limits of a chunk. A KV value holds at most a megabyte; chunks are
// stored there compressed.
const (
	maxPackedBytes   = 1_000_000
	maxUnpackedBytes = 16 << 20
)

// contentHash returns the hexadecimal SHA-256 of an uncompressed chunk, which
// is also its key: content with the expected hash is valid, whoever sent it.
func contentHash(chunk []byte) string {
	sum := sha256.Sum256(chunk)
	return hex.EncodeToString(sum[:])
}

// chunkOf returns the number of the chunk that holds a resource.
func chunkOf(key api.Key) int {
	return int(xxhash.Sum64String(key.String()) % chunkCount)
}

// encodeChunks encodes the chunks with the given numbers; resources holds all
// their resources. It stores their hashes in hashes and returns their content by
// hash.
func encodeChunks(resources []api.Resource, numbers []int, hashes []string) (map[string][]byte, error) {
	var groups [chunkCount][]api.Resource
	for _, r := range resources {
		i := chunkOf(r.Key())
		groups[i] = append(groups[i], r)
	}
	chunks := map[string][]byte{}
	for _, number := range numbers {
		chunk, err := api.EncodeDocument(groups[number])
		if err != nil {
			return nil, err
		}
		hashes[number] = contentHash(chunk)
		chunks[hashes[number]] = chunk
	}
	return chunks, nil
}

// assemble joins chunks, each a JSON array, into one document.
func assemble(hashes []string, chunks map[string][]byte) []byte {
	document := []byte{'['}
	for _, hash := range hashes {
		inner := bytes.TrimSuffix(bytes.TrimPrefix(chunks[hash], []byte{'['}), []byte{']'})
		if len(inner) == 0 {
			continue
		}
		if len(document) > 1 {
			document = append(document, ",\n"...)
		}
		document = append(document, inner...)
	}
	return append(document, ']')
}

// pack compresses a chunk for the KV service and for peers.
func pack(chunk []byte) []byte {
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.DefaultCompression)
	if err != nil {
		panic(err) // only if the level is out of range
	}
	_, _ = w.Write(chunk) // a bytes.Buffer never fails
	_ = w.Close()
	return b.Bytes()
}

// unpack returns the content of a packed chunk if it has the expected hash. A
// corrupted value fails to decompress or has another hash. The output is cut at
// maxUnpackedBytes, which bounds values that decompress to an excessive size.
func unpack(packed []byte, hash string) ([]byte, error) {
	limited := io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxUnpackedBytes)
	chunk, err := io.ReadAll(limited)
	if err != nil {
		return nil, errors.Wrap(err, "unpack chunk")
	}
	if got := contentHash(chunk); got != hash {
		return nil, errors.Newf("chunk has hash %s, wanted %s", got, hash)
	}
	return chunk, nil
}

// validHead reports whether a head can reference a configuration.
func validHead(head core.ConfigHead) bool {
	return head.Revision > 0 && len(head.Chunks) == chunkCount
}
