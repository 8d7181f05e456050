package agent

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
)

// jobKey is a caller's idempotency key within its client account.
type jobKey struct {
	account string
	key     string
}

// hashRequest tells requests apart that carry the same key. A client account can
// only collide with itself.
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

// registerKey makes a keyed job known to attempts that join it.
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

// joinKeyed attaches an attempt to the job with its key. It returns false if
// there is none.
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
	number, kept := j.answer.pieceAt(m.ResumeFrom)
	if !kept || j.cancelled {
		// The request ran, so "not run" would be untrue, and its answer can't
		// be given whole any more.
		p.past.add(p.now, pastAttempt{attempt: m.Attempt, ran: true}, p.now.Add(m.Remaining))
		p.sendEnd(from, m.Attempt, 0, code.OutcomeUnknown)
		return true
	}
	p.replaceOlder(j, m.Attempt)
	v := p.addViewer(j, from, m.Attempt, m.Window)
	v.next, v.acked, v.allowed = number, number, number+uint64(m.Window)
	p.sendTo(v, core.Accepted{Attempt: m.Attempt})
	p.pump(v)
	return true
}

// replaceOlder drops the viewers of older attempts of the same request: their
// entry has given them up. Viewers of other requests with the same key stay,
// as other callers wait for those.
func (p *Part) replaceOlder(j *job, a core.AttemptID) {
	j.viewers = slices.DeleteFunc(j.viewers, func(v *viewer) bool {
		if v.attempt.Request != a.Request {
			return false
		}
		p.past.add(p.now, pastAttempt{attempt: v.attempt, ran: true}, j.deadline)
		p.closeViewer(v)
		return true
	})
}

// keepResult decides how long an ended job stays. Without a key: for the
// resume window, in which the entry may ask for lost frames again. With one:
// for ResultLife, unless it is idempotent and failed, and so may run again.
func (p *Part) keepResult(j *job) {
	life := p.cfg.Limits.ResumeWindow
	switch {
	case j.start.Key == "":
	case j.answer.code != code.OK && j.start.Idempotent:
		p.forgetKey(j)
	default:
		life = p.cfg.Limits.ResultLife
		p.boundResults(j)
	}
	j.retain.fire = func() { p.retainOver(j) }
	p.timers.set(&j.retain, p.now.Add(life))
}

// retainOver retires an ended job, but not while a slow reader still takes its
// answer: it has until the request's deadline, when its entry gives up too.
func (p *Part) retainOver(j *job) {
	unsent := slices.ContainsFunc(j.viewers, func(v *viewer) bool { return !v.endSent })
	if window := p.cfg.Limits.ResumeWindow; unsent && p.now < j.deadline.Add(window) {
		p.timers.set(&j.retain, p.now.Add(window))
		return
	}
	p.retire(j)
}

// boundResults bounds the kept results. Past the byte limit the oldest answers
// are dropped but their keys stay, so that a repeated request is answered
// "outcome unknown" instead of running twice. Past the count limit the oldest
// keys go too: the stated time holds up to ResultCount keyed requests in it.
func (p *Part) boundResults(j *job) {
	p.results = append(p.results, j)
	if j.answer.keepAll {
		p.resultBytes += j.answer.bytes
		p.answers = append(p.answers, j)
	}
	for p.resultBytes > p.cfg.Limits.ResultBytes {
		p.dropAnswer(p.answers[0])
	}
	for len(p.results) > p.cfg.Limits.ResultCount {
		p.retire(p.results[0])
	}
}

// dropAnswer frees a kept answer; its viewers, if any, are past it.
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

// retire forgets an ended job and remembers its attempts as run.
func (p *Part) retire(j *job) {
	p.timers.stop(&j.retain)
	p.forgetKey(j)
	if i := slices.Index(p.results, j); i >= 0 {
		p.results = slices.Delete(p.results, i, i+1)
		p.dropAnswer(j)
	}
	for _, v := range j.viewers {
		p.past.add(p.now, pastAttempt{attempt: v.attempt, ran: true}, j.deadline)
		p.closeViewer(v)
	}
	j.viewers = nil
}
