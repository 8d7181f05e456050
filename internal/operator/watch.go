package operator

import (
	"encoding/json"
	"net/http"
	"time"

	"nutmeglane.example/nutmeglane/internal/api"
	"nutmeglane.example/nutmeglane/internal/code"
)

// watchWriteTimeout limits writing one batch of events to a client.
const watchWriteTimeout = 30 * time.Second

// watch streams the changes of a kind as lines of JSON, one Event each.
//
// With resourceVersion=N it sends the changes after revision N, each exactly once.
// Without it, or with 0, it first sends the existing resources as ADDED. A BOOKMARK
// ends each batch and is also sent periodically without changes: a client resumes at
// the revision of the last one. If the changes since N were discarded (there were too
// many, or this entry started later), the response is 410 before the start of the
// stream and an ERROR event within it. The client must then list again and watch from
// the revision of the list.
func (h *Handler) watch(w http.ResponseWriter, r *http.Request, kind api.Kind) {
	revision, err := version(r)
	if err != nil {
		writeBadQuery(w, err)
		return
	}
	s := h.current(w)
	if s == nil {
		return
	}
	stream := &eventStream{w: w, encoder: json.NewEncoder(w), control: http.NewResponseController(w)}
	if revision == 0 {
		for _, resource := range s.Resources(kind) {
			stream.send(Event{Type: Added, Revision: s.Revision, Object: &resource})
		}
		revision = s.Revision
		stream.send(Event{Type: Bookmark, Revision: revision})
	}
	h.follow(r, stream, kind, revision)
}

// follow sends changes until the client disconnects, the handler is closed, or the
// client is too slow for the history. A slow client does not delay others: each
// reads from the history, and no events are queued per client.
func (h *Handler) follow(r *http.Request, stream *eventStream, kind api.Kind, revision int64) {
	bookmarks := time.NewTicker(h.opts.BookmarkInterval)
	defer bookmarks.Stop()
	for stream.err == nil {
		events, newest, more, ok := h.history.after(kind, revision)
		if !ok {
			stream.fail(revision, tooOld())
			return
		}
		for _, event := range events {
			stream.send(event)
		}
		if newest > revision || !stream.started {
			stream.send(Event{Type: Bookmark, Revision: newest})
		}
		revision = newest
		stream.flush()
		select {
		case <-more:
		case <-bookmarks.C:
			stream.send(Event{Type: Bookmark, Revision: revision})
		case <-r.Context().Done():
			return
		case <-h.stopped:
			return
		}
	}
}

func tooOld() Failure {
	return Failure{
		Code:    code.WatchTooOld,
		Message: "the changes since the stated resourceVersion are not kept here any more",
		Next:    "list the resources again and watch from the list's revision",
	}
}

// eventStream writes events to a client until a write fails.
type eventStream struct {
	w       http.ResponseWriter
	encoder *json.Encoder
	control *http.ResponseController
	started bool
	err     error
}

func (s *eventStream) send(event Event) {
	if !s.started {
		s.started = true
		s.w.Header().Set("Content-Type", "application/x-ndjson")
		s.w.WriteHeader(http.StatusOK)
	}
	if s.err == nil {
		s.err = s.encoder.Encode(event)
	}
}

// flush sends the buffered events. The deadline detects a connection whose peer does
// not respond: without it the handler would block in a write for as long as the
// operating system retransmits. Bookmarks ensure that there are regular writes.
func (s *eventStream) flush() {
	if s.err == nil {
		_ = s.control.SetWriteDeadline(time.Now().Add(watchWriteTimeout))
		s.err = s.control.Flush()
	}
}

// fail ends the stream with an ERROR event, or responds with 410 if it has not started.
func (s *eventStream) fail(revision int64, failure Failure) {
	if !s.started {
		writeError(s.w, http.StatusGone, failure)
		return
	}
	s.send(Event{Type: Failed, Revision: revision, Failure: &failure})
	s.flush()
}
