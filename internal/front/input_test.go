package front

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"nutmeglane.example/nutmeglane/internal/api"
	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/engine/engineapi"
)

func TestBadInput(t *testing.T) {
	h := newHarness(t)
	const chat = completionsPath
	ok := chatBody + "}"
	tests := []struct {
		name, method, path, body string
		headers                  []string
		status                   int
		code                     code.Code
		field                    string
	}{
		{"no key", "POST", chat, ok, []string{"Authorization", ""}, 401, code.UnknownKey, "Authorization"},
		{"other key", "POST", chat, ok, []string{"Authorization", "", "Authorization", "Bearer x"}, 401, code.UnknownKey, "Authorization"},
		{"other scheme", "GET", "/v1/models", "", []string{"Authorization", "", "Authorization", "Basic " + testKey}, 401, code.UnknownKey, "Authorization"},
		{"unknown path", "GET", "/v2/models", "", nil, 404, code.UnknownPath, ""},
		{"wrong method", "GET", chat, "", nil, 405, code.BadMethod, ""},
		{"tunnel", "TRACE", "/services/akte/x", "", nil, 405, code.BadMethod, ""},
		{"unknown service", "GET", "/services/none/x", "", nil, 404, code.UnknownService, "path"},
		{"unknown model", "POST", chat, strings.Replace(ok, "report", "none", 1), nil, 404, code.UnknownModel, "model"},
		{"adapter of another model", "POST", chat, strings.Replace(ok, "report", "rules:bern", 1), nil, 404, code.UnknownModel, "model"},
		{"large body", "POST", chat, strings.Repeat(" ", 1001), nil, 413, code.BodyTooLarge, "body"},
		{"large service body", "POST", "/services/akte/x", strings.Repeat(" ", 1001), nil, 413, code.BodyTooLarge, "body"},
		{"empty body", "POST", chat, "", nil, 400, code.BadBody, "body"},
		{"not JSON", "POST", chat, chatBody, nil, 400, code.BadBody, "body"},
		{"not an object", "POST", chat, "[]", nil, 400, code.BadBody, "body"},
		{"no model", "POST", chat, "{}", nil, 400, code.BadField, "model"},
		{"no messages", "POST", chat, `{"model":"report"}`, nil, 400, code.BadField, "messages"},
		{"no role", "POST", chat, `{"model":"report","messages":[{}]}`, nil, 400, code.BadField, "messages[0].role"},
		{"bad content", "POST", chat, `{"model":"report","messages":[{"role":"user","content":7}]}`, nil, 400, code.BadField, "messages[0].content"},
		{"wrong type", "POST", chat, chatBody + `,"stream":"yes"}`, nil, 400, code.BadField, "stream"},
		{"fraction of a token", "POST", chat, chatBody + `,"max_completion_tokens":1.5}`, nil, 400, code.BadField, "max_completion_tokens"},
		{"no tokens", "POST", chat, chatBody + `,"max_tokens":0}`, nil, 400, code.BadField, "max_tokens"},
		{"hot", "POST", chat, chatBody + `,"temperature":2.5}`, nil, 400, code.BadField, "temperature"},
		{"two answers", "POST", chat, chatBody + `,"n":2}`, nil, 400, code.BadField, "n"},
		{"packed", "POST", chat, ok, []string{"Content-Encoding", "gzip"}, 400, code.BadHeader, "Content-Encoding"},
		{"time-out exponent", "POST", chat, ok, []string{"Request-Timeout", "1e1"}, 400, code.BadTimeout, "Request-Timeout"},
		{"time-out not a number", "POST", chat, ok, []string{"Request-Timeout", "NaN"}, 400, code.BadTimeout, "Request-Timeout"},
		{"time-out negative", "POST", chat, ok, []string{"Request-Timeout", "-1"}, 400, code.BadTimeout, "Request-Timeout"},
		{"time-out short", "POST", chat, ok, []string{"Request-Timeout", "0.049"}, 400, code.BadTimeout, "Request-Timeout"},
		{"time-out long", "GET", "/services/akte/x", "", []string{"Request-Timeout", "3601"}, 400, code.BadTimeout, "Request-Timeout"},
		{"priority", "POST", chat, ok, []string{"Priority", "urgent"}, 400, code.BadHeader, "Priority"},
		{"idempotent", "POST", chat, ok, []string{"Idempotent", "no"}, 400, code.BadHeader, "Idempotent"},
		{"long key", "POST", chat, ok, []string{"Idempotency-Key", strings.Repeat("k", 256)}, 400, code.BadHeader, "Idempotency-Key"},
		{"two keys", "POST", chat, ok, []string{"Idempotency-Key", "a", "Idempotency-Key", "b"}, 400, code.BadHeader, "Idempotency-Key"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got := h.wait(h.start(h.request(test.method, test.path, test.body, test.headers...)))
			if got.err != nil {
				t.Fatal(got.err)
			}
			var parsed errorBody
			if err := json.Unmarshal([]byte(got.body), &parsed); err != nil {
				t.Fatalf("body %q: %v", got.body, err)
			}
			detail, header := parsed.Error, got.response.Header
			if got.response.StatusCode != test.status || detail.Code != test.code || detail.Field != test.field {
				t.Errorf("got %d %s, want %d %s %s", got.response.StatusCode, got.body, test.status, test.code, test.field)
			}
			if !detail.NotRun || detail.Name != test.code.String() || detail.RequestID != header.Get("Nutmeglane-Request-Id") ||
				header.Get("Nutmeglane-Not-Run") != "true" || header.Get("Nutmeglane-Code") != strconv.Itoa(int(test.code)) {
				t.Errorf("headers %v and body %s don't agree", header, got.body)
			}
		})
	}
	if len(h.events) != 0 || h.log.String() != "" {
		t.Errorf("%d events, log %q, want none", len(h.events), h.log.String())
	}
}

