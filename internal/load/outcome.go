package load

import (
	"fmt"
	"time"

	"nutmeglane.example/nutmeglane/internal/code"
)

// Outcome is how a request ended from the caller's view. Besides the constants,
// it is "CODE Name" for an answer with an error code and "http STATUS" for an
// error answer without one.
type Outcome string

// The outcomes.
const (
	// OutcomeOK is a complete and correct answer.
	OutcomeOK Outcome = "ok"
	// OutcomeFaulty is a wrong or missing answer; see Fault.
	OutcomeFaulty Outcome = "faulty"
	// OutcomeCancelled is a request that the caller cancelled as planned.
	OutcomeCancelled Outcome = "cancelled"
	// OutcomeBroken is a service's answer whose connection was closed before
	// its end, which is how the entry signals a failure after the headers.
	OutcomeBroken Outcome = "broken"
	// OutcomeSlow is an answer that a slow reader did not finish reading by
	// its deadline.
	OutcomeSlow Outcome = "slow reader late"
	// OutcomeStopped is a request that was still open when the run was
	// stopped.
	OutcomeStopped Outcome = "stopped"
)

// Fault is a kind of incorrect behaviour that must never occur.
type Fault string

// The faults.
const (
	// FaultLost is a request whose answer did not arrive or did not end within
	// its timeout and the grace period, or whose connection ended without an
	// answer.
	FaultLost Fault = "lost"
	// FaultDoubled is an answer with a repeated part, or a call that must run
	// at most once but ran more often according to a referee.
	FaultDoubled Fault = "doubled"
	// FaultCrossed is an answer with text that belongs to another request.
	FaultCrossed Fault = "crossed"
	// FaultCut is a completion that broke off without an error code, or an
	// answer that ended as complete but lacks a part.
	FaultCut Fault = "cut"
	// FaultUntrueRefusal is a request refused as not run that ran according
	// to a referee.
	FaultUntrueRefusal Fault = "untrue refusal"
	// FaultLateRefusal is a refusal after Plan.RefusalLimit.
	FaultLateRefusal Fault = "late refusal"
	// FaultNoRetryAfter is a refusal that lacks a Retry-After header.
	FaultNoRetryAfter Fault = "no retry-after"
)

// Faults lists all kinds of fault in the order in which reports print them.
var Faults = []Fault{
	FaultLost, FaultDoubled, FaultCrossed, FaultCut,
	FaultUntrueRefusal, FaultLateRefusal, FaultNoRetryAfter,
}

// finding is one detected fault and its description.
type finding struct {
	fault  Fault
	detail string
}

// result is the result of one request. Times are relative to the start of the
// run.
type result struct {
	*arrival
	sent, end time.Duration
	// firstToken is 0 if no token arrived or the answer was not streamed.
	firstToken time.Duration
	gaps       []time.Duration
	tokens     int
	outcome    Outcome
	refused    bool
	// key and requestID are the names under which referees count the request.
	key, requestID string
	findings       []finding
}

// latency returns the time from the intended send time to at. If the generator
// sent a request late because others delayed it, the delay is part of what the
// caller would see.
func (r *result) latency(at time.Duration) time.Duration { return at - r.at }

func (r *result) fault(addFault Fault, format string, args ...any) {
	r.findings = append(r.findings, finding{addFault, fmt.Sprintf(format, args...)})
	switch addFault {
	case FaultLost, FaultDoubled, FaultCrossed, FaultCut:
		r.outcome = OutcomeFaulty
	}
}

// markOK sets the outcome to OutcomeOK unless a fault was found.
func (r *result) markOK() {
	if len(r.findings) == 0 {
		r.outcome = OutcomeOK
	}
}

// good reports whether the caller got a correct answer within its timeout,
// measured from the intended time.
func (r *result) good() bool {
	return r.outcome == OutcomeOK && r.latency(r.end) <= time.Duration(r.class.Timeout)
}

func codeOutcome(c code.Code) Outcome { return Outcome(fmt.Sprintf("%d %s", int(c), c)) }
