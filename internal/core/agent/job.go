package agent

import (
	"time"

	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
)

// jobState is the stage of processing of a request.
type jobState uint8

const (
	// jobWaiting: accepted and not running at the backend server.
	jobWaiting jobState = iota + 1
	jobRunning
	// jobEnded: the answer of the backend server is complete or was aborted, or
	// the request was refused.
	jobEnded
)

// job is one execution of a request. Attempts with the same idempotency key
// share a job; each has a subscriber.
type job struct {
	// start is the Start message of the first attempt, whose ID identifies the
	// run.
	start       core.Start
	order       uint64
	class       class
	weight      int64
	target      *target
	state       jobState
	deadline    core.Time
	expiryTimer timer

	// Positions in target.parked, in a flow and in an accountBacklog; index in
	// slot.running.
	parkPos, flowPos, backlogPos, runPos int

	arrivedAt, startedAt core.Time
	requeues             int
	// cancelled: the run was cancelled because no attempt waits for it, or
	// because it was cut. cut: the agent aborted it.
	cancelled, cut bool
	// preempting: its run is being cancelled to free capacity and will be
	// resumed later; preemptions counts how often that was done.
	preempting  bool
	preemptions int

	key         jobKey
	hash        uint64
	answer      answer
	subscribers []*subscriber
	// retainTimer fires when an ended job may be dropped.
	retainTimer timer
}

func (j *job) attempt() core.AttemptID { return j.start.Attempt }

func (p *Part) newJob(m core.Start, t *target) *job {
	p.jobCount++
	j := &job{
		start: m, order: p.jobCount, class: classOfPriority(m.Priority),
		weight: p.accountWeight(m.ClientAccount), target: t, state: jobWaiting,
		deadline: p.now.Add(m.Remaining), arrivedAt: p.now,
	}
	j.answer.seq = m.ResumeFrom
	j.expiryTimer.fire = func() { p.deadlinePassed(j) }
	return j
}

// enqueue adds a job to the queues of its target.
func (p *Part) enqueue(j *job) {
	p.timers.set(&j.expiryTimer, j.deadline)
	p.backlog.add(j)
	j.target.slot.waiting[j.class]++
	p.park(j)
	p.statusDirty = true
	p.markDirty(j.target.slot)
}

// park queues a waiting job until its target is loaded.
func (p *Part) park(j *job) { j.target.parked.push(j) }

// unpark moves the jobs of a loaded target to the ready queue.
func (p *Part) unpark(t *target) {
	for t.loaded() && t.parked.len() > 0 {
		j := t.parked.pop()
		t.ready++
		t.slot.ready.push(j)
	}
}

// reparkUnloaded moves ready jobs whose target is not loaded back to the parked
// jobs.
func (p *Part) reparkUnloaded(s *slot) {
	var keep []*job
	for j := s.ready.pop(); j != nil; j = s.ready.pop() {
		if j.target.loaded() {
			keep = append(keep, j)
			continue
		}
		j.target.ready--
		p.park(j)
	}
	for _, j := range keep {
		s.ready.push(j)
	}
}

// dequeue removes a waiting job from all queues.
func (p *Part) dequeue(j *job) {
	t := j.target
	if j.flowPos != 0 {
		t.slot.ready.remove(j)
		t.ready--
	}
	t.parked.remove(j)
	p.stopWaiting(j)
}

// stopWaiting updates the counts and timers when a job leaves its queue.
func (p *Part) stopWaiting(j *job) {
	p.backlog.remove(j)
	j.target.slot.waiting[j.class]--
	p.timers.stop(&j.expiryTimer)
	p.statusDirty = true
}

// dispatch runs ready jobs while the replica has capacity.
func (p *Part) dispatch(s *slot) {
	if s.service {
		p.unpark(s.base)
	}
	if p.role.draining && !s.service {
		return // the engine would refuse; roleDone dispatches again
	}
	limit := p.concurrency(s)
	for len(s.running) < limit && s.ready.len() > 0 {
		j := p.nextReady(s)
		j.target.ready--
		if !j.target.loaded() {
			p.park(j)
			continue
		}
		if p.wouldMissDeadline(j) {
			p.refuse(j, code.DeadlineUnmet, max(p.startsIn(j.target, j.class, j.start.ClientAccount), minRetryAfter))
			continue
		}
		p.run(j)
	}
	p.preemptRuns(s)
}

