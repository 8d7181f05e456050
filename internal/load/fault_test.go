package load

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/google/go-cmp/cmp"

	"nutmeglane.example/nutmeglane/internal/standin/engine"
	"nutmeglane.example/nutmeglane/internal/standin/service"
)

const (
	testID    = "0123456789abcdef0123456789abcdef"
	modelKey  = "m@1"
	testRunID = "test"
)

// system fakes the entry, the backend servers and their referee in one handler.
type system struct {
	answer  http.HandlerFunc
	referee func(read int) refereeReport
	reads   int
}

func (s *system) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == refereePath {
		s.reads++
		_ = json.NewEncoder(w).Encode(s.referee(s.reads))
		return
	}
	w.Header().Set("Nutmeglane-Request-Id", testID)
	s.answer(w, r)
}

// ranAfterwards returns a referee that counts the given number of runs of one
// request between its two readings.
func ranAfterwards(id string, times int) func(int) refereeReport {
	return func(read int) refereeReport {
		if read == 1 {
			return refereeReport{}
		}
		return refereeReport{Runs: map[string]int{id: times}, DoubleRuns: times - 1}
	}
}

// tokensOf returns the correct answer to a completion request.
func tokensOf(r *http.Request) []string {
	var body completionBody
	_ = json.NewDecoder(r.Body).Decode(&body)
	return engine.Answer(modelKey, body.Messages[0].Content, body.MaxTokens)
}

func writeTokens(w io.Writer, tokens []string) {
	for _, token := range tokens {
		_, _ = fmt.Fprintf(w, "data: {\"id\":\"chatcmpl-%s\",\"model\":\"m\",\"choices\":[{\"delta\":{\"content\":%q}}]}\n\n", testID, token)
	}
}

const done = "data: [DONE]\n\n"

func serveRight(w http.ResponseWriter, r *http.Request) {
	if rest, isService := strings.CutPrefix(r.URL.Path, "/services/s"); isService {
		r.URL.Path = rest
		service.New(service.Options{}).ServeHTTP(w, r)
		return
	}
	var body completionBody
	data, _ := io.ReadAll(r.Body)
	_ = json.Unmarshal(data, &body)
	tokens := engine.Answer(modelKey, body.Messages[0].Content, body.MaxTokens)
	if body.Stream {
		writeTokens(w, tokens)
		_, _ = io.WriteString(w, done)
		return
	}
	_, _ = fmt.Fprintf(w, `{"model":"m","choices":[{"message":{"content":%q}}]}`, strings.Join(tokens, ""))
}

