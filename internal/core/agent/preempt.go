package agent

import (
	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
)

// maxPreemptions limits how often one job is preempted, because the engine has
// to process the prompt again each time.
const maxPreemptions = 3

// preemptRuns cancels running jobs so that waiting interactive jobs can run.
// Otherwise, when batch work or the requests of one client account use the full
// concurrency of a replica, an urgent interactive request would wait until one
// of these runs ends. A batch run, or else a run of a client account above its
// share, is cancelled at the engine and later resumed from the last token
// received; its caller sees a pause. Only runs that may be repeated are
// preempted, and a job that ran is never refused as not run.
func (p *Part) preemptRuns(s *slot) {
	if s.service || len(s.running) < p.concurrency(s) {
		return
	}
	preempting := 0
	for _, j := range s.running {
		if j.preempting {
			preempting++
		}
	}
	for j := p.preemptionVictim(s, preempting); j != nil; j = p.preemptionVictim(s, preempting) {
		j.preempting = true
		preempting++
		p.count(yieldsTotal)
		p.emit(core.CancelRun{Attempt: j.attempt()})
	}
}

// preemptible reports whether the job can be cancelled at the engine and
// resumed later.
func (j *job) preemptible() bool {
	return j.start.Idempotent && j.start.Key == "" && !j.cancelled && !j.cut && j.preemptions < maxPreemptions
}

// occupied returns the number of running requests whose capacity a new request
// of the class can't take over at once.
func (s *slot) occupied(c class) int {
	n := len(s.running)
	if c != classInteractive || s.service {
		return n
	}
	for _, j := range s.running {
		if j.class == classBatch && j.preemptible() {
			n--
		}
	}
	return n
}

// preemptionVictim returns the running job to preempt, or nil: the batch job
// that started last, or else, if a client account below its share waits, the
// job that started last of those of client accounts above their share.
// preempting is the number of jobs that are being preempted already.
func (p *Part) preemptionVictim(s *slot, preempting int) *job {
	interactive := &s.ready.sets[classInteractive]
	if preempting >= interactive.count {
		return nil
	}
	if j := latestPreemptible(s.running, func(j *job) bool { return j.class == classBatch }); j != nil {
		return j
	}
	shares := p.runningShares(s)
	if shares.firstBelowShare(interactive, preempting) == nil {
		return nil
	}
	return latestPreemptible(s.running, func(j *job) bool { return shares[j.start.ClientAccount].above() })
}

func latestPreemptible(running []*job, fits func(*job) bool) *job {
	var found *job
	for _, j := range running {
		if j.preempting || !j.preemptible() || !fits(j) {
			continue
		}
		if found == nil || j.startedAt > found.startedAt ||
			j.startedAt == found.startedAt && j.order > found.order {
			found = j
		}
	}
	return found
}

// capacityShare compares the number of running jobs of a client account with
// the part of the concurrency limit that its weight gives it among the client
// accounts with running or waiting jobs, whose weights add up to total.
type capacityShare struct {
	running              int64
	weight, total, limit int64
}

// above reports whether the client account would still have its whole share with one
// run fewer.
func (s capacityShare) above() bool { return (s.running-1)*s.total >= s.weight*s.limit }

// below reports whether the client account would stay within its share with the
// promised runs and one more.
func (s capacityShare) below(promised int) bool {
	return (s.running+int64(promised)+1)*s.total <= s.weight*s.limit
}

// capacityShares holds the shares by client account.
type capacityShares map[string]capacityShare

// firstBelowShare returns the first flow in queue order whose client account is
// below its share and has more waiting jobs than promised, or nil.
func (s capacityShares) firstBelowShare(set *flowSet, promised int) *flow {
	var first *flow
	for _, f := range set.active.items {
		if f.jobs.len() <= promised || !s[f.account].below(promised) {
			continue
		}
		if first == nil || flowBefore(f, first) {
			first = f
		}
	}
	return first
}

// nextReady removes and returns the job to run next. A client account below its
// share goes first: otherwise the capacity that a preemption freed could go to
// the preempted job again.
func (p *Part) nextReady(s *slot) *job {
	interactive := &s.ready.sets[classInteractive]
	if interactive.active.len() > 1 {
		if f := p.runningShares(s).firstBelowShare(interactive, 0); f != nil {
			return interactive.popFrom(f)
		}
	}
	return s.ready.pop()
}

func (p *Part) runningShares(s *slot) capacityShares {
	shares := capacityShares{}
	for _, f := range s.ready.sets[classInteractive].active.items {
		shares[f.account] = capacityShare{weight: f.weight}
	}
	for _, j := range s.running {
		share := shares[j.start.ClientAccount]
		share.weight = j.weight
		if !j.preempting {
			share.running++
		}
		shares[j.start.ClientAccount] = share
	}
	var total int64
	for _, account := range core.SortedKeys(shares) {
		total += shares[account].weight
	}
	for _, account := range core.SortedKeys(shares) {
		share := shares[account]
		share.total, share.limit = total, int64(p.concurrency(s))
		shares[account] = share
	}
	return shares
}

// requeuePreempted queues a preempted job again.
func (p *Part) requeuePreempted(j *job) {
	j.preempting = false
	j.preemptions++
	j.state = jobWaiting
	j.start.ResumeFrom = j.answer.seq
	p.enqueue(j)
	if reason := p.drainReason(j.target.slot); reason != code.OK {
		p.failPreempted(j, reason)
	}
}

// failPreempted ends a preempted job that waits to be resumed. It is not
// refused, since a refusal states that the job did not run: the entry receives
// BackendFailed and may resume it on another host from the last token received.
func (p *Part) failPreempted(j *job, reason code.Code) {
	p.dequeue(j)
	j.state = jobEnded
	j.answer.code = code.BackendFailed
	if reason == code.DeadlinePassed {
		j.answer.code = code.TimedOut
	}
	j.start.Body = nil
	p.countCode(requestsTotal, j.answer.code)
	p.pumpAll(j)
	p.keepResult(j)
	p.markDirty(j.target.slot)
}
