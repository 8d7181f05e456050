package engine

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"

	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/engine/engineapi"
)

// Causes with which a run ends.
var (
	errCancelled = errors.New("run cancelled")
	errTimedOut  = errors.New("run timed out")
	errClosed    = errors.New("executor closed")
	// errNotRun marks errors that prove that the backend server did not run
	// the request.
	errNotRun = errors.New("request did not run")
)

// run is one request sent to the backend server.
type run struct {
	effect core.Run
	exec   *Executor
	ctx    context.Context
	cancel context.CancelCauseFunc
	gate   *gate
}

// startRun starts a run. It registers the run before it returns, so that a
// CancelRun or PauseRun that follows immediately finds it. A second Run with the
// same attempt is ignored, because it would run the request twice; the first run
// posts the FrameEnd.
func (e *Executor) startRun(effect core.Run) {
	ctx, cancel := context.WithCancelCause(e.ctx)
	r := &run{effect: effect, exec: e, ctx: ctx, cancel: cancel, gate: newGate()}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed || e.runs[effect.Attempt] != nil {
		cancel(errClosed)
		return
	}
	e.runs[effect.Attempt] = r
	e.work.Go(r.do)
}

// do executes the request and posts its frames up to the FrameEnd.
func (r *run) do() {
	defer r.cancel(nil)
	ctx, cancel := context.WithTimeoutCause(r.ctx, r.effect.Timeout, errTimedOut)
	defer cancel()
	err := r.perform(ctx)
	result := endCode(ctx, err)
	r.exec.mu.Lock()
	delete(r.exec.runs, r.effect.Attempt)
	r.exec.mu.Unlock()
	r.post(core.RunProgress{Kind: core.FrameEnd, Code: result})
}

func (r *run) post(progress core.RunProgress) {
	progress.Attempt = r.effect.Attempt
	r.exec.post(progress)
}

// endCode returns the code for the end of a run.
func endCode(ctx context.Context, err error) code.Code {
	cause := context.Cause(ctx)
	switch {
	case err == nil:
		return code.OK
	case errors.Is(cause, errCancelled):
		return code.Cancelled
	case errors.Is(cause, errTimedOut):
		return code.TimedOut
	case errors.Is(err, errNotRun):
		return code.EngineNotLoaded
	default:
		return code.BackendFailed
	}
}

func (r *run) perform(ctx context.Context) error {
	request, err := r.request(ctx)
	if err != nil {
		return errors.Mark(err, errNotRun)
	}
	response, err := r.exec.client.Do(request)
	if err != nil {
		return markNotSent(err)
	}
	defer func() { _ = response.Body.Close() }()
	if r.effect.Target.Service != "" {
		return r.copyService(ctx, response)
	}
	return r.copyTokens(ctx, response)
}

// markNotSent marks a connection failure as errNotRun. Each request has its own
// connection (see newClient), so without one nothing was sent.
func markNotSent(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return errors.Mark(err, errNotRun)
	}
	return err
}

// request builds the HTTP request for a completion or a service call.
func (r *run) request(ctx context.Context) (*http.Request, error) {
	method, path := r.effect.Method, r.effect.Path
	if r.effect.Target.Service == "" {
		method, path = http.MethodPost, engineapi.PathCompletions
	}
	if path == "" || path[0] != '/' {
		path = "/" + path
	}
	body := bytes.NewReader(r.effect.Body)
	request, err := http.NewRequestWithContext(ctx, method, r.exec.opts.URL+path, body)
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	// An empty value keeps net/http from adding its default.
	request.Header.Set("User-Agent", "")
	addEndToEnd(request.Header, r.effect.Header)
	r.setRequestHeader(request.Header)
	return request, nil
}

func (r *run) setRequestHeader(header http.Header) {
	header.Set(engineapi.HeaderRequestID, r.effect.Attempt.Request.String())
	header.Set(engineapi.HeaderAttempt, strconv.FormatUint(uint64(r.effect.Attempt.Attempt), 10))
	header.Set(engineapi.HeaderPriority, string(r.effect.Priority))
	if r.effect.Target.Service != "" {
		return
	}
	header.Set(engineapi.HeaderKey, r.effect.Key)
	header.Set(engineapi.HeaderResumeFrom, strconv.FormatUint(r.effect.ResumeFrom, 10))
	header.Set("Content-Type", "application/json")
}
