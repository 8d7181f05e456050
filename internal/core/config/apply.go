package config

import (
	"slices"

	"nutmeglane.example/nutmeglane/internal/api"
	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
)

// phase is the current step of a change. Dump reports it.
type phase string

const (
	phaseQueued   phase = "queued"
	phaseReading  phase = "reading head"
	phaseFetching phase = "fetching chunks"
	phaseChunks   phase = "writing chunks"
	phaseHead     phase = "writing head"
	phaseReadBack phase = "reading back"
)

const (
	maxJobs         = 64  // queued changes at one entry
	maxPlanAttempts = 8   // a change is abandoned after losing this many races
	maxChunkRetries = 128 // repeated chunk writes per change
	maxRecent       = 32  // writes listed in the head
)

// job is an operator's change in progress. Jobs run one at a time, in order.
type job struct {
	request  core.ApplyRequested
	sequence uint64
	phase    phase
	deadline core.Time
	retryAt  core.Time

	// kvRevision and record are the revision and value of the head as last read.
	kvRevision int64
	record     core.ConfigRecord

	plan plan
	// touched holds the numbers of the chunks that the plan is based on.
	touched      []int
	next         core.ConfigRecord
	chunks       map[string][]byte
	pending      map[string]bool
	planAttempts int
	retries      int

	// headSent is set while a write of the head may have taken effect or may
	// still do so; answerLost is set when the answer to one was lost.
	headSent   bool
	answerLost bool
}

func (p *Part) applyRequested(ev core.ApplyRequested) {
	p.sequence++
	j := &job{
		request: ev, sequence: p.sequence, phase: phaseQueued,
		deadline: p.now.Add(p.cfg.ApplyTimeout), retryAt: core.Never,
	}
	switch {
	case !p.cfg.KV:
		p.done(j, code.NotReady)
	case len(p.jobs) >= maxJobs:
		p.done(j, code.QueueFull)
	default:
		p.jobs = append(p.jobs, j)
		p.startJob()
	}
}

// startJob starts the first job in the queue by reading the head, so that the
// change is applied to the newest configuration.
func (p *Part) startJob() {
	if len(p.jobs) > 0 && p.jobs[0].phase == phaseQueued {
		p.jobs[0].phase = phaseReading
		p.readHead(p.jobs[0])
	}
}

func (p *Part) readHead(j *job) {
	j.retryAt = core.Never
	p.get(core.KeyConfigHead, call{kind: callReadHead, job: j})
}

// done sends the result of a job to the operator.
func (p *Part) done(j *job, result code.Code, problems ...api.Problem) {
	done := core.ApplyDone{ID: j.request.ID, Code: result, Revision: p.newest.Revision, Problems: problems}
	if result == code.OK {
		done.Changes = j.plan.changes
	}
	p.count(countApplies, itoa(int64(result)))
	p.emit(done)
}

// finish ends the running job and starts the next one.
func (p *Part) finish(j *job, result code.Code, problems ...api.Problem) {
	p.jobs = slices.DeleteFunc(p.jobs, func(other *job) bool { return other == j })
	p.done(j, result, problems...)
	p.startJob()
}

// jobTick ends jobs whose deadline has passed, and reads the head back after
// an outage.
//
// A job that has not sent the head has no effect: chunks alone are part of no
// revision. A job that has sent it may still take effect, so the operator gets
// KVUnknown.
func (p *Part) jobTick() {
	for _, j := range slices.Clone(p.jobs) {
		switch {
		case p.now >= j.deadline && j.headSent:
			p.finish(j, code.KVUnknown)
		case p.now >= j.deadline:
			p.finish(j, code.KVUnavailable)
		case p.now >= j.retryAt:
			p.readHead(j)
		}
	}
}

// jobResult handles the answer to a KV call of the running job.
func (p *Part) jobResult(c call, ev core.KVResult) {
	if len(p.jobs) == 0 || p.jobs[0] != c.job {
		return
	}
	switch c.kind {
	case callReadHead:
		p.headRead(c.job, ev)
	case callWriteChunk:
		p.chunkWritten(c.job, c.hash, ev)
	case callWriteHead:
		p.headWritten(c.job, ev)
	}
}

func (p *Part) headRead(j *job, ev core.KVResult) {
	switch {
	case ev.Code == code.OK:
		p.continueFromHead(j, ev.Value, ev.Revision)
	case j.headSent:
		p.readBackLater(j)
	default:
		p.finish(j, code.KVUnavailable)
	}
}