// wouldMissDeadline reports whether a job would probably exceed its deadline
// while other jobs wait for the same capacity. A job that no other waits behind
// is run anyway, because its duration is not known.
func (p *Part) wouldMissDeadline(j *job) bool {
	s := j.target.slot
	return j.preemptions == 0 && s.ready.len() > 0 && j.deadline.Sub(p.now) < s.runTime[j.class].measured()
}

// run passes a job to the backend server. From here on no answer may state that
// it did not run, unless the engine reports so.
func (p *Part) run(j *job) {
	t := j.target
	p.stopWaiting(j)
	j.state, j.startedAt = jobRunning, p.now
	j.runPos = len(t.slot.running)
	t.slot.running = append(t.slot.running, j)
	t.running++
	p.runs[j.attempt()] = j
	p.observe(queueSeconds, p.now.Sub(j.arrivedAt).Seconds())
	var key string
	if !t.slot.service {
		key = t.item.key
	}
	m := &j.start
	p.emit(core.Run{
		Attempt: m.Attempt, Target: m.Target, Key: key, Priority: m.Priority,
		Timeout: j.deadline.Sub(p.now), Method: m.Method, Path: m.Path,
		Header: m.Header, Body: m.Body, ResumeFrom: m.ResumeFrom,
	})
}

// stopRunning removes a job from the running jobs of its replica.
func (p *Part) stopRunning(j *job) {
	s := j.target.slot
	last := len(s.running) - 1
	s.running[j.runPos] = s.running[last]
	s.running[j.runPos].runPos = j.runPos
	s.running[last] = nil
	s.running = s.running[:last]
	j.target.running--
	delete(p.runs, j.attempt())
	p.statusDirty = true
	p.markDirty(s)
}

// deadlinePassed refuses a job that still waits at its deadline.
func (p *Part) deadlinePassed(j *job) {
	p.refuse(j, code.DeadlinePassed, 0)
}

// refuse ends a waiting job as not run. A job that ran before it was preempted
// is failed instead.
func (p *Part) refuse(j *job, reason code.Code, retryAfter time.Duration) {
	if j.preemptions > 0 {
		p.failPreempted(j, reason)
		return
	}
	p.dequeue(j)
	j.state = jobEnded
	p.forgetKey(j)
	for _, sub := range j.subscribers {
		p.reject(sub.entry, sub.attempt, reason, retryAfter, j.deadline)
		p.closeSubscriber(sub)
	}
	j.subscribers = nil
	p.markDirty(j.target.slot)
}

// reject answers an attempt with "not run" and records a tombstone, so that a
// message that arrives later can't make the attempt run.
func (p *Part) reject(to core.HostID, a core.AttemptID, reason code.Code, retryAfter time.Duration, deadline core.Time) {
	p.past.add(p.now, pastAttempt{attempt: a, refusal: reason}, deadline)
	p.countCode(requestsTotal, reason)
	p.send(to, core.Rejected{Attempt: a, Code: reason, RetryAfter: retryAfter})
}

// refuseTarget refuses all waiting jobs of a target.
func (p *Part) refuseTarget(t *target, reason code.Code, retryAfter time.Duration) {
	if t.ready > 0 {
		p.parkReady(t)
	}
	for t.parked.len() > 0 {
		p.refuse(t.parked.top(), reason, retryAfter)
	}
}

// parkReady moves the ready jobs of a target back to its parked jobs.
func (p *Part) parkReady(t *target) {
	var others []*job
	for j := t.slot.ready.pop(); j != nil; j = t.slot.ready.pop() {
		if j.target != t {
			others = append(others, j)
			continue
		}
		t.ready--
		p.park(j)
	}
	for _, j := range others {
		t.slot.ready.push(j)
	}
}

// refuseBeyond refuses the jobs that wait for a load and whose deadline is not
// later than wait from now.
func (p *Part) refuseBeyond(t *target, wait time.Duration, reason code.Code) {
	reachable := p.now.Add(wait)
	for t.parked.len() > 0 && t.parked.top().deadline <= reachable {
		p.refuse(t.parked.top(), reason, max(wait, minRetryAfter))
	}
}

// cancelRun cancels a running job at the backend server.
func (p *Part) cancelRun(j *job) {
	if j.state == jobRunning && !j.cancelled {
		j.cancelled = true
		p.emit(core.CancelRun{Attempt: j.attempt()})
	}
}

// cutJob aborts a running job that has delayed an unload for longer than
// allowed.
func (p *Part) cutJob(j *job) {
	j.cut = true
	p.note("request cut", "target", j.target.name)
	p.cancelRun(j)
}
