package front

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"nutmeglane.example/nutmeglane/internal/api"
	"nutmeglane.example/nutmeglane/internal/core"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	testKey     = "key-of-helvarin"
	testTimeout = 30 * time.Second // only ends a test that hangs
	chatBody    = `{"model":"report","messages":[{"role":"user","content":"damp wall"}],"max_tokens":9`
)

func testSnapshot() *api.Snapshot {
	digest := sha256.Sum256([]byte(testKey))
	return &api.Snapshot{
		Models: map[string]*api.Model{
			"report": {Spec: api.ModelSpec{Priority: api.PriorityBatch}}, "rules": {},
		},
		Adapters: map[string]*api.Adapter{"bern": {Spec: api.AdapterSpec{Base: "report"}}},
		Services: map[string]*api.Service{"akte": {Spec: api.ServiceSpec{NonIdempotentPaths: []string{"/charges"}}}},
		ClientAccounts: map[string]*api.ClientAccount{
			"helvarin": {Spec: api.ClientAccountSpec{APIKeySHA256: []string{strings.ToUpper(hex.EncodeToString(digest[:]))}}},
		},
	}
}

// harness is a Front behind an HTTP server; the test acts as the reducer.
type harness struct {
	t      *testing.T
	front  *Front
	server *httptest.Server
	events chan core.Event
	log    *lockedBuffer
}

type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

func newHarness(t *testing.T) *harness {
	h := &harness{t: t, events: make(chan core.Event, 1000), log: &lockedBuffer{}}
	h.front = New(Options{
		MaxBodyBytes: 1000, MaxAnswerBytes: 100, DefaultTimeout: time.Minute, MaxTimeout: time.Hour,
		StreamWindow: 32, Logger: slog.New(slog.NewTextHandler(h.log, nil)),
	}, func(e core.Event) { h.events <- e })
	h.front.SetSnapshot(testSnapshot())
	h.server = httptest.NewUnstartedServer(nil)
	h.server.Config = h.front.Server()
	h.server.Start()
	t.Cleanup(func() {
		h.server.Client().CloseIdleConnections()
		h.server.Close()
	})
	return h
}

func (h *harness) request(method, path, body string, headers ...string) *http.Request {
	h.t.Helper()
	r, err := http.NewRequest(method, h.server.URL+path, strings.NewReader(body))
	if err != nil {
		h.t.Fatal(err)
	}
	r.Header.Set("Authorization", "Bearer "+testKey)
	for i := 0; i < len(headers); i += 2 {
		if headers[i+1] == "" {
			r.Header.Del(headers[i])
			continue
		}
		r.Header.Add(headers[i], headers[i+1])
	}
	return r
}

type result struct {
	response *http.Response
	body     string
	err      error
}

// start sends a request and returns the channel for its result.
func (h *harness) start(r *http.Request) <-chan result {
	done := make(chan result, 1)
	go func() {
		response, err := h.server.Client().Do(r)
		if err != nil {
			done <- result{err: err}
			return
		}
		defer response.Body.Close()
		body, err := io.ReadAll(response.Body)
		done <- result{response, string(body), err}
	}()
	return done
}

func (h *harness) wait(done <-chan result) result {
	h.t.Helper()
	select {
	case r := <-done:
		return r
	case <-time.After(testTimeout):
		h.t.Fatal("no answer")
		return result{}
	}
}

// nextEvent returns the next event of type E and skips others.
func nextEvent[E core.Event](h *harness) E {
	h.t.Helper()
	for {
		select {
		case event := <-h.events:
			if e, ok := event.(E); ok {
				return e
			}
		case <-time.After(testTimeout):
			h.t.Fatalf("no %T", *new(E))
		}
	}
}

func tokens(id core.RequestID, list ...string) core.RespondData {
	data := core.RespondData{ID: id, Count: uint32(len(list))}
	for _, token := range list {
		data.Payload = append(data.Payload, token...)
		data.Sizes = binary.AppendUvarint(data.Sizes, uint64(len(token)))
	}
	return data
}

type parsedStream struct {
	text       string
	chunks     int
	finish     string
	done       bool
	errorName  string
	unexpected string
}

func parseStream(t *testing.T, body string) parsedStream {
	t.Helper()
	var s parsedStream
	lines := bufio.NewScanner(strings.NewReader(body))
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		switch {
		case !ok && lines.Text() != "" && lines.Text() != "event: error":
			s.unexpected += lines.Text()
		case data == "[DONE]":
			s.done = true
		case ok:
			s.add(t, data)
		}
	}
	return s
}

func (s *parsedStream) add(t *testing.T, data string) {
	t.Helper()
	var chunk struct {
		Choices []struct {
			Delta  struct{ Content string }
			Finish *string `json:"finish_reason"`
		}
		Error *errorDetail
	}
	if err := json.Unmarshal([]byte(data), &chunk); err != nil {
		t.Fatalf("chunk %s: %v", data, err)
	}
	if chunk.Error != nil {
		s.errorName = chunk.Error.Name
		return
	}
	s.chunks++
	s.text += chunk.Choices[0].Delta.Content
	if finish := chunk.Choices[0].Finish; finish != nil {
		s.finish = *finish
	}
}
