package origin

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"nutmeglane.example/nutmeglane/internal/core"
)

func stream(n int) Stream { return NewStream(fmt.Sprint("r", n), "route", "service", "account") }

func TestTable(t *testing.T) {
	table := NewTable(2)
	table.Put(0, stream(1), "v1", time.Second)
	table.Put(0, stream(2), "v2", 2*time.Second)
	if release, state := table.Get(0, stream(1)); release != "v1" || state != Known {
		t.Errorf("recorded: %q, %v", release, state)
	}
	if _, state := table.Get(core.Time(time.Second), stream(1)); state != Unknown {
		t.Errorf("after its time: %v", state)
	}
	table.Put(0, stream(3), "v1", time.Second)
	if _, state := table.Get(0, stream(1)); state != Unknown || table.Dropped() != 1 || table.Len() != 2 {
		t.Errorf("the oldest was not dropped: %v, %d dropped, %d left", state, table.Dropped(), table.Len())
	}
}

// Guards against a stream that is joined because a caller used one request id for two streams.
func TestRequestIDUsedTwiceIsAmbiguous(t *testing.T) {
	table := NewTable(9)
	table.Put(0, stream(1), "v1", time.Second)
	table.Put(0, stream(1), "v1", time.Second)
	if _, state := table.Get(0, stream(1)); state != Known {
		t.Errorf("recorded twice with one release: %v", state)
	}
	table.Put(0, stream(1), "v2", time.Second)
	table.Put(0, stream(1), "v2", time.Second)
	if _, state := table.Get(0, stream(1)); state != Ambiguous {
		t.Errorf("recorded with two releases: %v", state)
	}
}

// A caller must not learn of, or steer, the streams of another route, service or client account.
func TestStreamsOfOthersAreUnknown(t *testing.T) {
	table := NewTable(9)
	table.Put(0, NewStream("r", "a", "b", "c"), "v1", time.Second)
	for _, other := range []Stream{NewStream("r", "x", "b", "c"), NewStream("r", "a", "x", "c"), NewStream("r", "a", "b", ""), NewStream("r", "ab", "", "c")} {
		if _, state := table.Get(0, other); state != Unknown {
			t.Errorf("%+v: %v", other, state)
		}
	}
}

// The table must know a release only where a plain list of all records does, and forget nothing
// before its time while there is room.
func TestTableMatchesAList(t *testing.T) {
	type put struct {
		stream  int
		release string
		until   core.Time
	}
	rapid.Check(t, func(t *rapid.T) {
		table, now, puts := NewTable(100), core.Time(0), []put{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * time.Millisecond)
			p := put{rapid.IntRange(0, 5).Draw(t, "stream"), rapid.SampledFrom([]string{"v1", "v2"}).Draw(t, "release"), now.Add(time.Second)}
			table.Put(now, stream(p.stream), p.release, time.Second)
			puts = append(puts, p)
			for n := range 6 {
				releases := map[string]bool{}
				for _, q := range puts {
					if q.stream == n && now < q.until {
						releases[q.release] = true
					}
				}
				release, state := table.Get(now, stream(n))
				switch {
				case state == Known && (!releases[release] || len(releases) > 1):
					t.Fatalf("stream %d: known as %q, recorded %v", n, release, releases)
				case state == Unknown && len(releases) > 0:
					t.Fatalf("stream %d: unknown, recorded %v", n, releases)
				}
			}
		}
	})
}

func BenchmarkPut(b *testing.B) {
	table := NewTable(1 << 14)
	b.ReportAllocs()
	for i := range b.N {
		table.Put(core.Time(i), Stream{Request: uint64(i)}, "v1", time.Hour)
	}
}
