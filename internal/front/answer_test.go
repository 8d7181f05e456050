package front

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"

	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
)

const streamBody = chatBody + `,"stream":true}`

// serveWith sends a request, answers it with effects and returns the result that
// the caller gets.
func (h *harness) serveWith(r *http.Request, effects func(core.RequestID) []core.Effect) result {
	h.t.Helper()
	done := h.start(r)
	id := nextEvent[core.RequestArrived](h).ID
	for _, effect := range effects(id) {
		if !h.front.Do(effect) {
			h.t.Fatalf("%T was not accepted", effect)
		}
	}
	return h.wait(done)
}

// Guards against replacement characters in a streamed answer. A character whose
// bytes are split between tokens must be sent whole in one chunk.
func TestStreamedAnswerJoinsSplitCharacters(t *testing.T) {
	h := newHarness(t)
	got := h.serveWith(h.request("POST", completionsPath, streamBody), func(id core.RequestID) []core.Effect {
		return []core.Effect{
			core.RespondHead{ID: id, Status: 200},
			tokens(id, "K\xc3", "\xbcche: ", `"Riss"`),
			tokens(id, "\n<b>", "\xf0\x9f", "\xaa", "\x81"),
			core.RespondEnd{ID: id},
		}
	})
	want := parsedStream{text: "Küche: \"Riss\"\n<b>🪁", chunks: 1 + 7 + 1, finish: "stop", done: true}
	if diff := cmp.Diff(want, parseStream(t, got.body), cmp.AllowUnexported(parsedStream{})); diff != "" {
		t.Errorf("(-want +got):\n%s\n%s", diff, got.body)
	}
	if kind := got.response.Header.Get("Content-Type"); kind != "text/event-stream" {
		t.Errorf("content type %q", kind)
	}
	frames := uint32(0)
	for frames < 2 {
		frames += nextEvent[core.CallerTook](h).Frames
	}
}

func TestBufferedAnswer(t *testing.T) {
	h := newHarness(t)
	got := h.serveWith(h.request("POST", completionsPath, chatBody+"}"), func(id core.RequestID) []core.Effect {
		return []core.Effect{
			core.RespondHead{ID: id, Status: 200}, tokens(id, "a", "b", "c\xc3"),
			tokens(id, "\xbc", "e", "f", "g", "h", "i"), core.RespondEnd{ID: id},
		}
	})
	var body struct {
		ID, Object, Model string
		Choices           []struct {
			Message struct{ Role, Content string }
			Finish  string `json:"finish_reason"`
		}
		Usage struct {
			Completion int `json:"completion_tokens"`
		}
	}
	if err := json.Unmarshal([]byte(got.body), &body); err != nil {
		t.Fatal(err)
	}
	if body.Object != "chat.completion" || body.Model != "report" || body.Choices[0].Message.Content != "abcüefghi" ||
		body.Choices[0].Finish != "length" || body.Usage.Completion != 9 {
		t.Errorf("got %s", got.body)
	}
}

// Guards against a client that treats a truncated answer as complete. Each answer
// format must end a failed answer in a way that differs from success, with a
// correct "not run" value.
func TestFailuresAreVisible(t *testing.T) {
	h := newHarness(t)
	begin := func(id core.RequestID) []core.Effect {
		return []core.Effect{core.RespondHead{ID: id, Status: 200}, tokens(id, "half")}
	}
	end := func(id core.RequestID, c code.Code) core.Effect {
		return core.RespondEnd{ID: id, Code: c, RetryAfter: 1100 * time.Millisecond}
	}
	malformed := func(id core.RequestID) core.Effect {
		return core.RespondData{ID: id, Count: 1, Payload: []byte("xy"), Sizes: []byte{1}}
	}
	tests := []struct {
		name, body string
		effects    func(core.RequestID) []core.Effect
		status     int
		code       string
		notRun     string
	}{
		{"refused", streamBody, func(id core.RequestID) []core.Effect { return []core.Effect{end(id, code.DeadlineUnmet)} }, 503, "2001", "true"},
		{"outcome unknown, not streamed", chatBody + "}", func(id core.RequestID) []core.Effect { return append(begin(id), end(id, code.OutcomeUnknown)) }, 502, "3001", "unknown"},
		{"head only", streamBody, func(id core.RequestID) []core.Effect { return append(begin(id)[:1], end(id, code.TimedOut)) }, 504, "3003", "unknown"},
		{"error status of engine", streamBody, func(id core.RequestID) []core.Effect {
			return []core.Effect{core.RespondHead{ID: id, Status: 500}}
		}, 502, "3002", "unknown"},
		{"sizes don't fit", chatBody + "}", func(id core.RequestID) []core.Effect { return append(begin(id), malformed(id)) }, 502, "3002", "unknown"},
		{"over the size limit", chatBody + "}", func(id core.RequestID) []core.Effect {
			return append(begin(id), tokens(id, strings.Repeat("x", 100)))
		}, 502, "3004", "unknown"},
		{"stream, outcome unknown", streamBody, func(id core.RequestID) []core.Effect { return append(begin(id), end(id, code.OutcomeUnknown)) }, 200, "OutcomeUnknown", ""},
		{"stream malformed", streamBody, func(id core.RequestID) []core.Effect { return append(begin(id), malformed(id)) }, 200, "BackendFailed", ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got := h.serveWith(h.request("POST", completionsPath, test.body), test.effects)
			header := got.response.Header
			if got.response.StatusCode != test.status || header.Get("Nutmeglane-Not-Run") != test.notRun {
				t.Errorf("got %d %v %s", got.response.StatusCode, header, got.body)
			}
			if test.status != 200 {
				if header.Get("Nutmeglane-Code") != test.code || strings.Contains(got.body, "half") {
					t.Errorf("got %v %s", header, got.body)
				}
				return
			}
			s := parseStream(t, got.body)
			if s.done || s.finish != "" || s.errorName != test.code || s.text != "half" {
				t.Errorf("got %+v", s)
			}
		})
	}
	got := h.serveWith(h.request("POST", completionsPath, streamBody),
		func(id core.RequestID) []core.Effect { return []core.Effect{end(id, code.QueueFull)} })
	if after := got.response.Header.Get("Retry-After"); after != "2" {
		t.Errorf("Retry-After %q, want 1.1 s rounded up", after)
	}
}

