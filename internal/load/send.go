package load

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/engine/engineapi"
)

// Causes with which the client cancels a request.
var (
	errLost      = errors.New("the answer did not end within the timeout and the grace period")
	errCancelled = errors.New("the caller cancelled the request as planned")
	errStopped   = errors.New("the run was stopped")
)

// maxRefusalBytes limits the bytes read of a refusal's body.
const maxRefusalBytes = 64 << 10

// sender sends requests and checks their answers.
type sender struct {
	plan      *Plan
	runID     string
	transport http.RoundTripper
	start     time.Time
}

func (s *sender) now() time.Duration { return time.Since(s.start) }

// send sends a request and reads and checks its answer.
func (s *sender) send(ctx context.Context, a *arrival) *result {
	r := &result{arrival: a, sent: s.now()}
	if a.keyed {
		r.key = a.uniqueName(s.runID)
	}
	limit := time.Duration(a.class.Timeout + s.plan.Grace)
	ctx, release := context.WithTimeoutCause(ctx, limit, errLost)
	defer release()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if a.cancel {
		timer := time.AfterFunc(time.Duration(a.class.CancelAfter), func() { cancel(errCancelled) })
		defer timer.Stop()
	}
	response, err := s.roundTrip(ctx, a)
	if err != nil {
		r.end = s.now()
		s.classifyEnd(ctx, r, FaultLost, err)
		return r
	}
	defer func() { _ = response.Body.Close() }()
	r.requestID = response.Header.Get(engineapi.HeaderRequestID)
	s.read(ctx, r, response)
	r.end = s.now()
	s.checkRefusalTime(r)
	return r
}

// roundTrip tries the targets in turn until a connection succeeds. A request that
// was sent, even in part, is not sent again.
func (s *sender) roundTrip(ctx context.Context, a *arrival) (*http.Response, error) {
	var last error
	for i := range s.plan.Targets {
		target := s.plan.Targets[(a.number+i)%len(s.plan.Targets)]
		request, err := a.newRequest(ctx, target, s.runID)
		if err != nil {
			return nil, err
		}
		response, err := s.transport.RoundTrip(request)
		if err == nil {
			return response, nil
		}
		last = err
		var op *net.OpError
		if !errors.As(err, &op) || op.Op != "dial" {
			break
		}
	}
	return nil, last
}

// classifyEnd sets the outcome of a request that failed because the client
// cancelled it or because its connection failed. A connection failure is
// recorded as fault.
func (s *sender) classifyEnd(ctx context.Context, r *result, fault Fault, err error) {
	cause := context.Cause(ctx)
	switch {
	case errors.Is(cause, errCancelled):
		r.outcome = OutcomeCancelled
	case errors.Is(cause, errStopped):
		r.outcome = OutcomeStopped
	case r.slow && r.end-r.sent >= time.Duration(r.class.Timeout):
		r.outcome = OutcomeSlow
	case cause != nil:
		r.fault(FaultLost, "%v", errLost)
	default:
		r.fault(fault, "%v", err)
	}
}

// read reads and checks an answer whose headers have arrived.
func (s *sender) read(ctx context.Context, r *result, response *http.Response) {
	if response.Header.Get(headerCode) != "" {
		if err := s.readRefusal(r, response); err != nil {
			r.end = s.now()
			s.classifyEnd(ctx, r, FaultCut, err)
		}
		return
	}
	if response.StatusCode != http.StatusOK {
		r.outcome = Outcome("http " + strconv.Itoa(response.StatusCode))
		return
	}
	var body io.Reader = response.Body
	if r.slow {
		body = &slowReader{ctx: ctx, from: body, pause: time.Duration(r.class.SlowPause)}
	}
	broken := s.readBody(r, body)
	if broken == nil {
		return
	}
	r.end = s.now()
	if r.call.Service != "" && context.Cause(ctx) == nil {
		r.outcome = OutcomeBroken
		return
	}
	s.classifyEnd(ctx, r, FaultCut, broken)
}

// readBody returns an error if the answer broke off.
func (s *sender) readBody(r *result, body io.Reader) error {
	switch {
	case r.call.Service != "":
		return s.readEcho(r, body)
	case r.stream:
		return s.readStream(r, body)
	default:
		return s.readWhole(r, body)
	}
}

// readRefusal returns an error if the refusal broke off.
func (s *sender) readRefusal(r *result, response *http.Response) error {
	number, err := strconv.Atoi(response.Header.Get(headerCode))
	if err != nil {
		r.fault(FaultCrossed, "malformed %s", headerCode)
		return nil
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxRefusalBytes))
	r.outcome = codeOutcome(code.Code(number))
	r.checkBodyID(body)
	r.refused = response.Header.Get(headerNotRun) == "true"
	if r.refused && wantsRetryAfter(code.Code(number)) && response.Header.Get(headerRetryAfter) == "" {
		r.fault(FaultNoRetryAfter, "%s", codeOutcome(code.Code(number)))
	}
	return err
}

// wantsRetryAfter reports whether the same request may succeed later.
func wantsRetryAfter(c code.Code) bool {
	return c >= code.DeadlineUnmet && c < code.OutcomeUnknown && c != code.DuplicateKey && c != code.Cancelled
}

// refusalSlack is the time that a refusal sent at the deadline may take to
// arrive.
const refusalSlack = 50 * time.Millisecond

// checkRefusalTime adds a fault if a refusal arrived too late. It measures from
// the actual sending, because the system isn't responsible for delays of the
// generator.
func (s *sender) checkRefusalTime(r *result) {
	limit := time.Duration(s.plan.RefusalLimit)
	if limit == 0 {
		limit = time.Duration(r.class.Timeout) + refusalSlack
	}
	if took := r.end - r.sent; r.refused && took > limit {
		r.fault(FaultLateRefusal, "%s after %v, limit %v", r.outcome, took.Round(time.Millisecond), limit)
	}
}

// slowReadBytes is the maximum size of one read of a slow reader.
const slowReadBytes = 512

// slowReader pauses before each read.
type slowReader struct {
	ctx   context.Context
	from  io.Reader
	pause time.Duration
}

// Read implements io.Reader.
func (s *slowReader) Read(into []byte) (int, error) {
	timer := time.NewTimer(s.pause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-s.ctx.Done():
		return 0, s.ctx.Err()
	}
	return s.from.Read(into[:min(len(into), slowReadBytes)])
}
