package operator

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"nutmeglane.example/nutmeglane/internal/api"
	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
)

func (h *Handler) apply(w http.ResponseWriter, r *http.Request) {
	var change core.ApplyRequested
	var err1, err2 error
	change.DryRun, err1 = flag(r, "dryRun")
	change.Prune, err2 = flag(r, "prune")
	if err := errors.CombineErrors(err1, err2); err != nil {
		writeBadQuery(w, err)
		return
	}
	if resources, ok := h.resources(w, r); ok {
		h.change(w, r, change, resources)
	}
}

func (h *Handler) create(w http.ResponseWriter, r *http.Request) {
	kind, ok := h.kind(w, r)
	if !ok {
		return
	}
	dryRun, err := flag(r, "dryRun")
	if err != nil {
		writeBadQuery(w, err)
		return
	}
	resources, ok := h.resources(w, r)
	if !ok {
		return
	}
	if len(resources) != 1 || resources[0].Kind != kind {
		writeBadResource(w, api.Problem{Path: "kind", Got: describeKinds(resources), Wanted: "one resource of kind " + string(kind)})
		return
	}
	h.change(w, r, core.ApplyRequested{Create: true, DryRun: dryRun}, resources)
}

func describeKinds(resources []api.Resource) string {
	if len(resources) == 1 {
		return string(resources[0].Kind)
	}
	return fmt.Sprintf("%d resources", len(resources))
}

// patch merges the body into the resource in force at this entry. The merged resource
// states the resourceVersion it is based on, so that a concurrent change causes a
// conflict instead of being overwritten.
func (h *Handler) patch(w http.ResponseWriter, r *http.Request) {
	dryRun, err := flag(r, "dryRun")
	if err != nil {
		writeBadQuery(w, err)
		return
	}
	_, current, ok := h.resource(w, r)
	if !ok {
		return
	}
	body, ok := h.body(w, r)
	if !ok {
		return
	}
	document, err := mergeInto(current, body)
	if err != nil {
		writeError(w, http.StatusBadRequest, Failure{
			Code: code.BadBody, Message: err.Error(), Next: "send a JSON object with the fields to change; null takes a field away",
		})
		return
	}
	resources, err := api.ParseFile("", document)
	if err != nil {
		writeDeclarationError(w, err)
		return
	}
	if key := resources[0].Key(); key != current.Key() {
		writeBadResource(w, api.Problem{
			Resource: current.Key().String(), Path: "metadata.name", Got: key.String(), Wanted: "the kind and name in the path",
		})
		return
	}
	h.change(w, r, core.ApplyRequested{DryRun: dryRun}, resources)
}

// mergeInto returns the resource with a merge patch applied.
func mergeInto(current api.Resource, patch []byte) ([]byte, error) {
	standard, err := api.Standardize(patch)
	if err != nil {
		return nil, errors.Wrap(err, "the patch can't be read")
	}
	var changes map[string]any
	if err := json.Unmarshal(standard, &changes); err != nil || changes == nil {
		return nil, errors.New("the patch is not a JSON object")
	}
	encoded, err := json.Marshal(current)
	if err != nil {
		return nil, errors.Wrap(err, "encode resource")
	}
	var target map[string]any
	if err := json.Unmarshal(encoded, &target); err != nil {
		return nil, errors.Wrap(err, "decode resource")
	}
	return json.Marshal(merge(target, changes))
}

// merge implements MergePatch of RFC 7396, section 2. Its recursion depth is limited,
// because api.Standardize limits the nesting of the patch.
func merge(target, patch map[string]any) map[string]any {
	if target == nil {
		target = map[string]any{}
	}
	for name, value := range patch {
		switch value := value.(type) {
		case nil:
			delete(target, name)
		case map[string]any:
			inner, _ := target[name].(map[string]any)
			target[name] = merge(inner, value)
		default:
			target[name] = value
		}
	}
	return target
}

func (h *Handler) delete(w http.ResponseWriter, r *http.Request) {
	kind, ok := h.kind(w, r)
	if !ok {
		return
	}
	dryRun, err1 := flag(r, "dryRun")
	stated, err2 := version(r)
	if err := errors.CombineErrors(err1, err2); err != nil {
		writeBadQuery(w, err)
		return
	}
	key := api.Key{Kind: kind, Name: r.PathValue("name")}
	change := core.ApplyRequested{Delete: []core.ConfigDeletion{{Key: key, ResourceVersion: stated}}, DryRun: dryRun}
	done, ok := h.request(w, r, change)
	switch {
	case !ok:
	case len(done.Changes) == 1 && done.Changes[0].Action == core.ActionAbsent:
		writeNotFound(w, key)
	default:
		writeJSON(w, http.StatusOK, resultOf(done, dryRun))
	}
}

// body reads the request body. On failure it responds with an error and returns false.
func (h *Handler) body(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, h.opts.MaxBody))
	if err != nil {
		writeBodyError(w, err)
	}
	return body, err == nil
}

// resources parses declarations from the body. On failure it responds with the
// problems and returns false.
func (h *Handler) resources(w http.ResponseWriter, r *http.Request) ([]api.Resource, bool) {
	body, ok := h.body(w, r)
	if !ok {
		return nil, false
	}
	resources, err := api.ParseFile("", body)
	if err != nil {
		writeDeclarationError(w, err)
	}
	return resources, err == nil
}

// change requests a change of resources and responds with its result.
func (h *Handler) change(w http.ResponseWriter, r *http.Request, change core.ApplyRequested, resources []api.Resource) {
	document, err := api.EncodeDocument(resources)
	if err != nil {
		writeDeclarationError(w, err)
		return
	}
	change.Resources = document
	if done, ok := h.request(w, r, change); ok {
		writeJSON(w, http.StatusOK, resultOf(done, change.DryRun))
	}
}

// request passes a change to the reducer and waits for the result. It returns false
// if it has responded with an error. A change continues if the caller disconnects.
func (h *Handler) request(w http.ResponseWriter, r *http.Request, change core.ApplyRequested) (core.ApplyDone, bool) {
	answer := make(chan core.ApplyDone, 1)
	h.mu.Lock()
	h.lastID++
	change.ID = h.lastID
	h.pending[change.ID] = answer
	h.mu.Unlock()
	h.post(change)
	timer := time.NewTimer(h.opts.Timeout)
	defer timer.Stop()
	select {
	case done := <-answer:
		if done.Code != code.OK {
			writeRefusal(w, done)
			return done, false
		}
		return done, true
	case <-timer.C:
	case <-r.Context().Done():
	}
	h.mu.Lock()
	delete(h.pending, change.ID)
	h.mu.Unlock()
	writeRefusal(w, core.ApplyDone{Code: code.KVUnknown})
	return core.ApplyDone{}, false
}
