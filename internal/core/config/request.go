package config

import (
	"slices"

	"nutmeglane.example/nutmeglane/internal/api"
	"nutmeglane.example/nutmeglane/internal/core"
)

// request is an operator's change with its resources decoded and sorted by key.
type request struct {
	core.ApplyRequested
	resources []api.Resource
	// err is set when the resources can't be decoded.
	err error
}

func decodeRequest(asked core.ApplyRequested) request {
	r := request{ApplyRequested: asked}
	if len(asked.Resources) > 0 {
		r.resources, r.err = api.DecodeDocument(asked.Resources)
	}
	slices.SortFunc(r.resources, func(a, b api.Resource) int { return a.Key().Compare(b.Key()) })
	return r
}

// touched returns the numbers of the chunks that a change has to be planned on,
// in order: those of the resources that it names. All chunks are needed for
// pruning, and while the newest revision is not in force here, since the content
// of the other chunks is then available only from the chunks themselves.
func (p *Part) touched(change request) []int {
	named := map[int]bool{}
	for _, r := range change.resources {
		named[chunkOf(r.Key())] = true
	}
	for _, deletion := range change.Delete {
		named[chunkOf(deletion.Key)] = true
	}
	all := change.Prune || !p.newestInForce()
	var numbers []int
	for number := range chunkCount {
		if all || named[number] {
			numbers = append(numbers, number)
		}
	}
	return numbers
}

func (p *Part) newestInForce() bool {
	return p.snapshot != nil && p.snapshot.Revision == p.newest.Revision && len(p.newest.Chunks) == chunkCount
}

// decodeChunks returns the resources of chunks of the newest revision.
func (p *Part) decodeChunks(numbers []int) ([]api.Resource, error) {
	if len(p.newest.Chunks) == 0 {
		return nil, nil
	}
	var hashes []string
	for _, number := range numbers {
		hashes = append(hashes, p.newest.Chunks[number])
	}
	return api.DecodeDocument(assemble(hashes, p.chunks))
}

// checkFor returns the check for a plan made on some chunks. If those are not all
// chunks, the others are in force here and were checked before.
func (p *Part) checkFor(numbers []int) func(plan) error {
	if len(numbers) == chunkCount {
		return func(made plan) error { return api.Check(made.resources) }
	}
	return func(made plan) error { return p.snapshot.CheckPatch(made.put, made.deleted) }
}
