package front

import (
	"bytes"
	"crypto/rand"
	"net/http"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"nutmeglane.example/nutmeglane/internal/api"
	"nutmeglane.example/nutmeglane/internal/body"
	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
)

// incoming is one HTTP request that is being served.
type incoming struct {
	w       http.ResponseWriter
	r       *http.Request
	control *http.ResponseController
	opts    Options
	config  *configIndex
	id      core.RequestID
	account string
	arrived time.Time
	// body is the request's body, nil until it has been read.
	body *body.Body
}

func newIncoming(w http.ResponseWriter, r *http.Request, opts Options) *incoming {
	in := &incoming{
		w: w, r: r, control: http.NewResponseController(w), opts: opts, arrived: time.Now(),
	}
	_, _ = rand.Read(in.id[:]) // never returns an error: crypto/rand ends the process instead
	w.Header().Set(headerRequestID, in.id.String())
	in.setDeadlines(opts.DefaultTimeout)
	return in
}

// setDeadlines limits the time for reading the body and for writing the answer.
//
// Without deadlines, a caller whose connection stops carrying data would block
// the goroutine forever, while it reads the body or writes to a full send buffer.
// The buffered answer would stay in memory, and the request would never end in
// the reducer. After the deadline the read or write fails, which ends the request.
func (in *incoming) setDeadlines(timeout time.Duration) {
	// A writer without support for deadlines, such as a test recorder, can't block.
	_ = in.control.SetReadDeadline(in.arrived.Add(timeout))
	_ = in.control.SetWriteDeadline(in.arrived.Add(timeout + writeGrace))
}

func (in *incoming) checkMethod(methods ...string) *refusal {
	if slices.Contains(methods, in.r.Method) {
		return nil
	}
	return &refusal{code: code.BadMethod, allow: strings.Join(methods, ", ")}
}

func (in *incoming) authenticate() *refusal {
	scheme, key, _ := strings.Cut(in.r.Header.Get(headerAuthorization), " ")
	if !strings.EqualFold(scheme, "Bearer") {
		return &refusal{code: code.UnknownKey, field: headerAuthorization, message: `want "Bearer KEY"`}
	}
	account, ok := in.config.accountByKey(strings.TrimSpace(key))
	if !ok {
		return &refusal{code: code.UnknownKey, field: headerAuthorization}
	}
	in.account = account
	return nil
}

// readRequest reads the headers and the body and returns the event of the request,
// without the target and the fields that depend on it.
func (in *incoming) readRequest() (core.RequestArrived, *refusal) {
	arrived := core.RequestArrived{ID: in.id, ClientAccount: in.account, Method: in.r.Method}
	headers, refused := parseHeaders(in.r.Header, in.opts)
	if refused != nil {
		return arrived, refused
	}
	in.setDeadlines(headers.timeout)
	arrived.Key, arrived.Priority = headers.key, headers.priority
	arrived.Idempotent = headers.idempotent && headers.key == ""
	if arrived.Body, refused = in.readBody(); refused != nil {
		return arrived, refused
	}
	// The time that the caller takes to send the body counts against its timeout.
	arrived.Timeout = headers.timeout - time.Since(in.arrived)
	if arrived.Timeout <= 0 {
		return arrived, &refusal{code: code.DeadlinePassed}
	}
	return arrived, nil
}

// readBody reads the body, whose memory is released when the request has ended.
func (in *incoming) readBody() ([]byte, *refusal) {
	content, err := in.opts.Bodies.Read(in.w, in.r, in.opts.MaxBodyBytes)
	var refused *body.Refusal
	switch {
	case errors.As(err, &refused):
		return nil, &refusal{code: refused.Code, field: "body", retryAfter: refused.RetryAfter, unread: true}
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, &refusal{code: code.DeadlinePassed, field: "body"}
	case err != nil:
		return nil, &refusal{code: code.BadBody, field: "body"}
	}
	in.body = content
	// Clears the deadline: net/http keeps reading in the background to detect
	// that the caller disconnects, and would treat an expired deadline as that.
	_ = in.control.SetReadDeadline(time.Time{})
	return bytes.Join(content.Segments(), nil), nil
}

func (in *incoming) priority(arrived *core.RequestArrived) api.Priority {
	if arrived.Priority != "" {
		return arrived.Priority
	}
	return in.config.defaultPriority(arrived.Target)
}
