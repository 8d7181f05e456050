package operator

import (
	"net/http"

	"nutmeglane.example/nutmeglane/internal/api"
)

func (h *Handler) revision(w http.ResponseWriter, _ *http.Request) {
	var revision Revision
	if s := h.snapshot.Load(); s != nil {
		revision.Revision = s.Revision
	}
	writeJSON(w, http.StatusOK, revision)
}

func (h *Handler) rollout(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, h.opts.View().Rollout())
}

func (h *Handler) listOrWatch(w http.ResponseWriter, r *http.Request) {
	kind, ok := h.kind(w, r)
	if !ok {
		return
	}
	watch, err := flag(r, "watch")
	if err != nil {
		writeBadQuery(w, err)
		return
	}
	if watch {
		h.watch(w, r, kind)
		return
	}
	s := h.current(w)
	if s == nil {
		return
	}
	list := List{Revision: s.Revision, Items: []Item{}}
	view := h.opts.View()
	for _, resource := range s.Resources(kind) {
		state := view.StatusOf(s, resource)
		list.Items = append(list.Items, Item{Resource: resource, Status: &state})
	}
	writeJSON(w, http.StatusOK, list)
}

func (h *Handler) get(w http.ResponseWriter, r *http.Request) {
	s, resource, ok := h.resource(w, r)
	if !ok {
		return
	}
	state := h.opts.View().StatusOf(s, resource)
	writeJSON(w, http.StatusOK, Item{Resource: resource, Status: &state})
}

// resource returns the resource that the path names and its snapshot. If it does not
// exist, resource responds with an error and returns false.
func (h *Handler) resource(w http.ResponseWriter, r *http.Request) (*api.Snapshot, api.Resource, bool) {
	kind, ok := h.kind(w, r)
	if !ok {
		return nil, api.Resource{}, false
	}
	s := h.current(w)
	if s == nil {
		return nil, api.Resource{}, false
	}
	key := api.Key{Kind: kind, Name: r.PathValue("name")}
	resource, found := s.Resource(key)
	if !found {
		writeNotFound(w, key)
	}
	return s, resource, found
}
