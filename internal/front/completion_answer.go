package front

import (
	"net/http"
	"strconv"

	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
)

// Values of finish_reason.
const (
	finishStop   = "stop"
	finishLength = "length"
)

// completionState is the state shared by both formats of a completion's answer.
type completionState struct {
	in      *incoming
	model   string
	limit   int64
	created int64
	tokens  int64
	joiner  textJoiner
}

func newCompletionAnswer(in *incoming, parsed *CompletionRequest) answerWriter {
	m := completionState{in: in, model: parsed.Model, limit: parsed.tokenLimit(), created: in.arrived.Unix()}
	if parsed.Stream {
		return newStreamedAnswer(m)
	}
	return &bufferedAnswer{completionState: m}
}

// head checks the engine's status. Nothing is sent to the caller before the
// first token, so that an earlier failure can still set the HTTP status.
func (m *completionState) head(head core.RespondHead) error {
	if head.Status != http.StatusOK && head.Status != 0 {
		return answerError{code.BackendFailed}
	}
	return nil
}

func (m *completionState) finishReason() string {
	if m.limit > 0 && m.tokens >= m.limit {
		return finishLength
	}
	return finishStop
}

// appendEnvelope appends the fields common to all JSON objects of an answer,
// without the closing brace.
func (m *completionState) appendEnvelope(to []byte, object string) []byte {
	to = append(to, `{"id":"chatcmpl-`...)
	to = append(to, m.in.id.String()...)
	to = append(to, `","object":"`...)
	to = append(to, object...)
	to = append(to, `","created":`...)
	to = strconv.AppendInt(to, m.created, 10)
	to = append(to, `,"model":`...)
	return appendJSONString(to, []byte(m.model))
}

// streamedAnswer writes an answer as server-sent events, one chunk per token.
type streamedAnswer struct {
	completionState
	// prefix is the constant beginning of each chunk, up to the delta.
	prefix  []byte
	pending []byte
	started bool
}

func newStreamedAnswer(m completionState) *streamedAnswer {
	prefix := m.appendEnvelope([]byte("data: "), "chat.completion.chunk")
	return &streamedAnswer{completionState: m, prefix: append(prefix, `,"choices":[{"index":0,"delta":`...)}
}

func (s *streamedAnswer) data(data core.RespondData) error {
	return forEachToken(data, func(token []byte) {
		s.start()
		s.tokens++
		s.appendContent(s.joiner.next(token))
	})
}

func (s *streamedAnswer) start() {
	if s.started {
		return
	}
	s.started = true
	header := s.in.w.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-store")
	s.in.w.WriteHeader(http.StatusOK)
	s.appendChunk(`{"role":"assistant","content":""}`, "")
}

func (s *streamedAnswer) appendContent(text []byte) {
	s.pending = append(s.pending, s.prefix...)
	s.pending = append(s.pending, `{"content":`...)
	s.pending = appendJSONString(s.pending, text)
	s.pending = append(s.pending, "},\"finish_reason\":null}]}\n\n"...)
}

// appendChunk appends a chunk with an encoded delta. An empty finish is written
// as null.
func (s *streamedAnswer) appendChunk(delta, finish string) {
	s.pending = append(s.pending, s.prefix...)
	s.pending = append(s.pending, delta...)
	s.pending = append(s.pending, `,"finish_reason":`...)
	if finish == "" {
		s.pending = append(s.pending, "null"...)
	} else {
		s.pending = strconv.AppendQuote(s.pending, finish)
	}
	s.pending = append(s.pending, "}]}\n\n"...)
}

// complete implements answerWriter. A completion is complete only at its end.
func (m *completionState) complete() bool { return false }

func (s *streamedAnswer) flush() error {
	if len(s.pending) == 0 {
		return nil
	}
	_, err := s.in.w.Write(s.pending)
	s.pending = s.pending[:0]
	if err != nil {
		return err
	}
	return s.in.control.Flush()
}

// end sends [DONE] after a complete answer only. After a failure it sends an
// error event and ends the stream, so that a client that waits for [DONE] does
// not treat a truncated answer as complete.
func (s *streamedAnswer) end(end core.RespondEnd) {
	if end.Code != code.OK && !s.started {
		s.in.writeRefusal(refusalOf(end))
		return
	}
	s.start()
	if end.Code == code.OK {
		if rest := s.joiner.rest(); len(rest) > 0 {
			s.appendContent(rest)
		}
		s.appendChunk("{}", s.finishReason())
		s.pending = append(s.pending, "data: [DONE]\n\n"...)
	} else {
		s.pending = append(s.pending, "event: error\ndata: "...)
		s.pending = append(s.pending, refusalOf(end).body(s.in.id)...)
		s.pending = append(s.pending, "\n\n"...)
	}
	_ = s.flush() // fails only if the caller has disconnected
}

// bufferedAnswer buffers a completion and writes it as one JSON object.
type bufferedAnswer struct {
	completionState
	text []byte
}

func (a *bufferedAnswer) data(data core.RespondData) error {
	if int64(len(a.text)+len(data.Payload)) > a.in.opts.MaxAnswerBytes {
		return answerError{code.AnswerCut}
	}
	return forEachToken(data, func(token []byte) {
		a.tokens++
		a.text = append(a.text, token...)
	})
}

func (a *bufferedAnswer) flush() error { return nil }

func (a *bufferedAnswer) end(end core.RespondEnd) {
	if end.Code != code.OK {
		a.in.writeRefusal(refusalOf(end))
		return
	}
	body := a.appendEnvelope(nil, "chat.completion")
	body = append(body, `,"choices":[{"index":0,"message":{"role":"assistant","content":`...)
	body = appendJSONString(body, a.text)
	body = append(body, `},"finish_reason":`...)
	body = strconv.AppendQuote(body, a.finishReason())
	body = append(body, `}],"usage":{"completion_tokens":`...)
	body = strconv.AppendInt(body, a.tokens, 10)
	body = append(body, `}}`...)
	a.in.writeJSON(http.StatusOK, body)
}
