package agent

import (
	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
)

// maxYields bounds how often one job gives up its place, since each time the
// engine reads the prompt again.
const maxYields = 3

// yieldPlaces takes places from running jobs for the interactive ones that wait.
//
// Failure: the places are full of batch work, or of one client account's flood, and a
// wind advisory waits until one of these runs ends by itself. Guard: a batch
// run, else a run of a client account above its share, is broken off at the engine
// and goes on later from the token reached; its caller sees a pause. Only runs
// that may be repeated yield, and a job that ran is never refused as not run.
func (p *Part) yieldPlaces(s *slot) {
	if s.service || len(s.running) < p.concurrency(s) {
		return
	}
	yielding := 0
	for _, j := range s.running {
		if j.yielding {
			yielding++
		}
	}
	for j := p.yielder(s, yielding); j != nil; j = p.yielder(s, yielding) {
		j.yielding = true
		yielding++
		p.count(yieldsTotal)
		p.emit(core.CancelRun{Attempt: j.attempt()})
	}
}

// mayYield tells whether the job can be broken off and go on later.
func (j *job) mayYield() bool {
	return j.start.Idempotent && j.start.Key == "" && !j.cancelled && !j.cut && j.yields < maxYields
}

// taken counts the places that a newcomer of the class can't have at once.
func (s *slot) taken(c class) int {
	n := len(s.running)
	if c != classInteractive || s.service {
		return n
	}
	for _, j := range s.running {
		if j.class == classBatch && j.mayYield() {
			n--
		}
	}
	return n
}

// yielder returns the running job that gives up its place besides the number
// that do already, or nil: the batch job that began last, else the last of a
// client account above its share, if a client account below its own waits.
func (p *Part) yielder(s *slot, yielding int) *job {
	interactive := &s.ready.sets[classInteractive]
	if yielding >= interactive.count {
		return nil
	}
	if j := latest(s.running, func(j *job) bool { return j.class == classBatch }); j != nil {
		return j
	}
	shares := p.runningShares(s)
	if shares.poorest(interactive, yielding) == nil {
		return nil
	}
	return latest(s.running, func(j *job) bool { return shares[j.start.ClientAccount].above() })
}

func latest(running []*job, fits func(*job) bool) *job {
	var found *job
	for _, j := range running {
		if j.yielding || !j.mayYield() || !fits(j) {
			continue
		}
		if found == nil || j.startedAt > found.startedAt ||
			j.startedAt == found.startedAt && j.order > found.order {
			found = j
		}
	}
	return found
}

// placeShare compares the places that a client account has with those that its weight
// gives it among the client accounts that run or wait.
type placeShare struct {
	running              int64
	weight, total, limit int64
}

func (s placeShare) above() bool { return (s.running-1)*s.total >= s.weight*s.limit }

// below tells whether the client account, with the places promised to it and one
// more, is within its share.
func (s placeShare) below(promised int) bool {
	return (s.running+int64(promised)+1)*s.total <= s.weight*s.limit
}

// placeShares are the shares by client account.
type placeShares map[string]placeShare

// poorest returns the first lane in line of a client account below its share that has
// more waiting than the places promised, or nil.
func (s placeShares) poorest(set *laneSet, promised int) *lane {
	var first *lane
	for _, l := range set.active.items {
		if l.jobs.len() <= promised || !s[l.account].below(promised) {
			continue
		}
		if first == nil || laneBefore(l, first) {
			first = l
		}
	}
	return first
}

// nextReady takes out the job to run next. A client account below its share of the
// places goes first: else the place that a run was broken off for could go to
// that run again.
func (p *Part) nextReady(s *slot) *job {
	interactive := &s.ready.sets[classInteractive]
	if interactive.active.len() > 1 {
		if l := p.runningShares(s).poorest(interactive, 0); l != nil {
			return interactive.popFrom(l)
		}
	}
	return s.ready.pop()
}

func (p *Part) runningShares(s *slot) placeShares {
	shares := placeShares{}
	for _, l := range s.ready.sets[classInteractive].active.items {
		shares[l.account] = placeShare{weight: l.weight}
	}
	for _, j := range s.running {
		share := shares[j.start.ClientAccount]
		share.weight = j.weight
		if !j.yielding {
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

// yielded queues a job again whose run was broken off to make room.
func (p *Part) yielded(j *job) {
	j.yielding = false
	j.yields++
	j.state = jobWaiting
	j.start.ResumeFrom = j.answer.seq
	p.enqueue(j)
	if reason := p.slotMustGo(j.target.slot); reason != code.OK {
		p.breakOff(j, reason)
	}
}

// breakOff ends a job that waits after it ran. It is not refused, since a
// refusal says that it did not run: the entry hears that the backend server
// failed it, and may have it go on elsewhere from the token reached.
func (p *Part) breakOff(j *job, reason code.Code) {
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
	p.mark(j.target.slot)
}