func (p *Part) readBackLater(j *job) {
	j.phase = phaseReadBack
	j.retryAt = p.now.Add(p.cfg.RetryInterval)
}

// continueFromHead continues the job from the current value of the head.
func (p *Part) continueFromHead(j *job, value []byte, kvRevision int64) {
	var record core.ConfigRecord
	if kvRevision != 0 {
		var ok bool
		if record, ok = p.decodeHead(value); !ok {
			p.finishUnreadable(j)
			return
		}
	}
	if j.headSent && !p.resolveHeadWrite(j, record, kvRevision) {
		return
	}
	j.kvRevision, j.record, j.phase = kvRevision, record, phaseFetching
	p.startFetch(record.Head, source{kv: true})
	p.jobResume()
}

// finishUnreadable rejects a change on top of a head that can't be decoded: it
// may reference a newer revision than any known here, which a write would
// revert.
func (p *Part) finishUnreadable(j *job) {
	result := code.BadMessage
	if j.headSent {
		result = code.KVUnknown
	}
	p.finish(j, result, api.Problem{Path: core.KeyConfigHead, Got: "a value that can't be read", Wanted: "a configuration head"})
}

// resolveHeadWrite finds out whether the head that was sent took effect. It
// returns true if it did not and never will, so that the job may be planned
// again.
//
// If the answer to the head's write is lost, the write reports KVUnknown, or a
// conflict when it is repeated. Taking that conflict for another writer's
// change would apply the own change twice; taking a lost answer for success
// could report a result that is not true. The head lists its recent writers,
// which shows whether the write took effect. If the head is unchanged, the
// write may still be in flight: the same write is repeated, and only one of
// the two can win the compare-and-swap. Once the key's revision has changed
// without it, neither can.
func (p *Part) resolveHeadWrite(j *job, record core.ConfigRecord, kvRevision int64) bool {
	switch {
	case containsWrite(record, j):
		p.succeed(j)
		p.startFetch(record.Head, source{kv: true})
		return false
	case kvRevision == j.kvRevision:
		p.writeHead(j)
		return false
	case !recentCovers(record, j.next.Head.Revision):
		p.startFetch(record.Head, source{kv: true})
		p.finish(j, code.KVUnknown)
		return false
	default:
		j.headSent, j.answerLost = false, false
		return true
	}
}

// containsWrite reports whether the job's write is among the head's recent ones.
func containsWrite(record core.ConfigRecord, j *job) bool {
	if len(j.next.Recent) == 0 {
		return false
	}
	return slices.Contains(record.Recent, j.next.Recent[len(j.next.Recent)-1])
}

// recentCovers reports whether the head's recent writes reach back to a revision.
func recentCovers(record core.ConfigRecord, revision int64) bool {
	return len(record.Recent) < maxRecent || record.Recent[0].Revision <= revision
}

// jobResume continues the running job once the configuration that it builds on
// is assembled.
func (p *Part) jobResume() {
	if len(p.jobs) == 0 {
		return
	}
	j := p.jobs[0]
	if j.phase == phaseFetching && p.newest.Revision >= j.record.Head.Revision {
		p.planJob(j)
	}
}

func (p *Part) planJob(j *job) {
	if j.planAttempts++; j.planAttempts > maxPlanAttempts {
		p.finish(j, code.KVConflict)
		return
	}
	change := decodeRequest(j.request)
	j.touched = p.touched(change)
	current, err := p.decodeChunks(j.touched)
	if err != nil {
		p.finish(j, code.BadMessage, api.Problem{Got: err.Error(), Wanted: "a readable configuration"})
		return
	}
	revision := p.newest.Revision + 1
	j.plan = makePlan(current, change, revision, p.checkFor(j.touched))
	switch {
	case j.plan.code != code.OK:
		p.finish(j, j.plan.code, j.plan.problems...)
	case j.request.DryRun || j.plan.empty():
		p.finish(j, code.OK)
	default:
		p.prepare(j, revision)
	}
}

