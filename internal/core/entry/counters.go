package entry

import (
	"strconv"

	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
)

// The part's metrics.
const (
	counterRequests core.Counter = "requests_total"
	counterAttempts core.Counter = "attempts_total"
	counterRetries  core.Counter = "retries_total"
	counterResumes  core.Counter = "stream_resumes_total"
	counterDropped  core.Counter = "frames_dropped_total"
	histogramHead   core.Counter = "request_head_seconds"
)

// Counters describes the metrics that the part emits.
func Counters() []core.CounterDef {
	return []core.CounterDef{
		{Name: counterRequests, Help: "Requests ended, by result code.", Labels: []string{"code"}},
		{Name: counterAttempts, Help: "Starts sent to agents.", Labels: []string{"kind"}},
		{Name: counterRetries, Help: "Requests sent again, by reason.", Labels: []string{"reason"}},
		{Name: counterResumes, Help: "Resumes sent on a new connection or after a gap."},
		{Name: counterDropped, Help: "Frames not delivered, by reason.", Labels: []string{"reason"}},
		{Name: histogramHead, Help: "Time from arrival to the answer's head, in seconds."},
	}
}

// Counts with fixed labels are built once because they are emitted for each request.
var (
	countModelStart   = counted(counterAttempts, "model")
	countServiceStart = counted(counterAttempts, "service")
	countResume       = counted(counterResumes)
	dropStaleAttempt  = counted(counterDropped, "dead attempt")
	dropDuplicate     = counted(counterDropped, "duplicate")
	dropGap           = counted(counterDropped, "gap")
	dropMalformed     = counted(counterDropped, "malformed")
)

func counted(name core.Counter, labels ...string) core.Effect {
	return core.Count{Name: name, Labels: labels, Add: 1}
}

// reason is why a request is sent again; it is a metric label.
type reason string

const (
	reasonRejected    reason = "rejected"
	reasonUnreachable reason = "unreachable"
	reasonNotStarted  reason = "not started"
	reasonLost        reason = "lost"
	reasonFailed      reason = "backend failed"
)

// endCounts caches the count effect of each result code.
type endCounts map[code.Code]core.Effect

func (c endCounts) of(result code.Code) core.Effect {
	effect := c[result]
	if effect == nil {
		effect = counted(counterRequests, strconv.Itoa(int(result)))
		c[result] = effect
	}
	return effect
}