// refuse writes the refusal that the entry sends for a request that did not run.
func refuse(w http.ResponseWriter, retryAfter string) {
	w.Header().Set(headerCode, "2002")
	w.Header().Set(headerNotRun, "true")
	if retryAfter != "" {
		w.Header().Set(headerRetryAfter, retryAfter)
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

// runAgainst sends one request of the class to the system.
func runAgainst(t *testing.T, s *system, class Class, change func(*Plan)) *Summary {
	t.Helper()
	server := httptest.NewServer(s)
	defer server.Close()
	class.Name, class.APIKey = "c", "k"
	class.Bursts = &Bursts{Size: 1, Every: Duration(maxDuration)}
	plan := Plan{
		Targets: []string{"http://127.0.0.1:1", server.URL}, Duration: 1e6, Grace: 1e6,
		Versions: map[string]string{"m": "1"}, Classes: []Class{class},
	}
	if s.referee != nil {
		plan.Referees = []string{server.URL}
	}
	if change != nil {
		change(&plan)
	}
	summary, err := Run(context.Background(), plan, Options{RunID: testRunID})
	if err != nil {
		t.Fatal(err)
	}
	return summary
}

func modelCalls() []Call { return []Call{{Models: []string{"m"}}} }

func serviceCalls(method string) []Call {
	return []Call{{Service: "s", Method: method, Path: "/rolls?of=yoff", Body: "a roll"}}
}

func TestRightAnswersHaveNoFault(t *testing.T) {
	for name, class := range map[string]Class{
		"streamed":    {Calls: modelCalls(), StreamShare: 1},
		"whole":       {Calls: modelCalls()},
		"slow reader": {Calls: modelCalls(), StreamShare: 1, SlowShare: 1, SlowPause: 1},
		"service":     {Calls: serviceCalls("GET")},
		"charge":      {Calls: serviceCalls("POST"), KeyShare: 1},
	} {
		s := &system{answer: serveRight, referee: ranAfterwards("load-test-0", 1)}
		summary := runAgainst(t, s, class, nil)
		want := map[Outcome]int{OutcomeOK: 1}
		if diff := cmp.Diff(want, summary.Series[0].Outcomes); diff != "" || summary.Faults() != 0 {
			t.Errorf("%s: %s %v", name, diff, summary.Examples)
		}
	}
}

// Each case is a system with one injected fault that the caller or a referee can
// observe. The fault must be detected, counted once and classified correctly.
func TestPlantedFaultsAreFound(t *testing.T) {
	streamed := Class{Calls: modelCalls(), StreamShare: 1}
	keyed := Class{Calls: serviceCalls("POST"), KeyShare: 1}
	for _, c := range []struct {
		name    string
		class   Class
		answer  http.HandlerFunc
		referee func(int) refereeReport
		want    Fault
	}{
		// A caller gets the answer to another prompt: the entry matched a late
		// frame to the wrong request.
		{"crossed stream", streamed, func(w http.ResponseWriter, r *http.Request) {
			writeTokens(w, engine.Answer(modelKey, "another prompt", len(tokensOf(r))))
			_, _ = io.WriteString(w, done)
		}, nil, FaultCrossed},
		// The same, but the connection breaks off before the end, so that the
		// fault could be mistaken for a cut answer.
		{"crossed and broken", streamed, func(w http.ResponseWriter, r *http.Request) {
			writeTokens(w, engine.Answer(modelKey, "another prompt", len(tokensOf(r)))[:2])
			_, _ = io.WriteString(w, "event: error\ndata: {\"error\":{\"code\":3004}}\n\n")
		}, nil, FaultCrossed},
		// A caller gets the answer to another caller's call of a service.
		{"crossed echo", Class{Calls: serviceCalls("GET")}, func(w http.ResponseWriter, r *http.Request) {
			r.URL.RawQuery = "of=ngor"
			serveRight(w, r)
		}, nil, FaultCrossed},
		// A token frame is lost, but the answer ends as if it were complete.
		{"hole in a stream", streamed, func(w http.ResponseWriter, r *http.Request) {
			tokens := tokensOf(r)
			writeTokens(w, tokens[:3])
			writeTokens(w, tokens[4:])
			_, _ = io.WriteString(w, done)
		}, nil, FaultCut},
		// The entry crashes during a stream and the connection is closed
		// normally. Without [DONE] the caller can't know whether the answer is
		// complete.
		{"no end", streamed, func(w http.ResponseWriter, r *http.Request) {
			writeTokens(w, tokensOf(r))
		}, nil, FaultCut},
		// After a reconnect the agent resumes two tokens too early.
		{"doubled tokens", streamed, func(w http.ResponseWriter, r *http.Request) {
			tokens := tokensOf(r)
			writeTokens(w, tokens[:5])
			writeTokens(w, tokens[3:])
			_, _ = io.WriteString(w, done)
		}, nil, FaultDoubled},
		// Two attempts of one request both answer, one after the other.
		{"doubled answer", streamed, func(w http.ResponseWriter, r *http.Request) {
			tokens := tokensOf(r)
			for range 2 {
				writeTokens(w, tokens)
				_, _ = io.WriteString(w, done)
			}
		}, nil, FaultDoubled},
		// A call runs twice, but its caller gets a single, correct answer.
		{"doubled charge", keyed, serveRight, ranAfterwards("load-test-0", 2), FaultDoubled},
		// The entry loses the request and never answers.
		{"no answer", streamed, func(_ http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
		}, nil, FaultLost},
		// The entry is killed, and the connection ends before any answer.
		{"connection lost", streamed, func(http.ResponseWriter, *http.Request) {
			panic(http.ErrAbortHandler)
		}, nil, FaultLost},
		// The entry refuses the request as not run, but the attempt that it
		// abandoned does run. A caller that relies on the refusal sends the call
		// again.
		{"untrue refusal", keyed, func(w http.ResponseWriter, _ *http.Request) {
			refuse(w, "1")
		}, ranAfterwards("load-test-0", 1), FaultUntrueRefusal},
		// The same without an idempotency key.
		{"untrue refusal by id", Class{Calls: modelCalls()}, func(w http.ResponseWriter, _ *http.Request) {
			refuse(w, "1")
		}, ranAfterwards(testID, 1), FaultUntrueRefusal},
		// Without Retry-After, refused clients all retry at once.
		{"no Retry-After", streamed, func(w http.ResponseWriter, _ *http.Request) {
			refuse(w, "")
		}, nil, FaultNoRetryAfter},
	} {
		class := c.class
		class.Timeout = Duration(minTimeout)
		if c.want != FaultLost {
			class.Timeout = defaultTimeout
		}
		summary := runAgainst(t, &system{answer: c.answer, referee: c.referee}, class, nil)
		if summary.FaultCounts[c.want] != 1 || summary.Faults() != 1 {
			t.Errorf("%s: got %v, wanted one %s: %v", c.name, summary.FaultCounts, c.want, summary.Examples)
		}
	}
}

// Two callers use the same model at once and each gets the other's answer,
// because the entry swapped their request ids. Both answers are complete and of
// the right length, so only the text reveals the fault.
func TestSwappedAnswersAreFound(t *testing.T) {
	first, second := make(chan []string), make(chan []string)
	var arrived atomic.Int32
	s := &system{answer: func(w http.ResponseWriter, r *http.Request) {
		own, other := first, second
		if arrived.Add(1) == 2 {
			own, other = second, first
		}
		tokens := tokensOf(r)
		go func() { own <- tokens }()
		writeTokens(w, <-other)
		_, _ = io.WriteString(w, done)
	}}
	summary := runAgainst(t, s, Class{Calls: modelCalls(), StreamShare: 1}, func(p *Plan) {
		p.Classes[0].Bursts.Size = 2
	})
	if summary.FaultCounts[FaultCrossed] != 2 || summary.Faults() != 2 {
		t.Error(summary.FaultCounts, summary.Examples)
	}
}

// The entry queues a request that it can't serve in time until shortly before
// the deadline instead of refusing it at once, so the caller waits without a
// result.
func TestLateRefusalIsFound(t *testing.T) {
	s := &system{answer: func(w http.ResponseWriter, _ *http.Request) { refuse(w, "1") }}
	summary := runAgainst(t, s, Class{Calls: modelCalls()}, func(p *Plan) { p.RefusalLimit = 1 })
	if summary.FaultCounts[FaultLateRefusal] != 1 || summary.Faults() != 1 {
		t.Error(summary.FaultCounts)
	}
}

// During the run, a call of another client account runs twice and an engine's
// memory is overcommitted. No caller of the run can observe either, but the
// referees count both.
func TestRefereesFaultsCount(t *testing.T) {
	s := &system{answer: serveRight, referee: func(read int) refereeReport {
		return refereeReport{DoubleRuns: 3 * read, MemoryViolations: 2 * read, Loads: read}
	}}
	summary := runAgainst(t, s, Class{Calls: modelCalls()}, nil)
	want := &RefereeChange{Loads: 1, MemoryViolations: 2, DoubleRuns: 3}
	if diff := cmp.Diff(want, summary.Referees); diff != "" || summary.Faults() != 5 {
		t.Error(diff, summary.Faults())
	}
}
