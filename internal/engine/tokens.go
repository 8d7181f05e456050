package engine

import (
	"bufio"
	"context"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/engine/engineapi"
)

const (
	// maxBatch limits the tokens in one frame and the tokens read ahead of the
	// frames posted.
	maxBatch = 64
	// maxLine is the maximum length of a token line in bytes.
	maxLine = 1 << 20
	// maxRefusal is the maximum length of a refusal body in bytes.
	maxRefusal = 1 << 16
)

// copyTokens posts the answer of a completion.
func (r *run) copyTokens(ctx context.Context, response *http.Response) error {
	if response.StatusCode != http.StatusOK {
		return refusalError(response)
	}
	r.post(core.RunProgress{Kind: core.FrameHead, Status: http.StatusOK})
	tokens := make(chan string, maxBatch)
	result := make(chan error, 1)
	go func() {
		defer close(tokens)
		result <- readTokens(ctx, response.Body, r.effect.ResumeFrom, tokens)
	}()
	// The request's context ends both goroutines, so the reader never
	// outlives this function.
	postErr := r.postTokens(ctx, tokens)
	readErr := <-result
	if postErr != nil {
		return postErr
	}
	return readErr
}

func refusalError(response *http.Response) error {
	var refusal engineapi.Refusal
	body := io.LimitReader(response.Body, maxRefusal)
	if err := json.NewDecoder(body).Decode(&refusal); err != nil {
		return errors.Wrap(err, "read refusal")
	}
	err := errors.Newf("engine refused: %s", string(refusal.Reason))
	switch refusal.Reason {
	case engineapi.ReasonNotLoaded, engineapi.ReasonDraining:
		return errors.Mark(err, errNotRun)
	}
	return err
}

// readTokens reads token lines up to the line with Done set.
//
// It guards against an engine that skips or repeats a token and against a stream
// that ends cleanly at the end of a line before the answer is complete. The
// caller would take a wrong or truncated answer as complete. The checks for
// consecutive indexes and for the Done line detect both.
func readTokens(ctx context.Context, body io.Reader, next uint64, tokens chan<- string) error {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxLine)
	for lines.Scan() {
		var token engineapi.Token
		if err := json.Unmarshal(lines.Bytes(), &token); err != nil {
			return errors.New("malformed token line")
		}
		if token.Index != next {
			return errors.Newf("got token %d, wanted %d", token.Index, next)
		}
		if token.Done {
			return nil
		}
		next++
		select {
		case tokens <- token.Text:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
	if err := lines.Err(); err != nil {
		return errors.Wrap(err, "read tokens")
	}
	return errors.New("answer ended without a Done line")
}

// postTokens posts the tokens that are available at the same time as one frame.
// It returns when the channel is closed. While the run is paused, it receives at
// most one token: the channel fills, the reader blocks, and TCP flow control
// throttles the engine.
func (r *run) postTokens(ctx context.Context, tokens <-chan string) error {
	for {
		var token string
		var ok bool
		select {
		case token, ok = <-tokens:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
		if !ok {
			return nil
		}
		if err := r.gate.wait(ctx); err != nil {
			return err
		}
		r.post(coalesce(token, tokens))
	}
}

// coalesce returns a data frame with the token and those already waiting in the
// channel, up to maxBatch.
func coalesce(token string, more <-chan string) core.RunProgress {
	frame := core.RunProgress{Kind: core.FrameData}
	for {
		frame.Count++
		frame.Payload = append(frame.Payload, token...)
		frame.Sizes = binary.AppendUvarint(frame.Sizes, uint64(len(token)))
		if frame.Count == maxBatch {
			return frame
		}
		var ok bool
		select {
		case token, ok = <-more:
		default:
		}
		if !ok {
			return frame
		}
	}
}