func TestServiceAnswer(t *testing.T) {
	h := newHarness(t)
	got := h.serveWith(h.request("POST", "/services/akte/rooms", "x"), func(id core.RequestID) []core.Effect {
		return []core.Effect{
			core.RespondHead{ID: id, Status: 201, Header: []core.HeaderKV{
				{Name: "x-room", Value: "3"}, {Name: "Connection", Value: "close"}, {Name: "Nutmeglane-Not-Run", Value: "true"}}},
			core.RespondData{ID: id, Count: 1, Payload: []byte("one ")},
			core.RespondData{ID: id, Count: 1, Payload: []byte("two")},
			core.RespondEnd{ID: id},
		}
	})
	header := got.response.Header
	if got.err != nil || got.response.StatusCode != 201 || got.body != "one two" || header.Get("X-Room") != "3" ||
		header.Get("Nutmeglane-Not-Run") != "" || got.response.Close {
		t.Errorf("got %d %v %q %v", got.response.StatusCode, header, got.body, got.err)
	}
}

// Guards against a truncated service answer that looks complete. When the backend
// server fails in the middle of an answer, the caller's connection must be aborted
// instead of ending the body properly.
func TestCutServiceAnswer(t *testing.T) {
	h := newHarness(t)
	got := h.serveWith(h.request("GET", "/services/akte/rooms", ""), func(id core.RequestID) []core.Effect {
		return []core.Effect{
			core.RespondHead{ID: id, Status: 200},
			core.RespondData{ID: id, Count: 1, Payload: []byte("secret half")},
			core.RespondEnd{ID: id, Code: code.BackendFailed},
		}
	})
	if got.err == nil {
		t.Errorf("the truncated answer looks complete: %q", got.body)
	}
	if strings.Contains(h.log.String(), "secret") {
		t.Errorf("log contains text of an answer: %s", h.log)
	}
}

// Guards against one caller that does not read its answer and delays all others:
// the reducer loop, which serves all answers, must not block on the slow caller's
// full connection.
func TestSlowCallerDoesNotDelayOthers(t *testing.T) {
	h := newHarness(t)
	const frames, frameBytes = 32, 1 << 20 // more than fits in the kernel's buffers
	ctx, disconnect := context.WithCancel(t.Context())
	defer disconnect()
	opened := make(chan *http.Response, 1)
	go func() {
		response, err := h.server.Client().Do(h.request("GET", "/services/akte/x", "").WithContext(ctx))
		if err != nil {
			t.Error(err)
		}
		opened <- response
	}()
	slow := nextEvent[core.RequestArrived](h).ID
	h.front.Do(core.RespondHead{ID: slow, Status: 200})
	response := <-opened
	if response == nil {
		return
	}
	defer response.Body.Close()
	for range frames {
		h.front.Do(core.RespondData{ID: slow, Count: 1, Payload: make([]byte, frameBytes)})
	}
	fast := h.serveWith(h.request("GET", "/services/akte/y", ""), func(id core.RequestID) []core.Effect {
		return []core.Effect{core.RespondHead{ID: id, Status: 200},
			core.RespondData{ID: id, Count: 1, Payload: []byte("quick")}, core.RespondEnd{ID: id}}
	})
	if fast.body != "quick" {
		t.Errorf("fast caller got %q, %v", fast.body, fast.err)
	}
	disconnect()
	if gone := nextEvent[core.CallerGone](h); gone.ID != slow {
		t.Errorf("CallerGone for %s, want the slow caller", gone.ID)
	}
}

