package config

import (
	"strconv"
	"time"

	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
)

// Values of the label "source".
const (
	sourceKV   = "kv"
	sourcePeer = "peer"
)

// source is the origin of chunks: the KV service or a peer.
type source struct {
	kv   bool
	peer core.HostID
}

// fetch is the state of collecting a revision.
type fetch struct {
	head   core.ConfigHead
	source source
	// inKV is set if the KV service holds the revision's head.
	inKV        bool
	outstanding map[string]bool
	deadline    core.Time
	// failures counts consecutive rounds in which the source did not deliver.
	failures int
}

// callKind is the purpose of a KV call.
type callKind uint8

const (
	callFetchChunk callKind = iota + 1
	callReadHead
	callWriteChunk
	callWriteHead
)

// call is a KV call without an answer yet.
type call struct {
	kind callKind
	hash string
	job  *job
}

func itoa(n int64) string { return strconv.FormatInt(n, 10) }

func (p *Part) tag(c call) uint64 {
	p.lastTag++
	tag := core.TagConfig + p.lastTag
	p.calls[tag] = c
	return tag
}

func (p *Part) get(key string, c call) {
	p.count(countReads)
	p.emit(core.KVGet{Tag: p.tag(c), Key: key})
}

func (p *Part) cas(key string, value []byte, revision int64, c call) {
	p.count(countWrites)
	p.emit(core.KVCas{Tag: p.tag(c), Key: key, Value: value, Revision: revision})
}

// headWatched handles a new value of the head from the KV watch.
func (p *Part) headWatched(ev core.KVValue) {
	if !p.cfg.KV || ev.Key != core.KeyConfigHead || ev.Revision == 0 {
		return
	}
	if record, ok := p.decodeHead(ev.Value); ok {
		p.keepOwnChunks(record)
		p.startFetch(record.Head, source{kv: true})
	}
}

// decodeHead decodes the KV value of the head. A value that can't be decoded is
// ignored: the configuration in force stays.
func (p *Part) decodeHead(value []byte) (core.ConfigRecord, bool) {
	var record core.ConfigRecord
	if err := core.DecodeValue(value, &record); err != nil || !validHead(record.Head) {
		p.count(countBadChunks, sourceKV)
		p.emit(core.Note{Name: "configuration head in the KV service is corrupted"})
		return core.ConfigRecord{}, false
	}
	return record, true
}

// startFetch starts to collect a revision if it is newer than all others seen.
// Chunks that are already collected are kept, as they are addressed by content.
func (p *Part) startFetch(head core.ConfigHead, from source) {
	if head.Revision <= p.newest.Revision {
		return
	}
	if p.fetch != nil && head.Revision <= p.fetch.head.Revision {
		p.addFetchSource(head, from)
		return
	}
	p.fetch = &fetch{head: head, source: from, inKV: from.kv}
	p.requestChunks()
}

// addFetchSource records another source of the revision being fetched, and uses
// it at once if the previous sources have failed.
func (p *Part) addFetchSource(head core.ConfigHead, from source) {
	f := p.fetch
	if head.Revision < f.head.Revision {
		return
	}
	f.inKV = f.inKV || from.kv
	if f.failures > 0 && from != f.source {
		f.source = from
		p.requestChunks()
	}
}

// requestChunks requests the next missing chunks from the source, or adopts the
// revision if none is missing.
func (p *Part) requestChunks() {
	f := p.fetch
	f.outstanding = map[string]bool{}
	f.deadline = p.now.Add(p.sourceTimeout(f.source))
	var want []string
	for _, hash := range f.head.Chunks {
		_, have := p.chunks[hash]
		if have || f.outstanding[hash] || len(want) == maxChunksAtOnce {
			continue
		}
		f.outstanding[hash] = true
		want = append(want, hash)
	}
	switch {
	case len(want) == 0:
		p.count(countFetches, f.source.label())
		p.adopt(f.head)
	case f.source.kv:
		for _, hash := range want {
			p.get(core.KeyChunkPrefix+hash, call{kind: callFetchChunk, hash: hash})
		}
	default:
		p.emit(core.Send{To: f.source.peer, Message: core.ConfigWant{Chunks: want}})
	}
}

