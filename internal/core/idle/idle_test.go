package idle

import (
	"runtime"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"nutmeglane.example/nutmeglane/internal/core"
)

func fixedCost(share float64, cold time.Duration) func(string) Cost {
	return func(string) Cost { return Cost{Share: share, Cold: cold, Weight: 1} }
}

func recordArrivals(p *Policy, key string, start core.Time, gap time.Duration, times int) core.Time {
	now := start
	for range times {
		p.Arrival(now, key)
		now = now.Add(gap)
	}
	return now.Add(-gap)
}

// A model called every 30 seconds and one called twice a day share a host. The first must
// stay loaded over its gaps; the second must be unloaded soon after each call, since
// keeping it for half a day costs far more than one cold start.
func TestFrequentModelIsKeptAndRareModelUnloaded(t *testing.T) {
	p := New(Prices{ColdSecond: 1, IdleHour: 20}, fixedCost(1, 20*time.Second))
	last := recordArrivals(p, "often", 0, 30*time.Second, 200)
	if keep := p.KeepUntil(last, "often").Sub(last); keep < 30*time.Second {
		t.Errorf("a model called every 30s is kept only %v", keep)
	}
	last = recordArrivals(p, "rare", 0, 12*time.Hour, 40)
	if keep := p.KeepUntil(last, "rare").Sub(last); keep > time.Hour {
		t.Errorf("a model called twice a day is kept %v", keep)
	}
}

// Two deployments have opposite prices; the one with the higher price of cold starts must
// never unload earlier than the one with the higher price of idle accelerators.
func TestHigherColdStartPriceKeepsLonger(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		gaps := rapid.SliceOfN(rapid.Int64Range(1, 200_000), 1, 50).Draw(t, "gaps")
		cold := New(Prices{ColdSecond: 5, IdleHour: 10}, fixedCost(1, 10*time.Second))
		idle := New(Prices{ColdSecond: 1, IdleHour: 40}, fixedCost(1, 10*time.Second))
		now := core.Time(0)
		for _, gap := range gaps {
			now = now.Add(time.Duration(gap) * time.Second)
			cold.Arrival(now, "m")
			idle.Arrival(now, "m")
		}
		if cold.KeepUntil(now, "m") < idle.KeepUntil(now, "m") {
			t.Errorf("with expensive cold starts kept until %v, with expensive idle hours until %v", cold.KeepUntil(now, "m"), idle.KeepUntil(now, "m"))
		}
	})
}

func BenchmarkKeepUntil(b *testing.B) {
	p := New(Prices{ColdSecond: 1, IdleHour: 20}, fixedCost(1, 20*time.Second))
	now := core.Time(0)
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(37 * time.Second)
		p.Arrival(now, "m")
		p.KeepUntil(now, "m")
	}
}

// BenchmarkState reports the bytes of a key's history.
func BenchmarkState(b *testing.B) {
	const keys = 10000
	for b.Loop() {
		p := New(Prices{ColdSecond: 1, IdleHour: 20}, fixedCost(1, 20*time.Second))
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		for i := range keys {
			p.Arrival(0, strconv.Itoa(i))
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/keys, "B/key")
		runtime.KeepAlive(p)
	}
}
