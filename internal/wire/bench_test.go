package wire

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"runtime"
	"testing"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
)

// BenchmarkFrames sends frames of four tokens over one connection. Like Credit, a
// window keeps the queue below its bound.
func BenchmarkFrames(b *testing.B) {
	const tokensPerFrame, window = 4, 1024
	entry, agent := newPair(b, Options{})
	connect(b, entry, agent, agent.address)
	frame := core.Frame{Kind: core.FrameData, Count: tokensPerFrame, Payload: make([]byte, 20), Sizes: []byte{5, 5, 5, 5}}
	sent := 0
	for received := 0; received < b.N; received++ {
		for ; sent < b.N && sent < received+window; sent++ {
			agent.Do(core.Send{To: "entry", Message: frame})
		}
		entry.next(b)
	}
	perSecond := float64(b.N) / b.Elapsed().Seconds()
	b.ReportMetric(perSecond, "msg/s")
	b.ReportMetric(perSecond*tokensPerFrame, "tokens/s")
}

// BenchmarkControlBehindFrames measures how long a control message waits
// behind 1 MiB of frames on one connection.
func BenchmarkControlBehindFrames(b *testing.B) {
	entry, agent := newPair(b, Options{})
	connect(b, entry, agent, agent.address)
	var waited time.Duration
	for range b.N {
		for range 1 << 20 / 512 {
			agent.Do(core.Send{To: "entry", Message: core.Frame{Payload: make([]byte, 512)}})
		}
		start := time.Now()
		agent.Do(core.Send{To: "entry", Message: core.Report{}})
		for {
			if _, control := entry.next(b).(core.Received).Message.(core.Report); control {
				break
			}
		}
		waited += time.Since(start)
	}
	b.ReportMetric(float64(waited.Microseconds())/float64(b.N), "µs-wait/op")
}

// BenchmarkIdleConnections reports the memory of one idle connection and the bytes
// written on it per ping interval, both for the two ends together.
func BenchmarkIdleConnections(b *testing.B) {
	for _, count := range []int{100, 1000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			for range b.N {
				measureIdle(b, count)
			}
		})
	}
}

func measureIdle(b *testing.B, count int) {
	const interval = 200 * time.Millisecond
	opts := Options{Host: "agent", UpgradeBurst: count, PingInterval: interval}
	agents := newProcess(b, opts)
	entries := make([]*Node, count)
	up := make(chan core.Event, 2*count)
	clientMeter := &meter{}
	before := memoryInUse()
	for i := range entries {
		host := core.HostID(fmt.Sprint("entry", i))
		entries[i] = New(Options{Host: host, Incarnation: 7, PingInterval: interval, Metrics: clientMeter}, func(e core.Event) { up <- e })
		entries[i].Do(core.Dial{Peer: "agent", Address: agents.address})
		<-up
		agents.next(b)
	}
	b.ReportMetric(float64(memoryInUse()-before)/float64(count), "B/conn")
	written := agents.meter.bytesOut.Load() + clientMeter.bytesOut.Load()
	start := time.Now()
	time.Sleep(5 * interval)
	written = agents.meter.bytesOut.Load() + clientMeter.bytesOut.Load() - written
	intervals := float64(time.Since(start)) / float64(interval)
	b.ReportMetric(float64(written)/float64(count)/intervals, "B/conn/interval")
	for _, entry := range entries {
		entry.Do(core.Hangup{Peer: "agent"})
		entry.Close(b.Context())
	}
}

func memoryInUse() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse + m.StackInuse)
}

// BenchmarkUpgrade compares an accepted upgrade with a refused one, both over a
// new TCP connection, and measures the handler of a refusal alone.
func BenchmarkUpgrade(b *testing.B) {
	b.Run("accepted", func(b *testing.B) {
		entry, agent := newPair(b, Options{UpgradeRate: 1e9, UpgradeBurst: 1e9})
		for range b.N {
			entry.Do(core.Hangup{Peer: "agent"})
			entry.Do(core.Dial{Peer: "agent", Address: agent.address})
			entry.expect(b, core.PeerUp{Peer: "agent", Incarnation: 7})
		}
	})
	b.Run("refused", func(b *testing.B) {
		entry, agent := newPair(b, Options{UpgradeRate: 1e-9, UpgradeBurst: 1})
		connect(b, entry, agent, agent.address)
		for range b.N {
			entry.Do(core.Dial{Peer: "other", Address: agent.address})
			entry.expect(b, core.PeerDown{Peer: "other"})
		}
	})
	b.Run("handler-refusal", func(b *testing.B) {
		node := New(Options{Host: "agent", Incarnation: 7, UpgradeRate: 1e-9, UpgradeBurst: 1}, func(core.Event) {})
		node.upgrades.Allow()
		request := httptest.NewRequest(http.MethodGet, Path, nil)
		for range b.N {
			node.accept(httptest.NewRecorder(), request)
		}
	})
}
