package agent

import (
	"time"

	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
)

// jobState is where a request is in its life.
type jobState uint8

const (
	// jobWaiting: accepted, not handed to the backend server.
	jobWaiting jobState = iota + 1
	jobRunning
	// jobEnded: the backend server's answer is complete or broken off.
	jobEnded
)

// job is one execution of a request. Attempts that carry the same idempotency
// key share a job; each has a viewer.
type job struct {
	// start is the Start message of the first attempt, which names the run.
	start    core.Start
	order    uint64
	class    class
	weight   int64
	target   *target
	state    jobState
	deadline core.Time
	expiry   timer

	// Positions in target.parked, in a lane and in a share; index in
	// slot.running.
	parkPos, lanePos, sharePos, runPos int

	arrivedAt, startedAt core.Time
	requeues             int
	// cancelled: nobody waits for it. cut: the agent broke it off.
	cancelled, cut bool
	// yielding: its run is being broken off to make room, to go on later;
	// yields counts the times.
	yielding bool
	yields   int

	key     jobKey
	hash    uint64
	answer  answer
	viewers []*viewer
	// retain ends the time for which an ended job is kept.
	retain timer
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
	j.expiry.fire = func() { p.deadlinePassed(j) }
	return j
}

// enqueue lets a job wait at its target.
func (p *Part) enqueue(j *job) {
	p.timers.set(&j.expiry, j.deadline)
	p.backlog.add(j)
	j.target.slot.waiting[j.class]++
	p.park(j)
	p.statusDirty = true
	p.mark(j.target.slot)
}

// park puts a waiting job behind the load of its target.
func (p *Part) park(j *job) { j.target.parked.push(j) }

// unpark makes the jobs of a loaded target ready to run.
func (p *Part) unpark(t *target) {
	for t.loaded() && t.parked.len() > 0 {
		j := t.parked.pop()
		t.ready++
		t.slot.ready.push(j)
	}
}

// repark puts ready jobs whose target is not loaded any more back.
func (p *Part) repark(s *slot) {
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

// dequeue takes a waiting job out of all queues.
func (p *Part) dequeue(j *job) {
	t := j.target
	if j.lanePos != 0 {
		t.slot.ready.remove(j)
		t.ready--
	}
	t.parked.remove(j)
	p.leftQueue(j)
}

func (p *Part) leftQueue(j *job) {
	p.backlog.remove(j)
	j.target.slot.waiting[j.class]--
	p.timers.stop(&j.expiry)
	p.statusDirty = true
}

// dispatch runs ready jobs while the replica has room.
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
		if p.tooLate(j) {
			p.refuse(j, code.DeadlineUnmet, max(p.startsIn(j.target, j.class, j.start.ClientAccount), minRetryAfter))
			continue
		}
		p.run(j)
	}
	p.yieldPlaces(s)
}

// tooLate tells that a job would be cut off by its deadline at a place that
// others wait for. Alone it is tried: its length is not known.
func (p *Part) tooLate(j *job) bool {
	s := j.target.slot
	return j.yields == 0 && s.ready.len() > 0 && j.deadline.Sub(p.now) < s.runTime[j.class].known()
}

// run hands a job to the backend server. From here on no answer may say that
// it did not run, unless the engine says so.
func (p *Part) run(j *job) {
	t := j.target
	p.leftQueue(j)
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

// stopRunning takes a job off its replica.
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
	p.mark(s)
}

// deadlinePassed refuses a job that still waits at its deadline.
func (p *Part) deadlinePassed(j *job) {
	p.refuse(j, code.DeadlinePassed, 0)
}

// refuse ends a waiting job: it did not run and never will.
func (p *Part) refuse(j *job, reason code.Code, retryAfter time.Duration) {
	if j.yields > 0 {
		p.breakOff(j, reason)
		return
	}
	p.dequeue(j)
	j.state = jobEnded
	p.forgetKey(j)
	for _, v := range j.viewers {
		p.reject(v.entry, v.attempt, reason, retryAfter, j.deadline)
		p.closeViewer(v)
	}
	j.viewers = nil
	p.mark(j.target.slot)
}

// reject answers an attempt with "not run" and leaves a tombstone, so that the
// answer stays true whatever arrives later.
func (p *Part) reject(to core.HostID, a core.AttemptID, reason code.Code, retryAfter time.Duration, deadline core.Time) {
	p.past.add(p.now, pastAttempt{attempt: a, refusal: reason}, deadline)
	p.countCode(requestsTotal, reason)
	p.send(to, core.Rejected{Attempt: a, Code: reason, RetryAfter: retryAfter})
}

// refuseTarget refuses everything that waits at a target.
func (p *Part) refuseTarget(t *target, reason code.Code, retryAfter time.Duration) {
	if t.ready > 0 {
		p.parkReady(t)
	}
	for t.parked.len() > 0 {
		p.refuse(t.parked.top(), reason, retryAfter)
	}
}

// parkReady moves a target's ready jobs back to its parked ones.
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

// refuseBeyond refuses at once the jobs waiting for a load that can't start
// before their deadline if it takes wait from now.
func (p *Part) refuseBeyond(t *target, wait time.Duration, reason code.Code) {
	reachable := p.now.Add(wait)
	for t.parked.len() > 0 && t.parked.top().deadline <= reachable {
		p.refuse(t.parked.top(), reason, max(wait, minRetryAfter))
	}
}

// cancelRun stops a running job at the backend server.
func (p *Part) cancelRun(j *job) {
	if j.state == jobRunning && !j.cancelled {
		j.cancelled = true
		p.emit(core.CancelRun{Attempt: j.attempt()})
	}
}

// cutJob breaks off a job that holds up an unload past its bound.
func (p *Part) cutJob(j *job) {
	j.cut = true
	p.note("request cut", "target", j.target.name)
	p.cancelRun(j)
}
