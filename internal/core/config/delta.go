package config

import (
	"slices"

	"nutmeglane.example/nutmeglane/internal/api"
	"nutmeglane.example/nutmeglane/internal/core"
)

// maxUnconfirmed limits the revisions that were handed to the process and are not
// yet confirmed.
const maxUnconfirmed = 8

// deliveredRevisions holds the revisions that were handed to the process.
//
// A difference to a revision that the process rejected (a newer release wrote it)
// or no longer keeps would leave resources missing from the configuration in
// force. A difference is therefore made only to base, which the process has
// confirmed to be in force and which was handed over no earlier than the last
// whole configuration; a SnapshotBuilder keeps all revisions from the newest
// base on. A rejected revision stays in unconfirmed until maxUnconfirmed others
// follow it.
type deliveredRevisions struct {
	base        sizedRevision
	unconfirmed []sizedRevision
}

// sizedRevision is a revision and the number of its resources.
type sizedRevision struct {
	core.ConfigHead
	size int
}

func (h *deliveredRevisions) add(given sizedRevision) {
	h.unconfirmed = append(h.unconfirmed, given)
	h.unconfirmed = slices.Clone(h.unconfirmed[max(0, len(h.unconfirmed)-maxUnconfirmed):])
}

// confirm makes a revision in force the base, and drops older ones.
func (h *deliveredRevisions) confirm(revision int64) {
	h.base = sizedRevision{}
	for len(h.unconfirmed) > 0 && h.unconfirmed[0].Revision <= revision {
		if h.unconfirmed[0].Revision == revision {
			h.base = h.unconfirmed[0]
		}
		h.unconfirmed = h.unconfirmed[1:]
	}
}

// configApplied returns the effect that hands a revision to the process: the
// difference to the base, or the whole configuration if there is no base or if
// more than half of the chunks changed.
func (p *Part) configApplied(head core.ConfigHead) core.ConfigApplied {
	d, base := delta{}, p.delivered.base
	if !d.compute(base.ConfigHead, head, p.chunks) {
		document := assemble(head.Chunks, p.chunks)
		p.delivered = deliveredRevisions{}
		p.delivered.add(sizedRevision{head, api.DocumentSize(document)})
		return core.ConfigApplied{Revision: head.Revision, Document: document}
	}
	size := base.size + d.sizeChange
	p.delivered.add(sizedRevision{head, size})
	return core.ConfigApplied{
		Revision: head.Revision, Base: base.Revision,
		Document: api.JoinDocument(d.put), Deleted: d.deleted, Size: size,
	}
}

// delta collects the added lines of changed chunks, and the keys of the removed
// ones.
type delta struct {
	put     [][]byte
	deleted []api.Key
	// sizeChange is the number of added lines minus the number of removed ones.
	sizeChange int
}

// compute collects the difference between two revisions. It returns false if
// the whole configuration has to be handed over: a chunk has another form than
// the one that this release writes, or more than half of the chunks changed.
func (d *delta) compute(base, head core.ConfigHead, chunks map[string][]byte) bool {
	if base.Revision == 0 || len(base.Chunks) != len(head.Chunks) {
		return false
	}
	changed := 0
	for number, hash := range head.Chunks {
		if hash == base.Chunks[number] {
			continue
		}
		if changed++; changed > chunkCount/2 || !d.addChunk(chunks[base.Chunks[number]], chunks[hash]) {
			return false
		}
	}
	return true
}

func (d *delta) addChunk(before, after []byte) bool {
	newLines, put, ok := linesNotIn(after, before)
	if !ok {
		return false
	}
	_, gone, ok := linesNotIn(before, after)
	if !ok {
		return false
	}
	d.put = append(d.put, newLines...)
	d.sizeChange += api.DocumentSize(after) - api.DocumentSize(before)
	isPut := map[api.Key]bool{}
	for _, key := range put {
		isPut[key] = true
	}
	for _, key := range gone {
		if !isPut[key] {
			d.deleted = append(d.deleted, key)
		}
	}
	return true
}

// linesNotIn returns the lines of a chunk that other lacks, with their keys. It
// returns false if one of them can't be decoded.
func linesNotIn(chunk, other []byte) (lines [][]byte, keys []api.Key, ok bool) {
	have := map[string]bool{}
	for _, line := range api.SplitDocument(other) {
		have[string(line)] = true
	}
	for _, line := range api.SplitDocument(chunk) {
		if have[string(line)] {
			continue
		}
		key, err := api.DecodeKey(line)
		if err != nil {
			return nil, nil, false
		}
		lines, keys = append(lines, line), append(keys, key)
	}
	return lines, keys, true
}
