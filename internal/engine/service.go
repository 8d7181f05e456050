package engine

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/framing"
	"nutmeglane.example/nutmeglane/internal/sse"
)

const (
	// maxChunk is the maximum size in bytes of one chunk of a service's answer.
	maxChunk = 32 << 10
	// maxEvent is the size in bytes of an unfinished event beyond which its
	// stream fails: it is kept in memory until it is complete.
	maxEvent = 4 << 20
)

// errEventTooLarge ends a run whose stream has an event larger than maxEvent.
var errEventTooLarge = errors.New("the stream has an event that is too large")

// copyService posts a service's answer in chunks. While the run is paused, the
// answer is not read, so that at most one chunk, an unfinished event and the
// socket buffers hold data of it.
func (r *run) copyService(ctx context.Context, response *http.Response) error {
	head := core.RunProgress{Kind: core.FrameHead, Status: response.StatusCode}
	head.Header = endToEnd(response.Header)
	r.post(head)
	if isEventStream(response) {
		return r.copyEvents(ctx, response)
	}
	return r.copyBody(ctx, response.Body)
}

// isEventStream reports whether a successful answer consists of server-sent
// events that can be read here.
func isEventStream(response *http.Response) bool {
	success := response.StatusCode >= 200 && response.StatusCode < 300
	encoding := response.Header.Get("Content-Encoding")
	return success && (encoding == "" || strings.EqualFold(encoding, "identity")) &&
		sse.IsMediaType(response.Header.Get("Content-Type"))
}

// copyBody posts an answer that is complete if its framing says so.
func (r *run) copyBody(ctx context.Context, body io.Reader) error {
	buffer := make([]byte, maxChunk)
	for {
		n, err := body.Read(buffer)
		if waitErr := r.gate.wait(ctx); waitErr != nil {
			return waitErr
		}
		r.postChunks(buffer[:n])
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "read answer")
		}
	}
}

// copyEvents posts the complete events of a stream as they arrive.
//
// It guards against a stream that breaks off inside an event and is passed on as
// complete, because its connection was closed as after a complete one. Nothing
// of an unfinished event is posted: with a length, the caller would otherwise
// have all the bytes that it expects.
func (r *run) copyEvents(ctx context.Context, response *http.Response) error {
	events := &sse.Scanner{}
	buffer := make([]byte, maxChunk)
	for {
		n, err := response.Body.Read(buffer)
		if waitErr := r.gate.wait(ctx); waitErr != nil {
			return waitErr
		}
		r.postChunks(events.Feed(buffer[:n]))
		switch {
		case errors.Is(err, io.EOF):
			return r.endEvents(events, framing.Of(response))
		case err != nil:
			return errors.Wrap(err, "read answer")
		case len(events.Remainder()) > maxEvent:
			return errEventTooLarge
		}
	}
}

// endEvents posts what follows the last event of a complete stream. It returns an
// error if the stream is not complete.
func (r *run) endEvents(events *sse.Scanner, kind framing.Kind) error {
	if err := events.Incomplete(kind); err != nil {
		return errors.Wrap(err, "read answer")
	}
	r.postChunks(events.Remainder())
	return nil
}

// postChunks posts data in frames of at most maxChunk bytes.
func (r *run) postChunks(data []byte) {
	for chunk := range slices.Chunk(data, maxChunk) {
		r.post(core.RunProgress{Kind: core.FrameData, Count: 1, Payload: bytes.Clone(chunk)})
	}
}
