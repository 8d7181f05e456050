package poison

import (
	"fmt"
	"math/rand/v2"
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
	if n := l.Served(90, Writing{At: start.Add(2 * time.Second), Server: "i-7"}); n != 2 {
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
	l.Served(91, Writing{At: start.Add(time.Second), Server: "i-7"})
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

// harmfulEnds returns the ends of servers a second apart, each under another request that holds
// the parts.
func harmfulEnds(n int, parts ...core.Fingerprint) []core.ServerEnd {
	var ends []core.ServerEnd
	for i := range n {
		ends = append(ends, partEnd(fmt.Sprint("h", i), time.Duration(i)*time.Second, one(core.Fingerprint(1000+i), parts...)))
	}
	return ends
}

// checkPart draws the conclusions some time after start, at which the service answers other
// requests.
func checkPart(t *testing.T, l *Ledger, after time.Duration, part core.Fingerprint, want bool) {
	t.Helper()
	now := start.Add(after)
	l.Answered("s", now)
	l.Found(now)
	if got := l.Poison(part); got != want {
		t.Errorf("part %d with %d ends: poison %t, want %t", part, l.Ends(part), got, want)
	}
}

// Three servers end, each under another request with the same part. The part must be poison, the
// requests and other parts not.
func TestThirdEndMakesPartPoison(t *testing.T) {
	l := New()
	addAll(l, harmfulEnds(2, 90)...)
	checkPart(t, l, 2*time.Second, 90, false)
	addAll(l, partEnd("c", 2*time.Second, map[core.Fingerprint][]core.Fingerprint{7: {90, 91}, 8: {92}}))
	for part, want := range map[core.Fingerprint]bool{90: true, 91: false, 92: false, 1000: false, 7: false} {
		checkPart(t, l, 2*time.Second, part, want)
	}
}

// Most requests hold the first part, and so do all that hold the harmful one. Each server that
// ends has several of them. The first part must not be blocked, though nothing cleared it yet and
// two harmful parts make twice as many ends under it.
func TestPartOfMostRequestsIsExplained(t *testing.T) {
	l := New()
	for i := range 6 {
		harmful := core.Fingerprint(90 + i%2)
		lost := map[core.Fingerprint][]core.Fingerprint{core.Fingerprint(100 + i): {1, harmful}, core.Fingerprint(200 + i): {1}}
		addAll(l, partEnd(fmt.Sprint("s", i), time.Duration(i)*time.Second, lost))
	}
	for part, want := range map[core.Fingerprint]bool{90: true, 91: true, 1: false} {
		checkPart(t, l, 6*time.Second, part, want)
	}
}

// Two parts always come together. Blocking the later one keeps all these requests from servers;
// the first one may be in other requests. If such requests crash servers too, it must be blocked.
func TestPartsThatComeTogether(t *testing.T) {
	l := New()
	addAll(l, harmfulEnds(3, 1, 90)...)
	checkPart(t, l, 3*time.Second, 90, true)
	checkPart(t, l, 3*time.Second, 1, false)
	for i := range 3 {
		addAll(l, partEnd(fmt.Sprint("more", i), time.Duration(4+i)*time.Second, one(core.Fingerprint(50+i), 1)))
	}
	checkPart(t, l, 7*time.Second, 1, true)
}

// A harmful part comes at different places of the prompt.
func TestPartAtChangingPlaces(t *testing.T) {
	l := New()
	addAll(l, partEnd("a", 0, one(1, 90)), partEnd("b", time.Second, one(2, 5, 90)), partEnd("c", 2*time.Second, one(3, 6, 7, 90)))
	checkPart(t, l, 2*time.Second, 90, true)
}

// A request that crashes servers as a whole comes again, and no other request has its parts. The
// request must be blocked, its parts not.
func TestPartOfOneRequestIsNotBlocked(t *testing.T) {
	l := New()
	for i := range 3 {
		e := partEnd(fmt.Sprint("s", i), time.Duration(i)*time.Second, one(7, 90))
		e.Requests[0].Arrival = uint32(i)
		addAll(l, e)
	}
	checkPart(t, l, 3*time.Second, 90, false)
	checkPart(t, l, 3*time.Second, 7, true)
}

// A stream that holds a harmful part is resent by the routers and ends three servers in one
// attempt of its caller. It must not hide the part.
func TestResentStreamDoesNotHidePart(t *testing.T) {
	l := New()
	for i := range 3 {
		e := partEnd(fmt.Sprint("s", i), time.Duration(i)*time.Second, one(7, 90))
		e.Requests[0].Arrival = 1
		addAll(l, e)
	}
	checkPart(t, l, 2*time.Second, 90, false)
	addAll(l, partEnd("t", 3*time.Second, one(8, 90)))
	checkPart(t, l, 3*time.Second, 90, true)
}

// Guards against blocking the parts of most requests when all servers crash at the same moment,
// twice, by another cause.
func TestServersThatEndTogetherMakeNoPart(t *testing.T) {
	l := New()
	for round := range 2 {
		for i := range 12 {
			id := core.Fingerprint(100*round + i)
			addAll(l, partEnd(fmt.Sprint("s", i, "-", round), time.Duration(round)*10*time.Second, one(1000+id, 1, 20+id%3)))
		}
	}
	for _, part := range []core.Fingerprint{1, 20, 21, 22} {
		checkPart(t, l, 20*time.Second, part, false)
	}
}

// Guards against blocking the parts of all requests while a service answers nothing at all, as
// under a faulty release. With answers to others the part must be blocked.
func TestServiceThatAnswersNothingMakesNoPart(t *testing.T) {
	l := New()
	addAll(l, harmfulEnds(8, 1)...)
	l.Answered("other", start.Add(10*time.Second))
	l.Answered("s", start.Add(-time.Second))
	l.Found(start.Add(10 * time.Second))
	if l.Poison(1) {
		t.Error("blocked, though no other request was answered since")
	}
	checkPart(t, l, 11*time.Second, 1, true)
}

// Five servers end within a fifth of a second, before any answer could show what is harmless. The
// part must be blocked only after the time in which that is learned.
func TestPartIsNotBlockedAtOnce(t *testing.T) {
	l := New()
	for i := range 5 {
		e := partEnd(fmt.Sprint("s", i), time.Duration(i)*40*time.Millisecond, one(core.Fingerprint(100+i), 90))
		e.Requests[0].Age = 10
		addAll(l, e)
	}
	checkPart(t, l, 300*time.Millisecond, 90, false)
	checkPart(t, l, clearingTime, 90, true)
}

// A part was answered well for hours and then turns harmful. Its earlier answers must protect it
// no longer than for two ends more.
func TestPartThatTurnsHarmful(t *testing.T) {
	l := New()
	addAll(l, partEnd("early", 0, one(1, 90)))
	l.Served(90, Writing{At: start.Add(time.Second), Server: "i-1"})
	for i := range writtenThreshold {
		checkPart(t, l, time.Duration(2+i)*time.Hour, 90, false)
		addAll(l, partEnd(fmt.Sprint("s", i), time.Duration(2+i)*time.Hour, one(core.Fingerprint(100+i), 90)))
	}
	checkPart(t, l, 7*time.Hour, 90, true)
}

// Guards against blocking a sound part that is lost at three engines in a row by chance: a router
// that has seen a server write on it before says so with the end.
func TestPartThatWasWrittenOnNeedsMoreEnds(t *testing.T) {
	l := New()
	ends := harmfulEnds(5, 90)
	ends[1].Parts[0].Written = true
	addAll(l, ends[:4]...)
	checkPart(t, l, 5*time.Second, 90, false)
	addAll(l, ends[4])
	checkPart(t, l, 6*time.Second, 90, true)
}

// Guards against a caller that hides a harmful part of others: at each end its requests have as
// many made-up parts as are recorded. The ledger must stay bounded, and the part be blocked.
func TestMadeUpPartsPushOutNoOther(t *testing.T) {
	l := New()
	next := core.Fingerprint(1 << 32)
	for i := range 200 {
		lost := map[core.Fingerprint][]core.Fingerprint{}
		for range 60 {
			next++
			request := next
			for range MaxParts {
				next++
				lost[request] = append(lost[request], next)
			}
		}
		if i%5 == 0 {
			lost[core.Fingerprint(100+i)] = []core.Fingerprint{90}
		}
		addAll(l, partEnd(fmt.Sprint("s", i), time.Duration(i)*time.Second, lost))
	}
	checkPart(t, l, 200*time.Second, 90, true)
	if len(l.suspects) > maxSuspects || len(l.ends) > maxSuspects {
		t.Errorf("%d suspects, %d ends", len(l.suspects), len(l.ends))
	}
}

// Routers receive the same ends and clearances in different order. They must reach the same
// conclusions on parts.
func TestOrderMakesNoDifferenceToParts(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	for range 200 {
		var ends []core.ServerEnd
		for server := range 3 + random.IntN(8) {
			lost := map[core.Fingerprint][]core.Fingerprint{}
			for range 1 + random.IntN(4) {
				lost[core.Fingerprint(100+random.IntN(50))] = []core.Fingerprint{core.Fingerprint(1 + random.IntN(3)), core.Fingerprint(4 + random.IntN(4))}
			}
			ends = append(ends, partEnd(fmt.Sprint(server), time.Duration(server)*time.Second, lost))
		}
		a, b := New(), New()
		addAll(a, ends...)
		a.Served(2, Writing{At: start.Add(2 * time.Second)})
		b.AddNews(start, core.PoisonNews{Harmless: []core.Harmless{{Suspect: 2, Ago: -2 * time.Second}}})
		random.Shuffle(len(ends), func(i, j int) { ends[i], ends[j] = ends[j], ends[i] })
		addAll(b, ends...)
		for part := core.Fingerprint(1); part < 8; part++ {
			now := start.Add(time.Minute)
			for _, l := range []*Ledger{a, b} {
				l.Answered("s", now)
				l.Found(now)
			}
			if a.Poison(part) != b.Poison(part) {
				t.Fatalf("part %d: %t and %t", part, a.Poison(part), b.Poison(part))
			}
		}
	}
}

// The evidence for a harmful part, added to an empty ledger, must make the same part poison.
func TestEvidenceMakesPartPoison(t *testing.T) {
	l, other := New(), New()
	addAll(l, harmfulEnds(4, 1, 90)...)
	now := start.Add(4 * time.Second)
	for _, e := range l.Evidence(now, 90) {
		other.Add(now, e)
	}
	checkPart(t, other, 4*time.Second, 90, true)
	if other.Ends(1) != 0 {
		t.Error("evidence of another part")
	}
}

// BenchmarkFound measures the conclusions while many suspects have ended many servers.
func BenchmarkFound(b *testing.B) {
	l := New()
	for i := range 12 {
		lost := map[core.Fingerprint][]core.Fingerprint{}
		for j := range 64 {
			lost[core.Fingerprint(10_000+64*i+j)] = []core.Fingerprint{1, core.Fingerprint(2 + j%40), core.Fingerprint(100 + j), 90}
		}
		addAll(l, partEnd(fmt.Sprint("s", i), time.Duration(i)*time.Second, lost))
	}
	l.Answered("s", start.Add(time.Minute))
	for b.Loop() {
		l.changed = true
		l.Found(start.Add(time.Minute))
	}
}

// began marks a part of an end as one that the server had begun to answer.
func began(e core.ServerEnd, part core.Fingerprint) core.ServerEnd {
	for i := range e.Parts {
		e.Parts[i].Began = e.Parts[i].Began || e.Parts[i].Part == part
	}
	return e
}

// Guards against blocking a sound part that is lost beside a harmful one at each of its ends, while
// it waited or was being read: only the harmful one had begun to be answered. The harmful one must
// be blocked at its third end.
func TestPartThatWaitedIsExplained(t *testing.T) {
	l := New()
	for i := range 3 {
		lost := map[core.Fingerprint][]core.Fingerprint{core.Fingerprint(100 + i): {1, 90}, core.Fingerprint(200 + i): {1, 20}}
		e := began(partEnd(fmt.Sprint("s", i), time.Duration(i)*time.Second, lost), 90)
		for j := range e.Requests {
			if e.Requests[j].Fingerprint >= 200 {
				e.Requests[j].Age = 1 // the sound one had just come
			}
		}
		addAll(l, e)
	}
	checkPart(t, l, 3*time.Second, 90, true)
	checkPart(t, l, 3*time.Second, 20, false)
}

// A router doesn't get to read that a server had begun to answer the harmful request, as the
// connection is reset; others had begun there. The part must be blocked all the same, later.
func TestPartThatIsNeverSeenToBegin(t *testing.T) {
	l := New()
	for i := range 6 {
		lost := map[core.Fingerprint][]core.Fingerprint{core.Fingerprint(100 + i): {90}, core.Fingerprint(200 + i): {core.Fingerprint(20 + i)}}
		addAll(l, began(partEnd(fmt.Sprint("s", i), time.Duration(i)*time.Second, lost), core.Fingerprint(20+i)))
		checkPart(t, l, time.Duration(i)*time.Second+time.Millisecond, 90, i == 5)
	}
}

// Guards against blocking a part that all requests hold, and with it a whole service: three engines
// end while the store is away, which is known seconds later only, by the registry. Answers that
// began on the part meanwhile must count as such, and the ends be reported as spared once each.
func TestEndsThatAreKnownLate(t *testing.T) {
	l := New()
	l.Answered("s", start.Add(3*time.Second))
	l.Served(1, Writing{At: start.Add(3 * time.Second), Server: "i-7"})
	for i := range 3 {
		e := partEnd(fmt.Sprint("s", i), time.Duration(i)*time.Second, one(core.Fingerprint(100+i), 1, 20))
		addAll(l, e, e)
	}
	checkPart(t, l, 5*time.Second, 1, false)
	if n := l.Ends(1); n != 0 {
		t.Errorf("%d ends count", n)
	}
	if diff := cmp.Diff(map[core.Fingerprint]int{1: 3}, l.TakeSpared()); diff != "" || len(l.TakeSpared()) != 0 {
		t.Errorf("spared: %s", diff)
	}
}
