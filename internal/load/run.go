package load

import (
	"context"
	"crypto/rand"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Options are the parameters of a run that are not part of its plan.
type Options struct {
	// Progress receives a progress line each second. Optional.
	Progress io.Writer
	// Transport sends the requests. Default: a transport that keeps up to
	// Plan.MaxOpen connections.
	Transport http.RoundTripper
	// RunID makes idempotency keys and tokens unique across runs. Default: a
	// random text.
	RunID string
}

// Run executes a plan. It returns when all requests have ended, or soon after
// ctx ended with the measurements up to then. It returns an error if the plan is
// invalid or a referee can't be read. If the second reading of the referees
// fails, after the run, the summary is returned with the error. Detected faults
// are not errors; see Summary.Faults.
func Run(ctx context.Context, plan Plan, opts Options) (*Summary, error) {
	if err := plan.Check(); err != nil {
		return nil, err
	}
	if opts.RunID == "" {
		opts.RunID = rand.Text()
	}
	if opts.Transport == nil {
		transport := newTransport(plan.MaxOpen)
		defer transport.CloseIdleConnections()
		opts.Transport = transport
	}
	before, err := readReferees(ctx, opts.Transport, plan.Referees)
	if err != nil {
		return nil, err
	}
	arrivals, more := drawArrivals(&plan)
	r := &runner{
		plan: &plan, opts: opts, arrivals: arrivals, more: more,
		record: newRecorder(&plan), slots: make(chan struct{}, plan.MaxOpen),
	}
	r.started = time.Now()
	r.sender = &sender{plan: &plan, runID: opts.RunID, transport: opts.Transport, start: r.started}
	r.run(ctx)
	return r.summarize(ctx, before)
}

// runner holds the state of one run.
type runner struct {
	plan     *Plan
	opts     Options
	arrivals []arrival
	// more reports that MaxRequests left out arrivals.
	more    bool
	started time.Time
	elapsed time.Duration
	sender  *sender
	record  *recorder
	slots   chan struct{}
	sent    atomic.Int64
	// delayed counts the arrivals that waited because of MaxOpen. unsent
	// counts those of them that were never sent.
	delayed, unsent int
	stopped         bool
}

// run sends all arrivals and waits until they have ended. When parent ends, it
// sends no more and cancels the open requests.
func (r *runner) run(parent context.Context) {
	ctx, stop := context.WithCancelCause(context.WithoutCancel(parent))
	defer stop(nil)
	defer context.AfterFunc(parent, func() { stop(errStopped) })()
	progress := r.startProgress()
	defer progress()
	var open sync.WaitGroup
	for i := range r.arrivals {
		if !r.await(ctx, &r.arrivals[i]) {
			break
		}
		a := &r.arrivals[i]
		if !r.acquire(ctx, a) {
			continue
		}
		r.sent.Add(1)
		open.Go(func() {
			defer func() { <-r.slots }()
			r.record.add(r.sender.send(ctx, a))
		})
	}
	open.Wait()
	r.stopped = ctx.Err() != nil
	r.elapsed = time.Since(r.started)
}

// await waits for the intended time of an arrival. It returns false if the run
// was stopped.
func (r *runner) await(ctx context.Context, a *arrival) bool {
	wait := a.at - time.Since(r.started)
	if wait <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// acquire waits until fewer than MaxOpen requests are open, at most for the
// timeout of the arrival. It returns false if the arrival is not to be sent.
func (r *runner) acquire(ctx context.Context, a *arrival) bool {
	select {
	case r.slots <- struct{}{}:
		return true
	default:
	}
	r.delayed++
	timer := time.NewTimer(a.at + time.Duration(a.class.Timeout) - time.Since(r.started))
	defer timer.Stop()
	select {
	case r.slots <- struct{}{}:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	r.unsent++
	return false
}

// summarize reads the referees after the grace period, so that they also count a
// call that was refused and still started late.
func (r *runner) summarize(ctx context.Context, before []*refereeReport) (*Summary, error) {
	if len(before) == 0 {
		return r.summary(nil, 0), nil
	}
	ctx = context.WithoutCancel(ctx)
	time.Sleep(time.Duration(r.plan.Grace))
	after, err := readReferees(ctx, r.opts.Transport, r.plan.Referees)
	if err != nil {
		return r.summary(nil, 0), err
	}
	w := newRefereeCheck(before, after)
	unclaimed := r.record.checkClaims(w)
	return r.summary(&w.change, unclaimed), nil
}
