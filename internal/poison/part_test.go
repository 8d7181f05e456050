package poison

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"nutmeglane.example/nutmeglane/internal/core"
)

// partEnd returns the end of a server with its own address, some time after start, under
// requests that hold parts in the given order. The requests had been there for 100 ms.
func partEnd(server string, after time.Duration, requests map[core.Fingerprint][]core.Fingerprint) core.ServerEnd {
	e := core.ServerEnd{Life: core.ServerLife{Instance: server}, Service: "s", Address: "at-" + server, Ago: -after}
	index := map[core.Fingerprint]int{}
	for request, parts := range requests {
		for depth, part := range parts {
			at, known := index[part]
			if !known {
				at = len(e.Parts)
				index[part] = at
				e.Parts = append(e.Parts, core.LostPart{Part: part, Depth: uint16(depth)})
			}
			e.Parts[at].Holders = append(e.Parts[at].Holders, uint16(len(e.Requests)))
		}
		e.Requests = append(e.Requests, core.LostRequest{Fingerprint: request, Age: 100, Arrival: uint32(request)})
	}
	return e
}

// one returns a request that holds parts.
func one(request core.Fingerprint, parts ...core.Fingerprint) map[core.Fingerprint][]core.Fingerprint {
	return map[core.Fingerprint][]core.Fingerprint{request: parts}
}

// Requests that differ share a part. The ends under all of them must count against the part,
// and each against its own request.
func TestEndsCountAgainstPart(t *testing.T) {
	l := New()
	addAll(l, partEnd("a", 0, one(1, 90, 91)), partEnd("b", 0, one(2, 90)), partEnd("c", 0, one(3, 90, 92)))
	got := map[core.Fingerprint]int{}
	for _, f := range []core.Fingerprint{1, 2, 3, 90, 91, 92} {
		got[f] = l.Ends(f)
	}
	if diff := cmp.Diff(map[core.Fingerprint]int{1: 1, 2: 1, 3: 1, 90: 3, 91: 1, 92: 1}, got); diff != "" {
		t.Error(diff)
	}
}

// A server writes an answer on a part after two servers ended under it. These ends must not
// count any more, also if a router reports them only later; an end that follows must count.
func TestServedPartLosesEarlierEnds(t *testing.T) {
	l := New()
	addAll(l, partEnd("a", 0, one(1, 90)), partEnd("b", time.Second, one(2, 90)))
	if n := l.Served(90, start.Add(2*time.Second), "i-7"); n != 2 {
		t.Errorf("%d ends were cleared, want 2", n)
	}
	addAll(l, partEnd("a", 0, one(4, 90)), partEnd("c", 3*time.Second, one(3, 90)))
	if n := l.Ends(90); n != 1 {
		t.Errorf("%d ends count, want the one that followed", n)
	}
}

// A process that starts receives all that another one has recorded. It must draw the same
// conclusions on parts and on what is harmless.
func TestAllIsTakenOver(t *testing.T) {
	l, other := New(), New()
	addAll(l, partEnd("a", 0, one(1, 90, 91)), partEnd("b", time.Second, one(2, 90, 91)))
	l.Served(91, start.Add(time.Second), "i-7")
	now := start.Add(5 * time.Second)
	other.AddNews(now, l.All(now))
	// When a process last saw a suspect is its own knowledge.
	notSeen := cmpopts.IgnoreFields(Entry{}, "Seen")
	if diff := cmp.Diff(l.Dump(now), other.Dump(now), notSeen); diff != "" || other.Ends(90) != 2 || other.Ends(91) != 0 {
		t.Errorf("%d and %d ends; %s", other.Ends(90), other.Ends(91), diff)
	}
	addAll(other, partEnd("a", 0, one(3, 91)))
	if n := other.Ends(91); n != 0 {
		t.Errorf("%d ends count although the part is known to be harmless since", n)
	}
}
