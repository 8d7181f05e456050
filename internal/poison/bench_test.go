package poison

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
)

// crowdedEnd returns the end of a server under 64 requests with five parts each, four of them shared:
// one by all, one by a fifth of the requests, two by few.
func crowdedEnd(i int) core.ServerEnd {
	lost := map[core.Fingerprint][]core.Fingerprint{}
	for j := range 64 {
		// Fingerprints are hashes: large numbers.
		id := core.Fingerprint(i*64+j+1) * 0x9e3779b97f4a7c15
		lost[id] = []core.Fingerprint{1 << 60, core.Fingerprint(2+j%5) << 50, core.Fingerprint(10+j%30) << 50, core.Fingerprint(100+j) << 50}
	}
	return partEnd(fmt.Sprintf("i-%010x", i), time.Duration(i)*time.Second, lost)
}

// BenchmarkAdd measures recording an end, the size of its message, and the memory of a full ledger
// for each suspect.
func BenchmarkAdd(b *testing.B) {
	message, err := core.EncodeMessage(core.PoisonNews{Ends: []core.ServerEnd{crowdedEnd(1)}})
	if err != nil {
		b.Fatal(err)
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	l := New()
	for i := 0; len(l.suspects) < maxSuspects*9/10; i++ {
		l.Add(start, crowdedEnd(i))
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	perSuspect := float64(after.HeapAlloc-before.HeapAlloc) / float64(len(l.suspects))
	i := 1_000_000
	for b.Loop() {
		i++
		l.Add(start, crowdedEnd(i))
	}
	b.ReportMetric(float64(len(message)), "message-B")
	b.ReportMetric(perSuspect, "B/suspect")
}
