package engine_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"

	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/framing"
	"nutmeglane.example/nutmeglane/internal/framing/framingtest"
)

// Guards against a malformed answer of a service that is passed on as that of the run.
func TestMalformedAnswerFailsRun(t *testing.T) {
	framingtest.EachMalformed(t, "body", func(t *testing.T, s *framingtest.Server) {
		f := startRaw(t, core.BackendService, s)
		f.Do(call(1, http.MethodGet))
		if a := f.collect(); a.Code != code.BackendFailed || a.Head != nil || a.Body != "" {
			t.Errorf("code %d, head %+v, body %q", a.Code, a.Head, a.Body)
		}
	})
}

// Guards against a malformed answer of an engine that counts as a proof that a completion did not run.
func TestMalformedRefusalIsNoProof(t *testing.T) {
	framingtest.EachMalformed(t, `{"reason":"not-loaded"}`, func(t *testing.T, s *framingtest.Server) {
		f := startRaw(t, core.BackendService, s) // reads no load reports
		f.Do(completion(1, 2))
		if a := f.collect(); a.Code != code.BackendFailed || a.Head != nil {
			t.Errorf("code %d, head %+v", a.Code, a.Head)
		}
	})
}

// Guards against an order that counts as done or refused, and an inventory that is taken over, because
// of a malformed answer.
func TestMalformedAnswerLeavesAnOrderUnknown(t *testing.T) {
	framingtest.EachMalformed(t, `{"reason":"fenced"}`, func(t *testing.T, s *framingtest.Server) {
		f := startRaw(t, core.BackendEngine, s)
		if got := f.order(core.Order{ID: 1, Kind: core.OrderLoad, Key: key}); got != code.EngineUnknown {
			t.Errorf("order: code %d", got)
		}
		f.Do(core.TakeInventory{})
		if got := await[core.Inventory](f); got.Code != code.EngineFailed {
			t.Errorf("inventory: code %d", got.Code)
		}
	})
}

// Guards against a part of a service's answer that counts as a complete one: the connection was reset
// while the body of the request was being written.
func TestAnswerToAnUploadThatIsResetFailsRun(t *testing.T) {
	const plays = 5
	for name, answer := range map[string]string{
		"body":   framingtest.Response(framing.UntilClose, http.StatusOK, "", "part"),
		"stream": streamOf(framing.UntilClose, twoEvents),
	} {
		for play := range plays {
			t.Run(fmt.Sprintf("%s %d", name, play), func(t *testing.T) {
				s, resetAfter := framingtest.NewServer(t), make(chan struct{})
				reset := sync.OnceFunc(func() { close(resetAfter) })
				defer reset()
				s.RespondEarly(answer, resetAfter)
				f := startRaw(t, core.BackendService, s)
				run := call(1, http.MethodPost)
				run.Body = make([]byte, framingtest.UploadBytes)
				f.Do(run)
				if p := await[core.RunProgress](f); p.Kind != core.FrameHead {
					t.Errorf("%+v before the head", p)
				}
				reset()
				p := await[core.RunProgress](f)
				for p.Kind != core.FrameEnd {
					p = await[core.RunProgress](f)
				}
				if p.Code != code.BackendFailed {
					t.Errorf("code %d", p.Code)
				}
			})
		}
	}
}