func TestNoConfigurationYet(t *testing.T) {
	h := newHarness(t)
	h.front.config.Store(nil)
	got := h.wait(h.start(h.request("GET", "/v1/models", "")))
	if got.response.StatusCode != 503 || got.response.Header.Get("Retry-After") != "1" {
		t.Errorf("got %d, Retry-After %q", got.response.StatusCode, got.response.Header.Get("Retry-After"))
	}
}

// Checks the event that the reducer gets, and that the caller's API key and
// hop-by-hop headers are not forwarded.
func TestRequestArrivedEvent(t *testing.T) {
	h := newHarness(t)
	chat := chatBody + `,"frequency_penalty":1}`
	isJSON := core.HeaderKV{Name: "Content-Type", Value: "application/json"}
	onlyOnce := core.HeaderKV{Name: "Nutmeglane-Non-Idempotent", Value: "true"}
	prefix := engineapi.PrefixHash("damp wall")
	adapter := strings.Replace(chat, `"report"`, `"bern"`, 1)
	tests := []struct {
		name string
		r    *http.Request
		want core.RequestArrived
	}{
		{"completion", h.request("POST", completionsPath, chat, "Priority", "u=1, i"),
			core.RequestArrived{Target: core.Target{Model: "report"}, Priority: api.PriorityBatch, Idempotent: true,
				Method: "POST", Path: completionsPath, Body: []byte(chat), Prefix: prefix, Header: []core.HeaderKV{isJSON}}},
		{"adapter, keyed", h.request("POST", completionsPath, adapter, "Idempotency-Key", "k", "Priority", "interactive"),
			core.RequestArrived{Target: core.Target{Model: "report", Adapter: "bern"}, Priority: api.PriorityInteractive, Key: "k",
				Method: "POST", Path: completionsPath, Body: []byte(adapter), Prefix: prefix, Header: []core.HeaderKV{isJSON, onlyOnce}}},
		{"service", h.request("PUT", "/services/akte/a%2Fb//c?x=1&y", "raw", "Connection", "X-Hop", "X-Hop", "1", "X-Two", "1", "X-Two", "2",
			"Te", "trailers", "Nutmeglane-Code", "1", "Request-Timeout", "9.5", "User-Agent", "u", "Accept-Encoding", "br", "Priority", "batch"),
			core.RequestArrived{Target: core.Target{Service: "akte"}, Priority: api.PriorityBatch, Idempotent: true,
				Method: "PUT", Path: "/a%2Fb//c?x=1&y", Body: []byte("raw"), Header: []core.HeaderKV{
					{Name: "Accept-Encoding", Value: "br"}, {Name: "User-Agent", Value: "u"}, {Name: "X-Two", Value: "1"}, {Name: "X-Two", Value: "2"}}}},
		{"charge", h.request("POST", "/services/akte", "", "User-Agent", "u", "Accept-Encoding", "br", "Nutmeglane-Non-Idempotent", "false"),
			core.RequestArrived{Target: core.Target{Service: "akte"}, Priority: api.PriorityInteractive, Method: "POST", Path: "/", Body: []byte{},
				Header: []core.HeaderKV{{Name: "Accept-Encoding", Value: "br"}, {Name: "User-Agent", Value: "u"}, onlyOnce}}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			done := h.start(test.r)
			got := nextEvent[core.RequestArrived](h)
			h.front.Do(core.RespondEnd{ID: got.ID, Code: code.NoBackend})
			h.wait(done)
			test.want.ClientAccount = "helvarin"
			if diff := cmp.Diff(test.want, got, cmpopts.IgnoreFields(got, "ID", "Timeout")); diff != "" {
				t.Errorf("(-want +got):\n%s", diff)
			}
			if got.Timeout <= 0 || got.Timeout > time.Minute {
				t.Errorf("time-out %s", got.Timeout)
			}
		})
	}
}

