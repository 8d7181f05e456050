package poison

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/go-cmp/cmp"

	"nutmeglane.example/nutmeglane/internal/core"
)

const start = core.Time(time.Hour)

// died is the end of a server at an address of its own, under requests.
func died(server string, requests ...core.Fingerprint) core.ServerEnd {
	e := core.ServerEnd{Life: core.ServerLife{Instance: server}, Service: "s", Address: "at-" + server}
	for _, f := range requests {
		e.Requests = append(e.Requests, core.LostRequest{Fingerprint: f, Age: 100, Arrival: uint32(xxhash.Sum64String(server))})
	}
	return e
}

func tell(l *Ledger, ends ...core.ServerEnd) {
	for _, e := range ends {
		l.Add(start, e)
	}
}

func checkPoison(t *testing.T, l *Ledger, f core.Fingerprint, want bool) {
	t.Helper()
	if got := l.Poison(f); got != want {
		t.Errorf("request %d with %d ends: poison %t, want %t", f, l.Ends(f), got, want)
	}
}

// Three servers end under one request, whoever noticed each of them. From the third
// on it is poison, and that is told once.
func TestThirdServerMakesPoison(t *testing.T) {
	l := New()
	tell(l, died("a", 1, 2), died("b", 1), died("b", 1), died("b", 3))
	checkPoison(t, l, 1, false)
	if told := l.Add(start, died("c", 1, 4)); !cmp.Equal(told, []core.Fingerprint{1}) {
		t.Errorf("told %v, want request 1", told)
	}
	if told := l.Add(start, died("d", 1)); len(told) != 0 {
		t.Errorf("told %v once more", told)
	}
	checkPoison(t, l, 1, true)
	for _, f := range []core.Fingerprint{2, 3, 4, 5} {
		checkPoison(t, l, f, false)
	}
}

// A resumable stream is sent on from a server that a poison request ended to the next
// one, which it ends too, and its caller comes back to a third and fourth. The stream
// is well: what ended the servers is known.
func TestRequestsBesidePoisonAreWell(t *testing.T) {
	l := New()
	tell(l, died("a", 1), died("b", 1, 2), died("c", 1, 2), died("d", 1, 2))
	checkPoison(t, l, 1, true)
	checkPoison(t, l, 2, false)
}

// The same stream has the bad luck to be at just the three servers that the poison
// request ends. It had been there for longer: what ends servers as it begins to run is
// young each time.
func TestOlderNeighbourIsWell(t *testing.T) {
	l := New()
	for _, server := range []string{"a", "b", "c"} {
		e := died(server, 1)
		e.Requests = append(e.Requests, core.LostRequest{Fingerprint: 2, Age: 400, Arrival: e.Requests[0].Arrival})
		l.Add(start, e)
	}
	checkPoison(t, l, 1, true)
	checkPoison(t, l, 2, false)
}

// A stream waits for its model with the poison request, and is sent on with it from one
// engine that has just loaded the model to the next: three end within a second. The
// stream is the younger one at each. It came once, the poison request three times.
func TestRequestThatIsSentOnIsWell(t *testing.T) {
	l := New()
	for _, server := range []string{"a", "b", "c"} {
		e := died(server, 1)
		e.Requests = append(e.Requests, core.LostRequest{Fingerprint: 2, Age: 1, Arrival: 7})
		l.Add(start, e)
	}
	checkPoison(t, l, 1, true)
	checkPoison(t, l, 2, false)
}

// Two poison requests come at once and meet at a server. Neither hides the other.
func TestTwoPoisonRequests(t *testing.T) {
	l := New()
	tell(l, died("a", 1), died("b", 2), died("c", 1, 2), died("d", 1), died("e", 2), died("f", 2))
	checkPoison(t, l, 1, true)
	checkPoison(t, l, 2, true)
}

// A faulty server crashes under anything and is started again each time. Requests that
// were sent to it three times are well, unless the service has nothing else.
func TestServerThatCrashesUnderAnything(t *testing.T) {
	for sole, want := range map[bool]bool{false: false, true: true} {
		l := New()
		for _, life := range []string{"a1", "a2", "a3", "a4"} {
			e := died(life, 1)
			e.Address, e.Sole = "at-a", sole
			l.Add(start, e)
		}
		checkPoison(t, l, 1, want)
	}
}