// kvTimeoutIntervals is the number of retry intervals that a KV read may take.
// It is longer than a peer's answer may take, so that a slow KV service is not
// asked for a chunk twice.
const kvTimeoutIntervals = 4

// maxDoublings limits the backoff after failed rounds, to 32 s by default.
const maxDoublings = 6

func (p *Part) sourceTimeout(s source) time.Duration {
	if s.kv {
		return kvTimeoutIntervals * p.cfg.RetryInterval
	}
	return p.cfg.RetryInterval
}

// delayRetry schedules the request to the next source. The delay doubles with
// each failed round: otherwise every starting entry would read a chunk that is
// damaged in the KV service and held by no peer twice a second, indefinitely.
func (p *Part) delayRetry() {
	wait := p.cfg.RetryInterval << min(p.fetch.failures, maxDoublings)
	p.fetch.deadline = p.now.Add(wait)
}

func (s source) label() string {
	if s.kv {
		return sourceKV
	}
	return sourcePeer
}

// storeChunk verifies a chunk and keeps it. A corrupted chunk is dropped, and
// the next source is tried at the deadline: a source that always sends corrupted
// data costs one round per RetryInterval, and no part of a revision ever comes
// into force by itself.
func (p *Part) storeChunk(hash string, packed []byte, from string) {
	chunk, err := unpack(packed, hash)
	if err != nil {
		p.count(countBadChunks, from)
		p.emit(core.Note{Name: "configuration chunk refused", Fields: []string{"source", from, "hash", hash}})
		p.delayRetry()
		return
	}
	p.chunks[hash] = chunk
	delete(p.fetch.outstanding, hash)
	p.fetch.failures = 0
	if len(p.fetch.outstanding) == 0 {
		p.requestChunks()
	}
}

// retryFetch requests what the last source did not deliver from another one.
func (p *Part) retryFetch() {
	if p.fetch == nil || p.now < p.fetch.deadline {
		return
	}
	p.fetch.failures++
	next, ok := p.nextSource(p.fetch)
	if !ok {
		p.delayRetry()
		return
	}
	p.fetch.source = next
	p.requestChunks()
}

// nextSource cycles through the KV service, if it holds the revision and is
// reachable, and the peers that have the revision. It returns false if there is
// no source.
func (p *Part) nextSource(f *fetch) (source, bool) {
	hosts := p.peersWith(f.head.Revision)
	kv := p.kvUp && f.inKV
	last := f.source.peer
	switch {
	case len(hosts) == 0:
		return source{kv: true}, kv
	case f.source.kv:
		return source{peer: hosts[0]}, true
	case kv && last >= hosts[len(hosts)-1]:
		return source{kv: true}, true
	default:
		return source{peer: nextHost(hosts, last)}, true
	}
}

// kvReachable retries a fetch at once when the KV service is reachable again.
func (p *Part) kvReachable(up bool) {
	back := up && !p.kvUp
	p.kvUp = up && p.cfg.KV
	if back && p.fetch != nil && p.fetch.inKV {
		p.fetch.source = source{kv: true}
		p.requestChunks()
	}
}

// result routes the answer to a KV call. An answer with an unknown tag belongs
// to another part.
func (p *Part) result(ev core.KVResult) {
	c, ok := p.calls[ev.Tag]
	if !ok {
		return
	}
	delete(p.calls, ev.Tag)
	if c.kind == callFetchChunk {
		p.chunkRead(c.hash, ev)
		return
	}
	p.jobResult(c, ev)
}

func (p *Part) chunkRead(hash string, ev core.KVResult) {
	if p.fetch == nil || !p.fetch.outstanding[hash] {
		return
	}
	if ev.Code != code.OK {
		p.delayRetry()
		return
	}
	p.storeChunk(hash, ev.Value, sourceKV)
}
