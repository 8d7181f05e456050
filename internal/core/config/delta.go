package config

import (
	"slices"

	"nutmeglane.example/nutmeglane/internal/api"
	"nutmeglane.example/nutmeglane/internal/core"
)

// maxOpen bounds the revisions handed to the shell whose fate is unknown.
const maxOpen = 8

// handed tells what the shell has been given.
//
// Failure guarded against: a difference to a revision that the shell refused
// (a newer release wrote it) or does not keep, which would show as resources
// missing from what is in force. A difference is made only to base, which the
// shell itself has said is in force and has been given since the last whole
// configuration; a SnapshotBuilder keeps all of those from the newest base on. A
// revision that was refused stays in open until maxOpen others follow it.
type handed struct {
	base sized
	open []sized
}

// sized is a revision with the number of its resources.
type sized struct {
	core.ConfigHead
	size int
}

func (h *handed) add(given sized) {
	h.open = append(h.open, given)
	h.open = slices.Clone(h.open[max(0, len(h.open)-maxOpen):])
}

// confirm makes a revision in force the base, and forgets older ones.
func (h *handed) confirm(revision int64) {
	h.base = sized{}
	for len(h.open) > 0 && h.open[0].Revision <= revision {
		if h.open[0].Revision == revision {
			h.base = h.open[0]
		}
		h.open = h.open[1:]
	}
}

// handOver returns what to tell the shell of a revision: its difference to the
// base, or the whole if there is no base or most of it changed.
func (p *Part) handOver(head core.ConfigHead) core.ConfigApplied {
	d, base := delta{}, p.handed.base
	if !d.between(base.ConfigHead, head, p.chunks) {
		document := assemble(head.Chunks, p.chunks)
		p.handed = handed{}
		p.handed.add(sized{head, api.DocumentSize(document)})
		return core.ConfigApplied{Revision: head.Revision, Document: document}
	}
	size := base.size + d.growth
	p.handed.add(sized{head, size})
	return core.ConfigApplied{
		Revision: head.Revision, Base: base.Revision,
		Document: api.JoinDocument(d.put), Deleted: d.deleted, Size: size,
	}
}

// delta gathers the lines of changed chunks that are new, and the keys of
// those that are gone.
type delta struct {
	put     [][]byte
	deleted []api.Key
	// growth is the number of lines added, less those that are gone.
	growth int
}

// between compares two revisions. It returns false if the whole has to be
// handed over: a chunk is not of the form that this release writes, or more
// than half of them changed.
func (d *delta) between(base, head core.ConfigHead, chunks map[string][]byte) bool {
	if base.Revision == 0 || len(base.Chunks) != len(head.Chunks) {
		return false
	}
	changed := 0
	for number, hash := range head.Chunks {
		if hash == base.Chunks[number] {
			continue
		}
		if changed++; changed > chunkCount/2 || !d.chunk(chunks[base.Chunks[number]], chunks[hash]) {
			return false
		}
	}
	return true
}

func (d *delta) chunk(before, after []byte) bool {
	newLines, put, ok := missing(after, before)
	if !ok {
		return false
	}
	_, gone, ok := missing(before, after)
	if !ok {
		return false
	}
	d.put = append(d.put, newLines...)
	d.growth += api.DocumentSize(after) - api.DocumentSize(before)
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

// missing returns the lines of a chunk that another does not have, with their
// keys. It returns false if one can't be read.
func missing(chunk, other []byte) (lines [][]byte, keys []api.Key, ok bool) {
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
