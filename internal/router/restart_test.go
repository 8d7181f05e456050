package router

import (
	"testing"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/fleet"
)

const firstBorn, secondBorn, thirdBorn = 1_700_000_000_000, 1_700_000_030_000, 1_700_000_031_000

// born is engine i as the registry lists it in a life, with models loaded.
func (w *world) born(i int, born int64, models ...string) fleet.Backend {
	b := w.server(engineService, i)
	b.Born = born
	for _, name := range models {
		b.Models = append(b.Models, fleet.LoadedModel{Name: name})
	}
	return b
}

func (w *world) lists(backends ...fleet.Backend) {
	w.t.Helper()
	written := map[string]fleet.Backend{}
	for _, b := range backends {
		written[b.Instance] = b
	}
	w.step(BackendsChanged{Written: written})
}

// holdsIn lets a loader speak of a life of its engine, called by its instance.
func (w *world) holdsIn(i int, born int64, models ...string) {
	w.t.Helper()
	w.holds(i, core.Holdings{Instance: w.server(engineService, i).Instance, Born: born, Models: loadedModels(models...), OnDisk: []string{"m1"}, FreeMB: 80_000})
}

// twoLives is a router beside two engines, of which the first has m1 loaded and
// starts again under its instance.
func twoLives(t *testing.T) *world {
	w := newWorld(t)
	w.servers(engineService, 0)
	w.lists(w.born(0, firstBorn, "m1"), w.born(1, firstBorn))
	w.holdsIn(0, firstBorn, "m1")
	w.holdsIn(1, firstBorn)
	w.run(loaderGrace)
	return w
}

// An engine crashes and is back within a heartbeat, under the instance that it had.
// Users saw their requests refused by it for as long as its loader's last word
// counted, although another engine could have loaded their model. From the first
// word of the new life nothing of the old one counts, whoever brings it.
func TestRestartForgetsWhatWasLoaded(t *testing.T) {
	for name, tell := range map[string]func(w *world){
		"registry first": func(w *world) { w.lists(w.born(0, secondBorn)) },
		"loader first":   func(w *world) { w.holdsIn(0, secondBorn) },
		"loader that does not know its name yet": func(w *world) {
			w.holds(0, core.Holdings{Born: secondBorn, FreeMB: 80_000})
		},
	} {
		t.Run(name, func(t *testing.T) {
			w := twoLives(t)
			tell(w)
			if key := w.call("patient", prompt("m1")); len(w.sends[key]) != 0 {
				t.Fatalf("sent to %s, which holds nothing", w.lastSend(key).Instance)
			}
			w.holdsIn(0, secondBorn, "m1")
			w.lists(w.born(0, secondBorn, "m1"))
			if send := w.lastSend(w.call("patient", prompt("m1"))); send.Instance != "s0" {
				t.Errorf("sent to %s, want s0 in its new life", send.Instance)
			}
		})
	}
}

// Words of the earlier life come late: a heartbeat, or a loader's message that lay
// in a slow connection. They must not bring back what is gone, in either order.
func TestLateWordsOfAnEarlierLifeSayNothing(t *testing.T) {
	late := map[string]func(w *world){
		"registry": func(w *world) { w.lists(w.born(0, firstBorn, "m1")) },
		"loader":   func(w *world) { w.holdsIn(0, firstBorn, "m1") },
	}
	for first, tell := range late {
		for second, tellAgain := range late {
			t.Run(first+", "+second, func(t *testing.T) {
				w := twoLives(t)
				w.lists(w.born(0, secondBorn))
				tell(w)
				tellAgain(w)
				if key := w.call("patient", prompt("m1")); len(w.sends[key]) != 0 {
					t.Fatalf("sent to %s by a word of its earlier life", w.lastSend(key).Instance)
				}
				if b := w.router.backends["s0"]; b.Born != secondBorn || b.unlistedAt != 0 {
					t.Errorf("born %d, gone at %v", b.Born, b.unlistedAt)
				}
			})
		}
	}
}

// A request waits for its first event when its engine starts again. Its connection
// is silent, as the host lost power. It is treated as at a crash: sent on at once if
// it may run again, else answered, and neither waits for its deadline.
func TestRequestOfAnEarlierLifeIsTreatedAsAtACrash(t *testing.T) {
	w := twoLives(t)
	again := w.call("patient", prompt("m1")) // resumable, two attempts
	once := w.call("quick", prompt("m1"))
	w.run(100 * time.Millisecond)
	w.holdsIn(0, firstBorn, "m1")
	w.holdsIn(1, firstBorn, "m1")
	w.run(100 * time.Millisecond)
	w.lists(w.born(0, secondBorn))
	if send := w.lastSend(again); send.Instance != "s1" || w.abandons[again] != 1 {
		t.Errorf("the repeatable request is at %s, abandoned %d", send.Instance, w.abandons[again])
	}
	finish, ended := w.finishes[once]
	if !ended || finish.Code.HTTPStatus() == 503 {
		t.Errorf("the other one: ended %t with %v, want at once and without the word that it did not run", ended, finish.Code)
	}
}