// Guards against a charge that runs twice: it was retried after a lost connection,
// because the request spelled the path differently from the service's declaration of
// non-idempotent paths.
func TestIsIdempotent(t *testing.T) {
	spec := api.ServiceSpec{NonIdempotentPaths: []string{"/charges", "/fees/"}}
	tests := []struct {
		method, path string
		want         bool
	}{
		{"GET", "/rolls", true}, {"PUT", "/rolls/3?x=/charges", true}, {"POST", "/rolls", false}, {"PATCH", "/rolls", false},
		{"PUT", "/charges", false}, {"PUT", "/charges/1", false}, {"PUT", "/%63harges", false}, {"PUT", "//charges", false},
		{"PUT", "/x/../charges", false}, {"PUT", "/x/%2e%2e/charges", false}, {"GET", "/fees", false}, {"get", "/rolls", false},
	}
	for _, test := range tests {
		if got := isIdempotent(spec, test.method, test.path); got != test.want {
			t.Errorf("%s %s: idempotent %v, want %v", test.method, test.path, got, test.want)
		}
	}
	if !isIdempotent(api.ServiceSpec{IdempotentMethods: []string{"POST"}}, "POST", "/") {
		t.Error("a POST declared as idempotent is not idempotent")
	}
}

func FuzzCompletionBody(f *testing.F) {
	f.Add([]byte(chatBody + "}"))
	f.Add([]byte(`{"model":"report:bern","messages":[{"role":"user","content":[{"type":"text","text":"x"}]}],"n":1}`))
	f.Add([]byte(`{"model":1,"messages":{},"max_tokens":1e400}`))
	f.Add([]byte(`null`))
	f.Fuzz(func(t *testing.T, body []byte) {
		parsed, refused := parseCompletion(body)
		if (parsed == nil) == (refused == nil) {
			t.Fatalf("got %v and %v", parsed, refused)
		}
		if refused != nil {
			var shown errorBody
			if err := json.Unmarshal(refused.body(core.RequestID{}), &shown); err != nil || shown.Error.Field == "" {
				t.Fatalf("refusal %+v names no field (%v)", refused, err)
			}
			return
		}
		if parsed.prefixHash() == 0 {
			t.Fatal("prefix hash is zero")
		}
	})
}
