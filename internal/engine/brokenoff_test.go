package engine_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/engine"
	"nutmeglane.example/nutmeglane/internal/framing"
	"nutmeglane.example/nutmeglane/internal/framing/framingtest"
)

// startRaw returns an Executor whose backend server is the given one.
func startRaw(t *testing.T, kind core.BackendKind, s *framingtest.Server) *fixture {
	return start(t, http.NotFoundHandler(), func(o *engine.Options) {
		o.URL, o.Kind, o.InventoryTimeout = s.URL(), kind, testTimeout
	})
}

// startAnswer returns an Executor whose backend server sends an answer and then closes the
// connection.
func startAnswer(t *testing.T, answer string, reset bool) *fixture {
	s := framingtest.NewServer(t)
	s.Respond(answer, reset)
	return startRaw(t, core.BackendService, s)
}

// streamOf returns a complete response with an event stream.
func streamOf(kind framing.Kind, body string) string {
	return framingtest.Response(kind, http.StatusOK, "Content-Type: text/event-stream; charset=utf-8\r\n", body)
}

const twoEvents = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"

// Guards against a service's event stream that stops inside an event and reaches its caller as
// complete, or with a part of that event, however its end is marked.
func TestServiceStreamEndingInsideAnEventFailsRun(t *testing.T) {
	for _, kind := range framingtest.Kinds {
		for _, part := range []string{"i", "id: 3", "id: 3\nda", "id: 3\ndata: c\n", "id: 3\r\ndata: c\r", "data: c\n: note\n"} {
			t.Run(fmt.Sprintf("%v %q", kind, part), func(t *testing.T) {
				f := startAnswer(t, streamOf(kind, twoEvents+part), false)
				f.Do(call(1, http.MethodGet))
				if a := f.collect(); a.Code != code.BackendFailed || a.Body != twoEvents {
					t.Errorf("code %d, body %q", a.Code, a.Body)
				}
			})
		}
	}
}

// Guards against a service's event stream that ends with its connection and counts as complete
// where the bytes before that show a break, and against a complete one that counts as broken off.
func TestServiceStreamEndingBetweenEvents(t *testing.T) {
	tests := []struct {
		name, body string
		// wholeUntilClose tells whether the stream is complete if its connection marks its
		// end. With a length or chunks, each of them is.
		wholeUntilClose bool
	}{
		{"between events", twoEvents, true},
		{"CRLF", "id: 1\r\ndata: a\r\n\r\n", true},
		{"CR", "id: 1\rdata: a\r\r", true},
		{"after a comment", twoEvents + ": end\n", true},
		{"inside a comment", twoEvents + ": en", false},
		{"inside the CRLF of an empty line", "id: 1\r\ndata: a\r\n\r", false},
		{"before any event", "", false},
		{"after comments only", ": hello\n\n", false},
	}
	for _, test := range tests {
		for _, kind := range framingtest.Kinds {
			t.Run(kind.String()+" "+test.name, func(t *testing.T) {
				f := startAnswer(t, streamOf(kind, test.body), false)
				f.Do(call(1, http.MethodGet))
				a := f.collect()
				if whole := a.Code == code.OK; whole != (kind != framing.UntilClose || test.wholeUntilClose) {
					t.Errorf("code %d, body %q", a.Code, a.Body)
				}
				if a.Code == code.OK && a.Body != test.body {
					t.Errorf("body %q, want %q", a.Body, test.body)
				}
			})
		}
	}
}

// Guards against a large event that is passed on in part, or in frames over their limit.
func TestServiceStreamWithLargeEvent(t *testing.T) {
	const maxFrame = 32 << 10
	body := twoEvents + "data: " + strings.Repeat("x", 100<<10) + "\n\n"
	f := startAnswer(t, streamOf(framing.UntilClose, body), false)
	f.Do(call(1, http.MethodGet))
	var got strings.Builder
	for {
		p := await[core.RunProgress](f)
		if p.Kind == core.FrameEnd {
			if p.Code != code.OK || got.String() != body {
				t.Errorf("code %d, %d bytes, want %d", p.Code, got.Len(), len(body))
			}
			return
		}
		if len(p.Payload) > maxFrame {
			t.Errorf("a frame of %d bytes", len(p.Payload))
		}
		got.Write(p.Payload)
	}
}

// Guards against an event without end that takes the agent's memory.
func TestServiceStreamWithEndlessEvent(t *testing.T) {
	body := twoEvents + "data: " + strings.Repeat("x", 5<<20) + "\n\n"
	f := startAnswer(t, streamOf(framing.Length, body), false)
	f.Do(call(1, http.MethodGet))
	if a := f.collect(); a.Code != code.BackendFailed || a.Body != twoEvents {
		t.Errorf("code %d, %d bytes, want %d", a.Code, len(a.Body), len(twoEvents))
	}
}

// Guards against a response to HEAD, which has no body, that counts as a stream broken off
// before its first event.
func TestHeadOfServiceStreamIsComplete(t *testing.T) {
	answer := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
	f := startAnswer(t, answer, false)
	f.Do(call(1, http.MethodHead))
	if a := f.collect(); a.Code != code.OK {
		t.Errorf("code %d", a.Code)
	}
}

