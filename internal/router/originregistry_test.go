package router

import (
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/fleet"
)

// newPlainStreams returns a fixture with a route of streams of a plain service that can be resumed, and
// servers of a release. No loader exists.
func newPlainStreams(t *testing.T) *fixture {
	t.Helper()
	w := newFixture(t)
	w.step(ConfigRead{Config: plainStreamsConfig()})
	w.step(StoreState{Reachable: true})
	w.servers(plainService, 2)
	w.step(RegistryConfirmed{AsOf: w.now})
	return w
}

func plainStreamsConfig() *fleet.Config {
	config := nextConfig(2)
	config.Routes = append(config.Routes, route("plain", fleet.Stream, plainService, 600*time.Millisecond, 10*time.Second, 2, true))
	return config
}

// Guards against a router that was cut off from the registry or stood still, and continues the stream of
// a release that it has not seen at the only one that it knows.
func TestStreamIsTakenUpOnceTheRegistryWasRead(t *testing.T) {
	second := func(w *fixture) fleet.Backend {
		b := w.server(plainService, 2)
		b.Release = v2
		return b
	}
	tests := []struct {
		name string
		// happens takes place once the request has arrived, at a time after that.
		happens func(w *fixture, arrived RegistryConfirmed)
		want    code.Code
	}{
		{"read since", func(w *fixture, arrived RegistryConfirmed) { w.step(arrived) }, code.OK},
		{"a read that began before, then one since", func(w *fixture, arrived RegistryConfirmed) {
			w.step(RegistryConfirmed{AsOf: arrived.AsOf - 1})
			if len(w.sends)+len(w.finishes) != 0 {
				w.t.Errorf("decided on an older registry: %+v, %+v", w.sends, w.finishes)
			}
			w.run(confirmPause)
			if w.storeReads != 2 {
				w.t.Errorf("%d reads requested, want another one", w.storeReads)
			}
			w.step(arrived)
		}, code.OK},
		{"another release has joined", func(w *fixture, arrived RegistryConfirmed) {
			w.step(BackendsChanged{Written: map[string]fleet.Backend{"s2": second(w)}})
			w.step(arrived)
		}, code.UnknownOrigin},
		{"another release has come and gone", func(w *fixture, arrived RegistryConfirmed) {
			w.step(BackendsChanged{Removed: map[string]bool{"s2": true}, Passed: []fleet.Backend{second(w)}})
			w.step(arrived)
		}, code.UnknownOrigin},
		{"changes were missed", func(w *fixture, arrived RegistryConfirmed) {
			w.servers(plainService, 2)
			w.step(arrived)
		}, code.UnknownOrigin},
		{"the store does not answer", func(w *fixture, _ RegistryConfirmed) {
			w.step(StoreState{Reachable: false})
			w.run(tickInterval)
		}, code.UnknownOrigin},
		{"the store is back and may lack entries", func(w *fixture, arrived RegistryConfirmed) {
			w.router.storeDownSince = w.now
			w.step(StoreState{Reachable: true})
			w.step(arrived)
		}, code.UnknownOrigin},
		{"no read ends", func(w *fixture, _ RegistryConfirmed) { w.run(registryReadLimit) }, code.UnknownOrigin},
	}
	for _, stream := range []string{"elsewhere", ""} {
		for _, test := range tests {
			t.Run(test.name+" "+stream, func(t *testing.T) {
				w := newPlainStreams(t)
				w.now = w.now.Add(tickInterval)
				key := w.takeUp("plain", stream)
				if len(w.sends[key]) != 0 || w.storeReads != 1 {
					t.Fatalf("sent %d times, %d reads of the store", len(w.sends[key]), w.storeReads)
				}
				arrived := RegistryConfirmed{AsOf: w.now}
				w.now = w.now.Add(time.Millisecond)
				test.happens(w, arrived)
				if got := w.refusal(key); got != test.want || (got == code.OK) != (len(w.sends[key]) == 1) {
					t.Errorf("ended with %v, sent %d times", got, len(w.sends[key]))
				}
			})
		}
	}
}

// Guards against callers who wait for a read of a store that is known not to answer.
func TestStreamIsRefusedAtOnceWhileTheStoreIsAway(t *testing.T) {
	w := newPlainStreams(t)
	w.now = w.now.Add(tickInterval)
	w.step(StoreState{Reachable: false})
	key := w.takeUp("plain", "elsewhere")
	if end := w.finishes[key]; end.Code != code.UnknownOrigin || !end.Code.NotRun() || end.RetryAfter <= 0 {
		t.Errorf("ended with %+v", end)
	}
}

// registryChange is a change of the registry: a server that joined or, with left, that has left.
type registryChange struct {
	server fleet.Backend
	left   bool
}

// storeRead is a read of the changes of the registry that has begun and has not been delivered yet.
type storeRead struct {
	router *originRouter
	begun  RegistryConfirmed
	// upTo is the number of changes at the time of the read.
	upTo int
}

// deliver passes the changes since the one before to the router of a read.
func (r storeRead) deliver(f *originFleet, changes []registryChange) {
	news := BackendsChanged{Written: map[string]fleet.Backend{}, Removed: map[string]bool{}}
	for _, change := range changes {
		b := change.server
		before, written := news.Written[b.Instance]
		if !change.left {
			news.Written[b.Instance] = b
			continue
		}
		if written {
			news.Passed = append(news.Passed, before)
		}
		delete(news.Written, b.Instance)
		news.Removed[b.Instance] = true
	}
	f.step(r.router, news)
	f.step(r.router, r.begun)
}

// Guards against answers joined from two releases where no loader exists: routers may have seen any older
// state of the registry, and a read may end at any time after it began.
func TestStreamsOfPlainServicesAreNeverJoinedFromTwoReleases(t *testing.T) {
	joined := 0
	rapid.Check(t, func(t *rapid.T) {
		const servers = 3
		f := newOriginFleetOf(t, plainService, "plain", plainStreamsConfig(), 2, servers)
		var reads []storeRead
		var changes []registryChange
		known := map[*originRouter]int{}
		router := func() *originRouter { return rapid.SampledFrom(f.routers).Draw(t, "router") }
		actions := f.streamActions(router)
		maps.Copy(actions, map[string]func(*rapid.T){
			"replace a server": func(t *rapid.T) {
				before := maps.Clone(f.servers)
				f.replaceServer(rapid.IntRange(0, servers-1).Draw(t, "which"), rapid.SampledFrom([]fleet.Release{v1, v2}).Draw(t, "release"))
				for _, instance := range slices.Sorted(maps.Keys(f.servers)) {
					if _, there := before[instance]; !there {
						changes = append(changes, registryChange{server: f.servers[instance]})
					}
				}
				for _, instance := range slices.Sorted(maps.Keys(before)) {
					if _, stays := f.servers[instance]; !stays {
						changes = append(changes, registryChange{before[instance], true})
					}
				}
			},
			"begin a read": func(*rapid.T) {
				f.now++
				reads = append(reads, storeRead{router(), RegistryConfirmed{AsOf: f.now}, len(changes)})
			},
			"end a read": func(*rapid.T) {
				if len(reads) == 0 {
					return
				}
				read := reads[0]
				reads = reads[1:]
				read.deliver(f, changes[known[read.router]:read.upTo])
				known[read.router] = read.upTo
			},
		})
		t.Repeat(actions)
		joined += f.continued
	})
	if joined == 0 {
		t.Error("no stream went on: there is nothing to check")
	}
}