// A request that was sent after the last word of the earlier life may be with the
// new one, and one whose answer has begun tells by itself whether it goes on.
func TestRequestsOfTheNewLifeGoOn(t *testing.T) {
	w := twoLives(t)
	streaming := w.call("quick", prompt("m1"))
	w.step(FirstEvent{Key: streaming, Attempt: 1})
	w.holdsIn(0, firstBorn, "m1")
	w.now = w.now.Add(time.Millisecond)
	fresh := w.call("quick", prompt("m1"))
	w.lists(w.born(0, secondBorn))
	for _, key := range []Key{streaming, fresh} {
		if finish, ended := w.finishes[key]; ended || w.abandons[key] != 0 {
			t.Errorf("request %d was ended: %v", key, finish)
		}
	}
}

// What an engine is asked to load ahead of demand, and its permit for the weight
// store, are of the life that is over. A further one makes no difference.
func TestTwoRestartsInARow(t *testing.T) {
	w := twoLives(t)
	s := w.router.services[engineService]
	for _, born := range []int64{secondBorn, thirdBorn} {
		key := grantKey{loaderName(0), "m5"}
		s.store.granted = map[grantKey]core.Time{key: w.now.Add(time.Minute)}
		s.store.planned = map[grantKey]plannedLoad{key: {until: w.now.Add(time.Minute)}}
		w.lists(w.born(0, born))
		if len(s.store.granted)+len(s.store.planned) != 0 {
			t.Fatalf("left: permits %v, planned %v", s.store.granted, s.store.planned)
		}
	}
	w.lists(w.born(0, secondBorn, "m1"), w.born(0, firstBorn, "m1"))
	if got := w.router.backends["s0"].Born; got != thirdBorn {
		t.Errorf("born %d, want the third life", got)
	}
}

// The store is away when an engine starts again: only its loader tells. The entry in
// the store is of the earlier life until the engine can write once more.
func TestRestartWhileTheStoreIsAway(t *testing.T) {
	w := twoLives(t)
	w.step(StoreState{Reachable: false})
	w.holdsIn(0, secondBorn)
	if key := w.call("patient", prompt("m1")); len(w.sends[key]) != 0 {
		t.Fatalf("sent to %s by the registry's old word", w.lastSend(key).Instance)
	}
	w.holdsIn(0, secondBorn, "m1")
	w.lastSend(w.call("patient", prompt("m1")))
	w.step(StoreState{Reachable: true})
	w.step(BackendsRead{Backends: map[string]fleet.Backend{"s0": w.born(0, firstBorn, "m5"), "s1": w.born(1, firstBorn)}})
	w.lastSend(w.call("patient", prompt("m1")))
}

// A platform that does not tell when servers started is served as before.
func TestLivesThatAreNotToldApart(t *testing.T) {
	w := newWorld(t)
	w.servers(engineService, 0)
	w.lists(w.born(0, 0, "m1"))
	w.holdsIn(0, firstBorn, "m1")
	w.lastSend(w.call("patient", prompt("m1")))
	w.lists(w.born(0, 0, "m1"))
	w.lastSend(w.call("patient", prompt("m1")))
}

// Guards against a request that is taken for lost with a server's earlier life by an older
// word on that life, which a digest brought late: it may be with the new one.
func TestOldCountsInADigestAreOfTheirTime(t *testing.T) {
	w := twoLives(t)
	w.holdsIn(0, firstBorn, "m1")
	w.run(time.Second)
	key := w.call("patient", prompt("m1"))
	w.lastSend(key)
	w.run(500 * time.Millisecond)
	w.step(DigestReceived{Digest: core.LoadDigest{From: "10.0.0.2", Engines: []core.EngineCounts{
		{Loader: loaderName(0), Age: 1200 * time.Millisecond, Counts: core.Counts{Running: 7}},
	}}})
	if own := w.router.loaders[loaderName(0)].ownThen; own != 0 {
		t.Errorf("%d requests of this router are among the counts, want none: it had none there then", own)
	}
	w.lists(w.born(0, secondBorn))
	if w.abandons[key] != 0 {
		t.Error("the request was taken for lost")
	}
}
