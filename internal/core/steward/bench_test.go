package steward

import (
	"fmt"
	"testing"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
)

// benchFixture returns a fixture of one steward and many hosts in eight zones, two
// slots each by models of eight slots, with the default timings.
func benchFixture(hosts int) *fixture {
	w := newFixture(core.DefaultTimings(), 1)
	w.quiet = true
	for i := range hosts {
		w.addAgent(core.HostID(fmt.Sprintf("h%04d", i)), core.Zone(fmt.Sprintf("z%d", i%8)))
	}
	w.sendList()
	wanted := map[string]int{}
	for i := range max(hosts*2/8, 1) {
		wanted[fmt.Sprintf("m%d", i)] = 8
	}
	w.configure(wanted)
	w.run(time.Minute)
	return w
}

func BenchmarkReport(b *testing.B) {
	w := benchFixture(3125)
	part := w.entries[0].part
	events := make([]core.Event, 0, len(w.agents))
	reports := make([]core.Report, 0, len(w.agents))
	for _, id := range core.SortedKeys(w.agents) {
		reports = append(reports, w.agents[id].report(w.now))
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if i%len(reports) == 0 {
			b.StopTimer()
			events = events[:0]
			for j := range reports {
				reports[j].Sequence++
				events = append(events, core.Received{From: reports[j].Host, Message: reports[j]})
			}
			b.StartTimer()
		}
		part.Step(w.now, events[i%len(reports)])
	}
}

// BenchmarkPlan measures one pass over all slot tables when nothing changes.
func BenchmarkPlan(b *testing.B) {
	w := benchFixture(3125)
	for b.Loop() {
		w.entries[0].part.plan(w.now)
	}
}

// BenchmarkKVCalls counts the KV calls in ten minutes without changes.
func BenchmarkKVCalls(b *testing.B) {
	for _, hosts := range []int{10, 100, 1000, 3000} {
		b.Run(fmt.Sprint(hosts), func(b *testing.B) {
			w := benchFixture(hosts)
			for b.Loop() {
				calls, writes, bytes := w.kv.calls, w.kv.writes, w.kv.bytes
				w.run(10 * time.Minute)
				b.ReportMetric(float64(w.kv.calls-calls)/600, "calls/s")
				b.ReportMetric(float64(w.kv.writes-writes)/600, "writes/s")
				b.ReportMetric(float64(w.kv.bytes-bytes)/600, "B/s")
			}
		})
	}
}
