package router

import (
	"fmt"
	"testing"

	"nutmeglane.example/nutmeglane/internal/core"
)

// BenchmarkAdmitParts measures the way in of a request with five parts: while nothing is suspected,
// while a part is blocked, and while twelve engines have ended under 64 requests each.
func BenchmarkAdmitParts(b *testing.B) {
	for _, state := range []string{"clean", "blocked part", "many suspects"} {
		b.Run(state, func(b *testing.B) {
			w := newEnginesFixture(b, 2)
			if state != "clean" {
				w.step(PoisonReported{News: core.PoisonNews{Ends: partPoisonEnds("bad")}})
				w.answerOther()
			}
			if state == "many suspects" {
				w.step(PoisonReported{News: core.PoisonNews{Ends: manyEnds()}})
			}
			sound := promptWith("m1", "all", "second", "third", "fourth")
			b.ResetTimer()
			for i := range b.N {
				req := &request{prompt: sound, service: engineService, fingerprint: core.Fingerprint(i)}
				if _, poison := w.router.poisonIn(req); poison {
					b.Fatal("blocked")
				}
			}
		})
	}
}

// manyEnds are the ends of twelve engines under 64 requests of five parts each.
func manyEnds() []core.ServerEnd {
	var ends []core.ServerEnd
	for i := range 12 {
		e := core.ServerEnd{Life: core.ServerLife{Instance: fmt.Sprint("e", i)}, Service: engineService, Address: fmt.Sprint("10.8.0.", i)}
		for j := range 64 {
			e.Requests = append(e.Requests, core.LostRequest{Fingerprint: core.Fingerprint(10_000 + 64*i + j)})
			for k := range 4 {
				id := fmt.Sprint("part", k, "-", j%(1+10*k))
				e.Parts = append(e.Parts, core.LostPart{Part: partFingerprint(engineService, id), Depth: uint16(k), Holders: []uint16{uint16(j)}})
			}
		}
		ends = append(ends, e)
	}
	return ends
}
