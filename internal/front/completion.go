package front

import (
	"encoding/json"
	"fmt"

	"github.com/cockroachdb/errors"

	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/engine/engineapi"
)

const (
	completionsPath = "/v1/chat/completions"
	maxTemperature  = 2
)

// CompletionRequest holds the fields of a chat completion's body that the system
// reads. The engine gets the original body, with all other fields.
type CompletionRequest struct {
	Model               string    `json:"model"`
	Messages            []Message `json:"messages"`
	Stream              bool      `json:"stream"`
	MaxTokens           *int64    `json:"max_tokens"`
	MaxCompletionTokens *int64    `json:"max_completion_tokens"`
	Temperature         *float64  `json:"temperature"`
	N                   *int64    `json:"n"`
}

// Message is one message of a chat.
type Message struct {
	Role string `json:"role"`
	// Content is a string, null, or an array of parts. Parts are not validated.
	Content json.RawMessage `json:"content"`
}

// tokenLimit returns the requested maximum number of tokens, or 0 if there is none.
func (c *CompletionRequest) tokenLimit() int64 {
	switch {
	case c.MaxCompletionTokens != nil:
		return *c.MaxCompletionTokens
	case c.MaxTokens != nil:
		return *c.MaxTokens
	default:
		return 0
	}
}

// prefixHash returns the hash by which engines identify the cached prefix of the
// prompt.
func (c *CompletionRequest) prefixHash() uint64 {
	contents := make([]json.RawMessage, len(c.Messages))
	for i, m := range c.Messages {
		contents[i] = m.Content
	}
	return engineapi.PrefixHash(engineapi.Prompt(contents))
}

func parseCompletion(body []byte) (*CompletionRequest, *refusal) {
	parsed := &CompletionRequest{}
	if err := json.Unmarshal(body, parsed); err != nil {
		return nil, malformedBody(err)
	}
	if refused := parsed.check(); refused != nil {
		return nil, refused
	}
	return parsed, nil
}

// malformedBody returns a refusal that gives the location of a decoding error
// without quoting the body.
func malformedBody(err error) *refusal {
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		field := wrongType.Field
		if field == "" {
			return &refusal{code: code.BadBody, field: "body", message: "want a JSON object"}
		}
		return badField(field, "is a JSON "+jsonKind(wrongType.Value)+", want "+wrongType.Type.String())
	}
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		return &refusal{code: code.BadBody, field: "body", message: fmt.Sprintf("malformed JSON at byte %d", syntax.Offset)}
	}
	return &refusal{code: code.BadBody, field: "body", message: "malformed JSON"}
}

// jsonKind removes the literal value that encoding/json appends to "number".
func jsonKind(value string) string {
	if len(value) >= 6 && value[:6] == "number" {
		return "number"
	}
	return value
}

func badField(field, message string) *refusal {
	return &refusal{code: code.BadField, field: field, message: message}
}

func (c *CompletionRequest) check() *refusal {
	if c.Model == "" {
		return badField("model", "is required")
	}
	if len(c.Messages) == 0 {
		return badField("messages", "want at least one")
	}
	for i, m := range c.Messages {
		if m.Role == "" {
			return badField(fmt.Sprintf("messages[%d].role", i), "is required")
		}
		if !isValidContent(m.Content) {
			return badField(fmt.Sprintf("messages[%d].content", i), "want a string, null or an array of parts")
		}
	}
	return c.checkNumbers()
}

func (c *CompletionRequest) checkNumbers() *refusal {
	if c.MaxTokens != nil && *c.MaxTokens < 1 {
		return badField("max_tokens", "want 1 or more")
	}
	if c.MaxCompletionTokens != nil && *c.MaxCompletionTokens < 1 {
		return badField("max_completion_tokens", "want 1 or more")
	}
	if c.Temperature != nil && (*c.Temperature < 0 || *c.Temperature > maxTemperature) {
		return badField("temperature", "want 0 to 2")
	}
	if c.N != nil && *c.N != 1 {
		return badField("n", "want 1: one answer to a request")
	}
	return nil
}

// isValidContent reports whether content starts like a string, an array or null.
func isValidContent(content json.RawMessage) bool {
	if len(content) == 0 {
		return true
	}
	return content[0] == '"' || content[0] == '[' || content[0] == 'n'
}

func (f *Front) serveCompletion(in *incoming) *refusal {
	if encoding := in.r.Header.Get("Content-Encoding"); encoding != "" && encoding != "identity" {
		return badHeader("Content-Encoding", "want an unencoded body")
	}
	arrived, refused := in.readRequest()
	if refused != nil {
		return refused
	}
	parsed, refused := parseCompletion(arrived.Body)
	if refused != nil {
		return refused
	}
	target, ok := in.config.resolveTarget(parsed.Model)
	if !ok {
		return &refusal{code: code.UnknownModel, field: "model"}
	}
	arrived.Target = target
	arrived.Path = completionsPath
	arrived.Priority = in.priority(&arrived)
	arrived.Prefix = parsed.prefixHash()
	arrived.Header = markNonIdempotent([]core.HeaderKV{{Name: "Content-Type", Value: "application/json"}}, arrived)
	f.relay(in, arrived, newCompletionAnswer(in, parsed))
	return nil
}
