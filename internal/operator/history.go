package operator

import (
	"sync"

	"nutmeglane.example/nutmeglane/internal/api"
)

// EventType is the type of an Event.
type EventType string

// The event types of a watch.
const (
	Added    EventType = "ADDED"
	Modified EventType = "MODIFIED"
	Deleted  EventType = "DELETED"
	// Bookmark: all events up to Revision were sent, and a watch can resume there.
	Bookmark EventType = "BOOKMARK"
	// Failed: the watch ends; Failure gives the reason.
	Failed EventType = "ERROR"
)

// Event is one line of a watch.
type Event struct {
	Type EventType `json:"type"`
	// Revision is the revision with which the change came into force at this entry.
	Revision int64 `json:"revision"`
	// Object is the resource after the change, or before its deletion.
	Object *api.Resource `json:"object,omitempty"`
	// Failure is set for Failed.
	Failure *Failure `json:"failure,omitempty"`
}

// batch holds the changes between two successive revisions in force.
type batch struct {
	revision int64
	events   []Event
}

// history keeps the newest changes for resuming watches.
type history struct {
	mu    sync.Mutex
	limit int
	// oldest is the oldest revision that a watch can resume from.
	oldest  int64
	newest  int64
	batches []batch
	size    int
	// changed is closed and replaced with each new batch.
	changed chan struct{}
}

func newHistory(limit int) *history { return &history{limit: limit, changed: make(chan struct{})} }

// add records the changes between two configurations. If before is nil, the history
// starts at after, because earlier revisions are unknown to this entry.
func (h *history) add(before, after *api.Snapshot, changed []api.Key) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if before == nil {
		h.oldest = after.Revision
	} else {
		events := diffSnapshots(before, after, changed)
		h.batches = append(h.batches, batch{after.Revision, events})
		h.size += len(events)
		h.trim()
	}
	h.newest = after.Revision
	close(h.changed)
	h.changed = make(chan struct{})
}

func (h *history) trim() {
	for len(h.batches) > 0 && (h.size > h.limit || len(h.batches) > h.limit) {
		h.oldest = h.batches[0].revision
		h.size -= len(h.batches[0].events)
		h.batches = h.batches[1:]
	}
}

// after returns the changes of a kind after a revision, the revision that they lead
// to, and a channel that is closed when there are more. It returns false if some
// changes after the revision were discarded. For a revision that is not yet in force
// at this entry, because another entry was ahead, it returns no changes.
func (h *history) after(kind api.Kind, revision int64) (events []Event, newest int64, more <-chan struct{}, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if revision < h.oldest {
		return nil, 0, nil, false
	}
	for _, b := range h.batches {
		if b.revision <= revision {
			continue
		}
		for _, event := range b.events {
			if event.Object.Kind == kind {
				events = append(events, event)
			}
		}
	}
	return events, max(h.newest, revision), h.changed, true
}

// diffSnapshots returns the changes between two configurations, by kind and name.
// changed lists the resources to compare, or is nil for all.
func diffSnapshots(before, after *api.Snapshot, changed []api.Key) []Event {
	var events []Event
	for _, kind := range api.Kinds() {
		for _, name := range candidates(after, kind, changed) {
			key := api.Key{Kind: kind, Name: name}
			resource, remains := after.Resource(key)
			old, existed := before.Resource(key)
			switch {
			case !remains:
			case !existed:
				events = append(events, Event{Type: Added, Revision: after.Revision, Object: &resource})
			case old.Metadata.ResourceVersion != resource.Metadata.ResourceVersion:
				events = append(events, Event{Type: Modified, Revision: after.Revision, Object: &resource})
			}
		}
		for _, name := range candidates(before, kind, changed) {
			key := api.Key{Kind: kind, Name: name}
			old, existed := before.Resource(key)
			if _, remains := after.Resource(key); existed && !remains {
				events = append(events, Event{Type: Deleted, Revision: after.Revision, Object: &old})
			}
		}
	}
	return events
}

// candidates returns the names of the resources of a kind to compare.
func candidates(s *api.Snapshot, kind api.Kind, changed []api.Key) []string {
	if changed == nil {
		return s.Names(kind)
	}
	var names []string
	for _, key := range changed {
		if key.Kind == kind {
			names = append(names, key.Name)
		}
	}
	return names
}
