package load

import (
	"encoding/json"
	"io"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/standin/service"
)

const (
	doneMark      = "[DONE]"
	errorEvent    = "error"
	completionTag = "chatcmpl-"
)

// errNoEnd reports a stream that ended before the answer was complete.
var errNoEnd = errors.New("the stream ended without [DONE] or an error event")

// completionChunk is a chunk of a streamed completion, or a complete
// completion that is not streamed.
type completionChunk struct {
	ID      string `json:"id"`
	Model   string `json:"model"`
	Choices []struct {
		Delta   choiceText `json:"delta"`
		Message choiceText `json:"message"`
	} `json:"choices"`
}

type choiceText struct {
	Content string `json:"content"`
}

// errorAnswer is the body of a refusal or the data of an error event.
type errorAnswer struct {
	Error struct {
		Code      code.Code `json:"code"`
		RequestID string    `json:"request_id"`
	} `json:"error"`
}

// checkBodyID adds a fault if the request id in the body of a refusal or in an
// error event differs from the one in the response header.
func (r *result) checkBodyID(body []byte) {
	var answer errorAnswer
	if json.Unmarshal(body, &answer) != nil {
		return
	}
	if id := answer.Error.RequestID; id != "" && id != r.requestID {
		r.fault(FaultCrossed, "the header names request %s, the body %s", r.requestID, id)
	}
}

// checkMeta adds a fault if a chunk carries the id of another request or the
// name of another model.
func (r *result) checkMeta(chunk *completionChunk) {
	id := strings.TrimPrefix(chunk.ID, completionTag)
	switch {
	case id != "" && id != r.requestID:
		r.fault(FaultCrossed, "the header names request %s, the body %s", r.requestID, id)
	case chunk.Model != "" && chunk.Model != r.model:
		r.fault(FaultCrossed, "asked for model %s, answered by %s", r.model, chunk.Model)
	}
}

// readStream reads and checks a streamed completion. It returns an error if the
// stream broke off. The text received before a failure must still be a prefix
// of this request's expected text.
func (s *sender) readStream(r *result, body io.Reader) error {
	events := newEventReader(body)
	text, last, err := s.collect(r, events)
	if err == nil && last.Name != errorEvent {
		s.checkText(r, text)
		readAfterEnd(r, events)
		return nil
	}
	if err == nil {
		s.readErrorEvent(r, last)
	}
	if want := r.expectedText(s.plan); !strings.HasPrefix(want, text) {
		r.fault(FaultCrossed, "before the answer broke off: wanted %q, got %q", excerpt(want), excerpt(text))
	}
	return err
}

// collect concatenates the tokens up to the final event, which is [DONE] or an
// error event, and returns that event.
func (s *sender) collect(r *result, events *eventReader) (string, event, error) {
	var text strings.Builder
	last := r.at
	for {
		e, err := events.next()
		if errors.Is(err, io.EOF) {
			err = errNoEnd
		}
		if err != nil || e.Name == errorEvent || string(e.Data) == doneMark {
			return text.String(), e, err
		}
		var chunk completionChunk
		if err := json.Unmarshal(e.Data, &chunk); err != nil {
			return text.String(), e, errors.Wrap(err, "malformed chunk")
		}
		r.checkMeta(&chunk)
		if len(chunk.Choices) == 0 || chunk.Choices[0].Delta.Content == "" {
			continue
		}
		text.WriteString(chunk.Choices[0].Delta.Content)
		last = r.countToken(s.now(), last)
	}
}

// countToken records a token received at now. It returns now, to be passed as
// last for the next token.
func (r *result) countToken(now, last time.Duration) time.Duration {
	if r.tokens == 0 {
		r.firstToken = now
	} else {
		r.gaps = append(r.gaps, now-last)
	}
	r.tokens++
	return now
}

func (s *sender) readErrorEvent(r *result, e event) {
	var answer errorAnswer
	if err := json.Unmarshal(e.Data, &answer); err != nil {
		r.fault(FaultCut, "malformed error event: %v", err)
		return
	}
	r.outcome = codeOutcome(answer.Error.Code)
	r.checkBodyID(e.Data)
}

// readAfterEnd adds a fault if an event follows the end of a complete answer. A
// connection error at this point is ignored, because the caller has received
// the whole answer.
func readAfterEnd(r *result, events *eventReader) {
	if e, err := events.next(); err == nil {
		r.fault(FaultDoubled, "after [DONE] came %q", excerpt(string(e.Data)))
	}
}

func (s *sender) readWhole(r *result, body io.Reader) error {
	data, err := io.ReadAll(body)
	if err != nil {
		return err
	}
	var whole completionChunk
	if err := json.Unmarshal(data, &whole); err != nil {
		return errors.Wrap(err, "malformed completion")
	}
	if len(whole.Choices) == 0 {
		return errors.New("completion without choices")
	}
	r.checkMeta(&whole)
	r.tokens = r.arrival.tokens
	s.checkText(r, whole.Choices[0].Message.Content)
	return nil
}

func (s *sender) checkText(r *result, got string) {
	if fault, detail := compareText(r.expectedText(s.plan), got); fault != "" {
		r.fault(fault, "%s", detail)
	}
	r.markOK()
}

// readEcho checks that the plain service received exactly the call that was
// sent.
func (s *sender) readEcho(r *result, body io.Reader) error {
	data, err := io.ReadAll(body)
	if err != nil {
		return err
	}
	var echo service.Echo
	if err := json.Unmarshal(data, &echo); err != nil {
		r.fault(FaultCut, "malformed echo: %v", err)
		return nil
	}
	path, query := r.expectedEcho(s.runID)
	for _, field := range []struct{ name, want, got string }{
		{"method", r.call.Method, echo.Method},
		{"path", path, echo.Path},
		{"query", query, echo.Query},
		{"body", r.call.Body, echo.Body},
	} {
		if field.want != field.got {
			r.fault(FaultCrossed, "%s: wanted %q, got %q", field.name, excerpt(field.want), excerpt(field.got))
		}
	}
	r.markOK()
	return nil
}
