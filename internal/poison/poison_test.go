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

// serverEnd returns the end of a server with its own address, under requests.
func serverEnd(server string, requests ...core.Fingerprint) core.ServerEnd {
	e := core.ServerEnd{Life: core.ServerLife{Instance: server}, Service: "s", Address: "at-" + server}
	for _, f := range requests {
		e.Requests = append(e.Requests, core.LostRequest{Fingerprint: f, Age: 100, Arrival: uint32(xxhash.Sum64String(server))})
	}
	return e
}

func addAll(l *Ledger, ends ...core.ServerEnd) {
	for _, e := range ends {
		l.Add(start, e)
	}
}

func checkPoison(t *testing.T, l *Ledger, f core.Fingerprint, want bool) {
	t.Helper()
	l.Found(start)
	if got := l.Poison(f); got != want {
		t.Errorf("request %d with %d ends: poison %t, want %t", f, l.Ends(f), got, want)
	}
}

// Three servers end under one request, whichever router noticed each. From the third on
// it must be poison, and must be returned once.
func TestThirdEndMakesRequestPoison(t *testing.T) {
	l := New()
	addAll(l, serverEnd("a", 1, 2), serverEnd("b", 1), serverEnd("b", 1), serverEnd("b", 3))
	checkPoison(t, l, 1, false)
	l.Add(start, serverEnd("c", 1, 4))
	if got := l.Found(start); !cmp.Equal(got, []core.Fingerprint{1}) {
		t.Errorf("returned %v, want request 1", got)
	}
	l.Add(start, serverEnd("d", 1))
	if got := l.Found(start); len(got) != 0 {
		t.Errorf("returned %v again", got)
	}
	checkPoison(t, l, 1, true)
	for _, f := range []core.Fingerprint{2, 3, 4, 5} {
		checkPoison(t, l, f, false)
	}
}

// A resumable stream is resent from a server that a poison request ended to the next one,
// which the poison request ends as well. The caller of the poison request retries on a
// third and fourth. The stream must not be poison: another request explains the ends.
func TestRequestNextToPoisonIsNotPoison(t *testing.T) {
	l := New()
	addAll(l, serverEnd("a", 1), serverEnd("b", 1, 2), serverEnd("c", 1, 2), serverEnd("d", 1, 2))
	checkPoison(t, l, 1, true)
	checkPoison(t, l, 2, false)
}

// The same stream happens to be on exactly the three servers that the poison request
// ends. It had been there for longer: a request that ends servers as it begins to run has
// a low age each time.
func TestOlderRequestNextToPoisonIsNotPoison(t *testing.T) {
	l := New()
	for _, server := range []string{"a", "b", "c"} {
		e := serverEnd(server, 1)
		e.Requests = append(e.Requests, core.LostRequest{Fingerprint: 2, Age: 400, Arrival: e.Requests[0].Arrival})
		l.Add(start, e)
	}
	checkPoison(t, l, 1, true)
	checkPoison(t, l, 2, false)
}

// A stream waits for its model together with the poison request, and is resent with it
// from one engine that has just loaded the model to the next: three end within a second.
// The stream has the lower age on each. It arrived once, the poison request three times.
func TestResentStreamIsNotPoison(t *testing.T) {
	l := New()
	for _, server := range []string{"a", "b", "c"} {
		e := serverEnd(server, 1)
		e.Requests = append(e.Requests, core.LostRequest{Fingerprint: 2, Age: 1, Arrival: 7})
		l.Add(start, e)
	}
	checkPoison(t, l, 1, true)
	checkPoison(t, l, 2, false)
}

// Two poison requests arrive at the same time and are on the same server once. Neither
// must hide the other.
func TestTwoPoisonRequests(t *testing.T) {
	l := New()
	addAll(l, serverEnd("a", 1), serverEnd("b", 2), serverEnd("c", 1, 2), serverEnd("d", 1), serverEnd("e", 2), serverEnd("f", 2))
	checkPoison(t, l, 1, true)
	checkPoison(t, l, 2, true)
}

// A faulty server crashes with any request and is restarted each time. Requests that were
// sent to it three times must not be poison, unless the service has no other server.
func TestFaultyServerMakesNoPoison(t *testing.T) {
	for sole, want := range map[bool]bool{false: false, true: true} {
		l := New()
		for _, life := range []string{"a1", "a2", "a3", "a4"} {
			e := serverEnd(life, 1)
			e.Address, e.Sole = "at-a", sole
			l.Add(start, e)
		}
		checkPoison(t, l, 1, want)
	}
}

// Guards against a poison request for a model that one server has, which ends that server again and
// again: no other address can show that it is the request.
func TestRequestThatOneServerCouldRunIsPoison(t *testing.T) {
	tests := map[string]struct {
		lives, elsewhere int
		want             bool
	}{
		"three ends":                             {3, 0, true},
		"two ends":                               {2, 0, false},
		"another server could have run it once":  {3, 1, false},
		"another once, and three ends beside it": {4, 1, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			for _, kind := range []Kind{Request, Part} {
				l := New()
				for i := range test.lives {
					e := serverEnd(fmt.Sprint("life", i), core.Fingerprint(100+i))
					if kind == Request {
						e = serverEnd(fmt.Sprint("life", i), 1)
					}
					e.Address = "at-a"
					if i >= test.elsewhere {
						e.Only = []uint16{0}
					}
					if kind == Part {
						e.Parts = []core.LostPart{{Part: 1, Holders: []uint16{0}, Began: true}}
						e.Ago = time.Duration(test.lives-i) * 10 * time.Second
					}
					l.Add(start, e)
				}
				l.Answered("s", start.Add(-time.Second))
				checkPoison(t, l, 1, test.want)
			}
		})
	}
}