// Power is lost in the whole fleet, twice. Each engine's requests differ from the
// others', and those that run on two of them have two ends: none is poison.
func TestFleetWideEndsShutNobodyOut(t *testing.T) {
	l := New()
	for round := range 2 {
		for server := range 12 {
			e := died(fmt.Sprintf("s%d-%d", server, round))
			for i := range 64 {
				e.Requests = append(e.Requests, core.LostRequest{Fingerprint: core.Fingerprint(1 + (server+5*round)%12*64 + i)})
			}
			if told := l.Add(start, e); len(told) > 0 {
				t.Fatalf("poison: %v", told)
			}
		}
	}
}

// One router learnt when a server's life began, another had not yet. They speak of one
// end. Two lives of one instance are two.
func TestLivesWithAndWithoutBirth(t *testing.T) {
	l := New()
	for _, born := range []int64{7, 0, 7, 9} {
		e := died("a", 1)
		e.Life.Born = born
		l.Add(start, e)
	}
	if n := l.Ends(1); n != 2 {
		t.Errorf("%d ends, want 2", n)
	}
}

// A request was served, or an operator lifts it. Nothing is held against it.
func TestClearedRequest(t *testing.T) {
	l := New()
	tell(l, died("a", 1), died("b", 1), died("c", 1, 2))
	if !l.Clear(start, 1) || l.Clear(start, 1) {
		t.Error("cleared it not once")
	}
	tell(l, died("b", 1)) // by a router that had not heard of it
	checkPoison(t, l, 1, false)
	if len(l.ends) != 1 || l.Ends(2) != 1 {
		t.Errorf("ends left: %d, of request 2: %d", len(l.ends), l.Ends(2))
	}
}

// A poison request is remembered for as long as its caller comes back, and Keep longer.
func TestForgottenOnceItStaysAway(t *testing.T) {
	l := New()
	tell(l, died("a", 1), died("b", 1), died("c", 1, 2))
	l.RecordArrival(start.Add(Retention-time.Second), 1)
	l.Expire(start.Add(Retention))
	checkPoison(t, l, 1, true)
	if l.Ends(2) != 0 {
		t.Error("request 2, which did not come back, is remembered")
	}
	l.Expire(start.Add(2*Retention - time.Second))
	if len(l.requests)+len(l.ends) != 0 {
		t.Errorf("%d requests and %d ends are left", len(l.requests), len(l.ends))
	}
}

// A thousand servers end, each under other requests. Memory stays bounded, and the
// poison request among them known.
func TestLedgerIsBounded(t *testing.T) {
	l := New()
	tell(l, died("a", 1), died("b", 1), died("c", 1))
	for i := range 1000 {
		e := died(fmt.Sprint("s", i))
		for j := range 64 {
			e.Requests = append(e.Requests, core.LostRequest{Fingerprint: core.Fingerprint(100 + 64*i + j)})
		}
		l.Add(start.Add(time.Duration(i)), e)
	}
	if len(l.requests) > maxRequests || len(l.ends) > maxRequests {
		t.Errorf("%d requests, %d ends", len(l.requests), len(l.ends))
	}
	checkPoison(t, l, 1, true)
}

// Routers hear of the same ends in other orders, and in parts. They conclude the same.
func TestOrderMakesNoDifference(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for range 200 {
		var ends []core.ServerEnd
		for server := range 2 + random.IntN(8) {
			for range 1 + random.IntN(4) {
				ends = append(ends, died(fmt.Sprint(server), core.Fingerprint(1+random.IntN(6))))
			}
		}
		a, b := New(), New()
		tell(a, ends...)
		random.Shuffle(len(ends), func(i, j int) { ends[i], ends[j] = ends[j], ends[i] })
		tell(b, ends...)
		for f := core.Fingerprint(1); f <= 6; f++ {
			if a.Poison(f) != b.Poison(f) {
				t.Fatalf("request %d: %t and %t, by the order of %+v", f, a.Poison(f), b.Poison(f), ends)
			}
		}
	}
}

// What is kept for other processes, taken in by one that knows nothing, makes the same
// request poison.
func TestEvidenceConvinces(t *testing.T) {
	l, other := New(), New()
	tell(l, died("a", 1, 2), died("b", 1), died("c", 1))
	for _, e := range l.Evidence(start.Add(time.Second), 1) {
		other.Add(start, e)
	}
	checkPoison(t, other, 1, true)
	if other.Ends(2) != 0 || len(l.Evidence(start, 9)) != 0 {
		t.Error("evidence of other requests")
	}
}