// A caller disconnects before its answer begins. The run must be cancelled, and
// later effects for the request must be ignored.
func TestCallerGone(t *testing.T) {
	h := newHarness(t)
	ctx, disconnect := context.WithCancel(t.Context())
	done := h.start(h.request("POST", completionsPath, streamBody).WithContext(ctx))
	id := nextEvent[core.RequestArrived](h).ID
	disconnect()
	if got := h.wait(done); !errors.Is(got.err, context.Canceled) {
		t.Errorf("got %v", got.err)
	}
	if gone := nextEvent[core.CallerGone](h); gone.ID != id {
		t.Errorf("CallerGone for %s, want %s", gone.ID, id)
	}
	h.front.Do(tokens(id, "late"))
	h.front.Do(core.RespondEnd{ID: id})
}

// Guards against an entry that runs out of memory: after a fault of the flow
// control, frames for a caller that reads nothing must not be queued without bound.
func TestEffectQueueOverflow(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	c := newEffectQueue(4)
	for range 100 {
		c.push(core.RespondData{})
	}
	c.push(core.RespondEnd{})
	batch, err := c.take(ctx)
	if err != nil || len(batch) != c.limit {
		t.Errorf("got %d effects, %v", len(batch), err)
	}
	if batch, err := c.take(ctx); !errors.Is(err, errOverflow) {
		t.Errorf("got %v, %v, want an overflow and not the end", batch, err)
	}
}

func TestModelsAndHealth(t *testing.T) {
	h := newHarness(t)
	get := func(path string) (int, string) {
		got := h.wait(h.start(h.request("GET", path, "")))
		return got.response.StatusCode, got.body
	}
	_, body := get("/v1/models")
	var list modelList
	if err := json.Unmarshal([]byte(body), &list); err != nil {
		t.Fatal(err)
	}
	var ids []string
	for _, item := range list.Data {
		ids = append(ids, item.ID)
	}
	if diff := cmp.Diff([]string{"report", "rules", "report:bern"}, ids); diff != "" {
		t.Errorf("models (-want +got):\n%s", diff)
	}
	before, _ := get("/readyz")
	h.front.SetReady(true)
	after, _ := get("/readyz")
	health, _ := get("/healthz")
	if before != 503 || after != 200 || health != 200 {
		t.Errorf("readyz %d then %d, healthz %d", before, after, health)
	}
	if h.front.Do(core.Exit{}) {
		t.Error("Exit was accepted")
	}
}

// Guards against a reset of a caller's next request. All bytes of an answer's declared
// length were sent but its end has not arrived when the agent fails; closing the connection
// then would affect the request that the caller has sent next.
func TestAnswerEndsAtItsContentLength(t *testing.T) {
	answers := map[string]struct {
		method string
		head   core.RespondHead
		data   string
	}{
		"length":     {"POST", core.RespondHead{Status: 200, Header: []core.HeaderKV{{Name: "Content-Length", Value: "4"}}}, "abcd"},
		"no content": {"POST", core.RespondHead{Status: 204}, ""},
		"head":       {"HEAD", core.RespondHead{Status: 200, Header: []core.HeaderKV{{Name: "Content-Length", Value: "4"}}}, ""},
	}
	for name, a := range answers {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.server.Client().Transport.(*http.Transport).MaxConnsPerHost = 1
			first := h.start(h.request(a.method, "/services/akte/flats", "{}"))
			id := nextEvent[core.RequestArrived](h).ID
			a.head.ID = id
			h.front.Do(a.head)
			if a.data != "" {
				h.front.Do(core.RespondData{ID: id, Count: 1, Payload: []byte(a.data)})
			}
			if got := h.wait(first); got.body != a.data || got.response.StatusCode != a.head.Status {
				t.Fatalf("%d %q", got.response.StatusCode, got.body)
			}
			second := h.start(h.request("POST", "/services/akte/charges", "{}"))
			h.front.Do(core.RespondEnd{ID: id, Code: code.AnswerCut}) // the agent has failed
			arrived := make(chan core.RequestID, 1)
			go func() { arrived <- nextEvent[core.RequestArrived](h).ID }()
			select {
			case got := <-second:
				t.Fatalf("the next request on the connection: %v", got.err)
			case id = <-arrived:
			}
			h.front.Do(core.RespondEnd{ID: id, Code: code.NoBackend})
			if got := h.wait(second); got.response.Header.Get(headerCode) != "2003" {
				t.Errorf("the next request: %v", got.response)
			}
		})
	}
}

// Guards against a status from another process that ends the handler by a panic, or reaches the caller
// though HTTP does not have it.
func TestStatusThatIsNoFinalOneFails(t *testing.T) {
	for _, status := range []int{-1, 0, 99, 100, 101, 600, 1000} {
		h := newHarness(t)
		got := h.serveWith(h.request("GET", "/services/akte/rooms", ""), func(id core.RequestID) []core.Effect {
			return []core.Effect{core.RespondHead{ID: id, Status: status}}
		})
		if got.response.StatusCode != code.BackendFailed.HTTPStatus() {
			t.Errorf("status %d: %d, %q", status, got.response.StatusCode, got.body)
		}
	}
}