// Guards against evidence that loses, on its way to other processes, that one server alone could run
// a request.
func TestEvidenceOfTheOnlyServerIsKept(t *testing.T) {
	l, other, started := New(), New(), New()
	for i := range 3 {
		e := serverEnd(fmt.Sprint("life", i), 7, 1)
		e.Address, e.Only = "at-a", []uint16{1}
		l.Add(start, e)
	}
	other.AddNews(start, core.PoisonNews{Ends: l.Evidence(start, 1)})
	checkPoison(t, other, 1, true)
	started.AddNews(start, l.All(start))
	checkPoison(t, started, 1, true)
}

// All servers of the fleet lose power, twice. Each engine has different requests, and
// those that were on two of them have two ends: none must be poison.
func TestFleetWideEndsMakeNoPoison(t *testing.T) {
	l := New()
	for round := range 2 {
		for server := range 12 {
			e := serverEnd(fmt.Sprintf("s%d-%d", server, round))
			for i := range 64 {
				e.Requests = append(e.Requests, core.LostRequest{Fingerprint: core.Fingerprint(1 + (server+5*round)%12*64 + i)})
			}
			l.Add(start, e)
			if got := l.Found(start); len(got) > 0 {
				t.Fatalf("poison: %v", got)
			}
		}
	}
}

// One router has the start time of a server's life, another does not have it yet. Their
// reports must count as one end. Two lives of one instance must count as two.
func TestLivesWithAndWithoutBirth(t *testing.T) {
	l := New()
	for _, born := range []int64{7, 0, 7, 9} {
		e := serverEnd("a", 1)
		e.Life.Born = born
		l.Add(start, e)
	}
	if n := l.Ends(1); n != 2 {
		t.Errorf("%d ends, want 2", n)
	}
}

// A request was served, or an operator cleared it. Its earlier ends must not count any
// more.
func TestClearedRequest(t *testing.T) {
	l := New()
	addAll(l, serverEnd("a", 1), serverEnd("b", 1), serverEnd("c", 1, 2))
	if !l.Clear(start, 1) || l.Clear(start, 1) {
		t.Error("want it cleared exactly once")
	}
	addAll(l, serverEnd("b", 1)) // from a router that did not know of the clearance
	checkPoison(t, l, 1, false)
	if len(l.ends) != 1 || l.Ends(2) != 1 {
		t.Errorf("ends left: %d, of request 2: %d", len(l.ends), l.Ends(2))
	}
}

// A poison request must be remembered as long as its caller retries, and for Retention
// afterwards.
func TestRequestsExpire(t *testing.T) {
	l := New()
	addAll(l, serverEnd("a", 1), serverEnd("b", 1), serverEnd("c", 1, 2))
	l.RecordArrival(start.Add(Retention-time.Second), 1)
	l.Expire(start.Add(Retention))
	checkPoison(t, l, 1, true)
	if l.Ends(2) != 0 {
		t.Error("request 2, which was not retried, is remembered")
	}
	l.Expire(start.Add(2*Retention - time.Second))
	if len(l.suspects)+len(l.ends) != 0 {
		t.Errorf("%d requests and %d ends are left", len(l.suspects), len(l.ends))
	}
}

// A thousand servers end, each with other requests. Memory must stay bounded, and the
// poison request among them must stay known.
func TestLedgerIsBounded(t *testing.T) {
	l := New()
	addAll(l, serverEnd("a", 1), serverEnd("b", 1), serverEnd("c", 1))
	for i := range 1000 {
		e := serverEnd(fmt.Sprint("s", i))
		for j := range 64 {
			e.Requests = append(e.Requests, core.LostRequest{Fingerprint: core.Fingerprint(100 + 64*i + j)})
		}
		l.Add(start.Add(time.Duration(i)), e)
	}
	if len(l.suspects) > maxSuspects || len(l.ends) > maxSuspects {
		t.Errorf("%d requests, %d ends", len(l.suspects), len(l.ends))
	}
	checkPoison(t, l, 1, true)
}

// Routers receive the same ends in different order and in parts. They must reach the same
// conclusions.
func TestOrderMakesNoDifference(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for range 200 {
		var ends []core.ServerEnd
		for server := range 2 + random.IntN(8) {
			for range 1 + random.IntN(4) {
				ends = append(ends, serverEnd(fmt.Sprint(server), core.Fingerprint(1+random.IntN(6))))
			}
		}
		a, b := New(), New()
		addAll(a, ends...)
		random.Shuffle(len(ends), func(i, j int) { ends[i], ends[j] = ends[j], ends[i] })
		addAll(b, ends...)
		a.Found(start)
		b.Found(start)
		for f := core.Fingerprint(1); f <= 6; f++ {
			if a.Poison(f) != b.Poison(f) {
				t.Fatalf("request %d: %t and %t, by the order of %+v", f, a.Poison(f), b.Poison(f), ends)
			}
		}
	}
}

// The evidence for a poison request, added to an empty ledger, must make the same request
// poison.
func TestEvidenceMakesRequestPoison(t *testing.T) {
	l, other := New(), New()
	addAll(l, serverEnd("a", 1, 2), serverEnd("b", 1), serverEnd("c", 1))
	for _, e := range l.Evidence(start.Add(time.Second), 1) {
		other.Add(start, e)
	}
	checkPoison(t, other, 1, true)
	if other.Ends(2) != 0 || len(l.Evidence(start, 9)) != 0 {
		t.Error("evidence of other requests")
	}
}