// Guards against a service's answer that broke off, by an orderly close or by a reset, and counts
// as complete. Only where the connection marks the end can't a close tell that.
func TestBrokenServiceAnswerFailsRun(t *testing.T) {
	const (
		length     = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n"
		chunked    = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
		untilClose = "HTTP/1.1 200 OK\r\n\r\n"
		chunk      = "4\r\npart\r\n"
	)
	tests := []struct {
		name, answer string
		reset        bool
		want         code.Code
	}{
		{"no answer", "", false, code.BackendFailed},
		{"inside the status line", "HTTP/1.1 200 O", false, code.BackendFailed},
		{"inside the head", "HTTP/1.1 200 OK\r\nContent-Le", false, code.BackendFailed},
		{"after a header line", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n", false, code.BackendFailed},
		{"length closed", length + "part", false, code.BackendFailed},
		{"length reset", length + "part", true, code.BackendFailed},
		{"chunks closed between chunks", chunked + chunk, false, code.BackendFailed},
		{"chunks closed inside a chunk", chunked + "9\r\npart", false, code.BackendFailed},
		{"chunks closed inside the last one", chunked + chunk + "0\r\n", false, code.BackendFailed},
		{"chunks reset", chunked + chunk, true, code.BackendFailed},
		{"until close, reset", untilClose + "part", true, code.BackendFailed},
		{"until close, closed", untilClose + "whole", false, code.OK},
		{"length reached", length + "all of it", false, code.OK},
		{"last chunk reached", chunked + chunk + "0\r\n\r\n", false, code.OK},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := startAnswer(t, test.answer, test.reset)
			f.Do(call(1, http.MethodGet))
			if a := f.collect(); a.Code != test.want {
				t.Errorf("code %d, want %d: %q", a.Code, test.want, a.Body)
			}
		})
	}
}

// Guards against a completion that broke off and counts as complete: only the line with Done ends
// one.
func TestBrokenCompletionFailsRun(t *testing.T) {
	const tokens = `{"index":0,"text":"a"}` + "\n" + `{"index":1,"text":"b"}` + "\n" + `{"index":2,"done":true}`
	framingtest.EachCut(t, http.StatusOK, "", tokens, func(t *testing.T, s *framingtest.Server, whole bool) {
		f := startRaw(t, core.BackendService, s) // reads no load reports
		f.Do(completion(1, 2))
		if a := f.collect(); (a.Code == code.OK) != whole || a.Code == code.EngineNotLoaded {
			t.Errorf("code %d, tokens %q", a.Code, a.Tokens)
		}
	})
}

// Guards against a refusal that broke off and counts as a proof that a completion did not run.
func TestBrokenRefusalIsNoProof(t *testing.T) {
	framingtest.EachCut(t, http.StatusConflict, "", `{"reason":"not-loaded"}`, func(t *testing.T, s *framingtest.Server, whole bool) {
		f := startRaw(t, core.BackendService, s)
		f.Do(completion(1, 2))
		want := code.BackendFailed
		if whole {
			want = code.EngineNotLoaded
		}
		if a := f.collect(); a.Code != want {
			t.Errorf("code %d, want %d", a.Code, want)
		}
	})
}

// Guards against an inventory that broke off and counts as one of an engine with less, or
// nothing, loaded.
func TestBrokenInventoryFails(t *testing.T) {
	const inventory = `{"items":[{"key":"line@1","memoryMiB":5}],"memoryMiB":9}`
	framingtest.EachCut(t, http.StatusOK, "", inventory, func(t *testing.T, s *framingtest.Server, whole bool) {
		f := startRaw(t, core.BackendEngine, s)
		f.Do(core.TakeInventory{})
		got := await[core.Inventory](f)
		if (got.Code == code.OK) != whole || (len(got.Items) == 1) != whole {
			t.Errorf("%+v", got)
		}
	})
}

// Guards against an order whose answer broke off and that counts as refused: it may have taken
// effect.
func TestBrokenAnswerToOrderIsUnknown(t *testing.T) {
	framingtest.EachCut(t, http.StatusPreconditionFailed, "", `{"reason":"fenced"}`, func(t *testing.T, s *framingtest.Server, whole bool) {
		f := startRaw(t, core.BackendEngine, s)
		want := code.EngineUnknown
		if whole {
			want = code.FencedOut
		}
		if got := f.order(core.Order{ID: 1, Kind: core.OrderLoad, Key: key}); got != want {
			t.Errorf("code %d, want %d", got, want)
		}
	})
}

// Guards against a response without a body that counts as the inventory of an engine with nothing
// loaded.
func TestEmptyInventoryFails(t *testing.T) {
	s := framingtest.NewServer(t)
	s.Respond(framingtest.Response(framing.Length, http.StatusOK, "", ""), false)
	f := startRaw(t, core.BackendEngine, s)
	f.Do(core.TakeInventory{})
	if got := await[core.Inventory](f); got.Code != code.EngineFailed {
		t.Errorf("%+v", got)
	}
}