// prepare encodes the new revision and writes its new chunks.
func (p *Part) prepare(j *job, revision int64) {
	hashes := make([]string, chunkCount)
	copy(hashes, p.newest.Chunks)
	chunks, err := encodeChunks(j.plan.resources, j.touched, hashes)
	if err != nil {
		p.finish(j, code.BadDeclaration, api.Problem{Got: err.Error(), Wanted: "resources that can be encoded"})
		return
	}
	recent := append(slices.Clone(j.record.Recent), core.ConfigWrite{
		Revision: revision, Incarnation: p.cfg.Incarnation, Sequence: j.sequence,
	})
	j.next = core.ConfigRecord{
		Head:   core.ConfigHead{Revision: revision, Chunks: hashes},
		Recent: recent[max(0, len(recent)-maxRecent):],
	}
	for _, hash := range hashes {
		if _, isNew := chunks[hash]; !isNew {
			chunks[hash] = p.chunks[hash]
		}
	}
	j.chunks = chunks
	p.writeChunks(j)
}

// writeChunks writes the chunks that the KV service may lack. Those referenced
// by the head as read are there. If the KV service has lost data and its head
// is older than the newest revision known here, all chunks are written.
func (p *Part) writeChunks(j *job) {
	j.phase, j.pending = phaseChunks, map[string]bool{}
	stored := j.record.Head.Chunks
	for _, hash := range core.SortedKeys(j.chunks) {
		if slices.Contains(stored, hash) {
			continue
		}
		packed := pack(j.chunks[hash])
		if len(packed) > maxPackedBytes {
			p.finish(j, code.BadDeclaration, api.Problem{Got: itoa(int64(len(packed))) + " bytes in one chunk", Wanted: "fewer resources"})
			return
		}
		j.pending[hash] = true
	}
	for _, hash := range core.SortedKeys(j.pending) {
		p.writeChunk(j, hash, 0)
	}
	p.headAfterChunks(j)
}

func (p *Part) writeChunk(j *job, hash string, kvRevision int64) {
	p.cas(core.KeyChunkPrefix+hash, pack(j.chunks[hash]), kvRevision, call{kind: callWriteChunk, hash: hash, job: j})
}

// chunkWritten treats a chunk as stored if the key holds the right content,
// whichever process wrote it. A corrupted value under the key is overwritten.
func (p *Part) chunkWritten(j *job, hash string, ev core.KVResult) {
	if j.phase != phaseChunks || !j.pending[hash] {
		return
	}
	stored := ev.Code == code.OK
	kvRevision := int64(0)
	if ev.Code == code.KVConflict {
		_, err := unpack(ev.Value, hash)
		stored, kvRevision = err == nil, ev.Revision
	}
	again := ev.Code == code.KVConflict || ev.Code == code.KVUnknown
	switch {
	case stored:
		delete(j.pending, hash)
		p.headAfterChunks(j)
	case again && j.retries < maxChunkRetries:
		j.retries++
		p.writeChunk(j, hash, kvRevision)
	default:
		p.finish(j, code.KVUnavailable)
	}
}

func (p *Part) headAfterChunks(j *job) {
	if j.phase == phaseChunks && len(j.pending) == 0 {
		p.writeHead(j)
	}
}

func (p *Part) writeHead(j *job) {
	value, err := core.EncodeValue(j.next)
	if err != nil {
		p.finish(j, code.BadMessage, api.Problem{Got: err.Error(), Wanted: "a head that can be encoded"})
		return
	}
	j.phase, j.headSent = phaseHead, true
	p.cas(core.KeyConfigHead, value, j.kvRevision, call{kind: callWriteHead, job: j})
}

func (p *Part) headWritten(j *job, ev core.KVResult) {
	switch {
	case ev.Code == code.OK:
		p.succeed(j)
	case ev.Code == code.KVConflict:
		p.continueFromHead(j, ev.Value, ev.Revision)
	case ev.Code == code.KVUnknown && !j.answerLost:
		j.answerLost = true
		j.phase = phaseReadBack
		p.readHead(j)
	case j.answerLost:
		p.readBackLater(j)
	default:
		j.headSent = false
		p.finish(j, code.KVUnavailable)
	}
}

// succeed adopts the new revision without reading it back, and ends the job.
func (p *Part) succeed(j *job) {
	p.keepChunks(j)
	j.phase = phaseHead
	p.adopt(j.next.Head)
	p.finish(j, code.OK)
}

func (p *Part) keepChunks(j *job) {
	if j.next.Head.Revision <= p.newest.Revision {
		return
	}
	for hash, chunk := range j.chunks {
		p.chunks[hash] = chunk
	}
}

// keepOwnChunks keeps the chunks that this process has just written, so that
// they are not read back when the watch arrives before the answer to the write.
func (p *Part) keepOwnChunks(record core.ConfigRecord) {
	if len(p.jobs) > 0 && containsWrite(record, p.jobs[0]) {
		p.keepChunks(p.jobs[0])
	}
}
