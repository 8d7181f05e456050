package agent

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
)

// jobKey is the idempotency key of a caller, scoped to its client account.
type jobKey struct {
	account string
	key     string
}

// hashRequest hashes the request to detect different requests with the same
// key. The hash is not cryptographic: a client account can only create
// collisions with its own requests.
func hashRequest(m core.Start) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, part := range []string{m.Target.Model, m.Target.Adapter, m.Target.Service, m.Method, m.Path} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(m.Body)
	return d.Sum64()
}

// registerKey registers a keyed job so that other attempts can join it.
func (p *Part) registerKey(j *job) {
	if j.start.Key == "" {
		return
	}
	j.key = jobKey{j.start.ClientAccount, j.start.Key}
	j.hash = hashRequest(j.start)
	j.answer.keepAll = true
	p.keyed[j.key] = j
}

func (p *Part) forgetKey(j *job) {
	if p.keyed[j.key] == j {
		delete(p.keyed, j.key)
	}
}

// joinKeyed adds an attempt as a subscriber to the job with its key. It returns
// false if there is no such job.
func (p *Part) joinKeyed(from core.HostID, m core.Start) bool {
	if m.Key == "" {
		return false
	}
	j := p.keyed[jobKey{m.ClientAccount, m.Key}]
	if j == nil {
		return false
	}
	if j.hash != hashRequest(m) {
		p.reject(from, m.Attempt, code.DuplicateKey, 0, p.now.Add(m.Remaining))
		return true
	}
	number, kept := j.answer.frameAt(m.ResumeFrom)
	if !kept || j.cancelled {
		// The request was run, so "not run" would be false, but its answer
		// can't be sent completely any more.
		p.past.add(p.now, pastAttempt{attempt: m.Attempt, ran: true}, p.now.Add(m.Remaining))
		p.sendEnd(from, m.Attempt, 0, code.OutcomeUnknown)
		return true
	}
	p.replaceOlder(j, m.Attempt)
	sub := p.addSubscriber(j, from, m.Attempt, m.Window)
	sub.next, sub.acked, sub.allowed = number, number, number+uint64(m.Window)
	p.sendTo(sub, core.Accepted{Attempt: m.Attempt})
	p.pump(sub)
	return true
}

// replaceOlder removes the subscribers of older attempts of the same request,
// which their entry has given up. Subscribers of other requests with the same
// key stay, because other callers wait for them.
func (p *Part) replaceOlder(j *job, a core.AttemptID) {
	j.subscribers = slices.DeleteFunc(j.subscribers, func(sub *subscriber) bool {
		if sub.attempt.Request != a.Request {
			return false
		}
		p.past.add(p.now, pastAttempt{attempt: sub.attempt, ran: true}, j.deadline)
		p.closeSubscriber(sub)
		return true
	})
}

// keepResult sets how long an ended job is retained. A job without a key is
// retained for the resume window, in which the entry may request lost frames
// again; a job with a key for ResultLife, unless it is idempotent and failed,
// and may therefore run again.
func (p *Part) keepResult(j *job) {
	life := p.cfg.Limits.ResumeWindow
	switch {
	case j.start.Key == "":
	case j.answer.code != code.OK && j.start.Idempotent:
		p.forgetKey(j)
	default:
		life = p.cfg.Limits.ResultLife
		p.limitResults(j)
	}
	j.retainTimer.fire = func() { p.retainExpired(j) }
	p.timers.set(&j.retainTimer, p.now.Add(life))
}

// retainExpired drops an ended job. If a slow reader has not received the whole
// answer, the job is retained until one resume window after the deadline of the
// request, when the entry has given up as well.
func (p *Part) retainExpired(j *job) {
	unsent := slices.ContainsFunc(j.subscribers, func(sub *subscriber) bool { return !sub.endSent })
	if window := p.cfg.Limits.ResumeWindow; unsent && p.now < j.deadline.Add(window) {
		p.timers.set(&j.retainTimer, p.now.Add(window))
		return
	}
	p.dropJob(j)
}

// limitResults limits the retained results. Above the byte limit the oldest
// answers are dropped but their keys stay, so that a repeated request is
// answered "outcome unknown" instead of running twice. Above the count limit
// the oldest keys are dropped as well: ResultLife is guaranteed only for up to
// ResultCount keyed requests within it.
func (p *Part) limitResults(j *job) {
	p.results = append(p.results, j)
	if j.answer.keepAll {
		p.resultBytes += j.answer.bytes
		p.answers = append(p.answers, j)
	}
	for p.resultBytes > p.cfg.Limits.ResultBytes {
		p.dropAnswer(p.answers[0])
	}
	for len(p.results) > p.cfg.Limits.ResultCount {
		p.dropJob(p.results[0])
	}
}

// dropAnswer stops retaining an answer and frees the frames that its
// subscribers, if any, have acknowledged.
func (p *Part) dropAnswer(j *job) {
	if !j.answer.keepAll {
		return
	}
	j.answer.keepAll = false
	p.resultBytes -= j.answer.bytes
	for len(p.answers) > 0 && !p.answers[0].answer.keepAll {
		p.answers = p.answers[1:]
	}
	p.trim(j)
}

// dropJob drops an ended job and records its attempts as run.
func (p *Part) dropJob(j *job) {
	p.timers.stop(&j.retainTimer)
	p.forgetKey(j)
	if i := slices.Index(p.results, j); i >= 0 {
		p.results = slices.Delete(p.results, i, i+1)
		p.dropAnswer(j)
	}
	for _, sub := range j.subscribers {
		p.past.add(p.now, pastAttempt{attempt: sub.attempt, ran: true}, j.deadline)
		p.closeSubscriber(sub)
	}
	j.subscribers = nil
}
