package agent

import (
	"testing"
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
)

// BenchmarkRequest measures a complete request on a loaded model: Start, head,
// four data frames with their credits, and the end frame.
func BenchmarkRequest(b *testing.B) {
	s := &script{}
	s.create(parseLine(nil, "new ttl=1h"))
	s.declare(parseLine(nil, "model name=small memory=1000 max=2"))
	s.boot()
	s.receive("e1", s.grantOf(parseLine(nil, "grant small/0@1 tenure=1000h")))
	s.receive("e1", startOf(parseLine(nil, "req"), attemptOf(0, 1)))
	s.step(core.OrderDone{Order: 1})
	s.step(core.RunProgress{Attempt: attemptOf(0, 1), Kind: core.FrameEnd})
	m := startOf(parseLine(nil, "req window=2"), core.AttemptID{})
	payload := make([]byte, 64)
	events := 0
	step := func(event core.Event) {
		s.now = s.now.Add(10 * time.Microsecond)
		s.part.Step(s.now, event)
		events++
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		a := core.AttemptID{Attempt: uint32(i + 2)}
		m.Attempt = a
		step(core.Received{From: "e1", Message: m})
		step(core.RunProgress{Attempt: a, Kind: core.FrameHead, Status: 200})
		for n := uint64(1); n <= 4; n++ {
			step(core.RunProgress{Attempt: a, Kind: core.FrameData, Count: 8, Payload: payload})
			step(core.Received{From: "e1", Message: core.Credit{Attempt: a, Frames: n + 2, Seq: 8 * n}})
		}
		step(core.RunProgress{Attempt: a, Kind: core.FrameEnd})
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(events), "ns/event")
}
