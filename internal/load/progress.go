package load

import (
	"fmt"
	"time"
)

const progressInterval = time.Second

// startProgress writes a progress line each second until the returned function
// is called.
func (r *runner) startProgress() (stop func()) {
	if r.opts.Progress == nil {
		return func() {}
	}
	quit, ended := make(chan struct{}), make(chan struct{})
	ticker := time.NewTicker(progressInterval)
	go func() {
		defer close(ended)
		for {
			select {
			case <-ticker.C:
				_, _ = fmt.Fprintln(r.opts.Progress, r.progressLine())
			case <-quit:
				return
			}
		}
	}()
	return func() {
		ticker.Stop()
		close(quit)
		<-ended
	}
}

func (r *runner) progressLine() string {
	now := time.Since(r.started)
	sent := int(r.sent.Load())
	rec := r.record
	rec.mu.Lock()
	defer rec.mu.Unlock()
	return fmt.Sprintf("%4.0fs phase %s: sent %d of %d, open %d, ok %d, refused %d, other %d, faults %d",
		now.Seconds(), r.phaseName(now), sent, len(r.arrivals), sent-rec.done,
		rec.ok, rec.refused, rec.done-rec.ok-rec.refused, rec.faults)
}

// phaseName returns the name of the phase at a time, or "drain" after the last
// phase.
func (r *runner) phaseName(at time.Duration) string {
	end := time.Duration(0)
	for _, phase := range r.plan.phases() {
		end += time.Duration(phase.Duration)
		if at < end {
			return phase.Name
		}
	}
	return "drain"
}
