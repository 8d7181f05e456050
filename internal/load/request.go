package load

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"nutmeglane.example/nutmeglane/internal/engine/engineapi"
	"nutmeglane.example/nutmeglane/internal/standin/engine"
)

const (
	completionsPath = "/v1/chat/completions"
	servicesPath    = "/services/"
	// tokenParameter is the query parameter that makes a service call unique.
	tokenParameter = "load_token"
)

// HTTP headers of requests and answers.
const (
	headerIdempotencyKey = "Idempotency-Key"
	headerTimeout        = "Request-Timeout"
	headerPriority       = "Priority"
	headerCode           = "Nutmeglane-Code"
	headerNotRun         = "Nutmeglane-Not-Run"
	headerRetryAfter     = "Retry-After"
)

// completionBody is the body of a chat completion.
type completionBody struct {
	Model     string        `json:"model"`
	Messages  []chatMessage `json:"messages"`
	MaxTokens int           `json:"max_tokens"`
	Stream    bool          `json:"stream"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// promptText returns a prompt that is unique within the run, so that each
// request has a different answer.
func (a *arrival) promptText() string {
	shared := filler(min(a.class.SharedPrefixBytes, a.prompt))
	unique := fmt.Sprintf("%s %s %d ", shared, a.class.Name, a.number)
	return unique + filler(max(0, a.prompt-len(unique)))
}

func filler(n int) string {
	const text = "the wall by the window has a scratch, the kite line is tangled; "
	return strings.Repeat(text, n/len(text)+1)[:n]
}

// uniqueName returns a name for a request that is unique over all runs, because
// the system may still store idempotency keys of an earlier run.
func (a *arrival) uniqueName(run string) string { return "load-" + run + "-" + strconv.Itoa(a.number) }

// servicePath returns the path and query that the service must receive.
func (a *arrival) servicePath(run string) string {
	separator := "?"
	if strings.Contains(a.call.Path, "?") {
		separator = "&"
	}
	return a.call.Path + separator + tokenParameter + "=" + a.uniqueName(run)
}

func (a *arrival) newRequest(ctx context.Context, target, run string) (*http.Request, error) {
	method, path, body := http.MethodPost, completionsPath, ""
	if a.call.Service != "" {
		method, body = a.call.Method, a.call.Body
		path = servicesPath + a.call.Service + a.servicePath(run)
	} else {
		body = a.completion()
	}
	request, err := http.NewRequestWithContext(ctx, method, strings.TrimSuffix(target, "/")+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	// Without GetBody, net/http can't resend a request by itself after a
	// connection failure, which would hide a loss or run a call twice.
	request.GetBody = nil
	a.setHeader(request.Header, run)
	return request, nil
}

func (a *arrival) completion() string {
	body, err := json.Marshal(completionBody{
		Model: a.model, MaxTokens: a.tokens, Stream: a.stream,
		Messages: []chatMessage{{Role: "user", Content: a.promptText()}},
	})
	if err != nil {
		panic(err) // unreachable: the struct has only strings, numbers and bools
	}
	return string(body)
}

func (a *arrival) setHeader(header http.Header, run string) {
	header.Set("Authorization", "Bearer "+a.class.APIKey)
	seconds := time.Duration(a.class.Timeout).Seconds()
	header.Set(headerTimeout, strconv.FormatFloat(seconds, 'f', 3, 64))
	if a.class.Priority != "" {
		header.Set(headerPriority, string(a.class.Priority))
	}
	if a.keyed {
		header.Set(headerIdempotencyKey, a.uniqueName(run))
		header.Set(engineapi.HeaderNonIdempotent, "true")
	}
	if a.call.Service == "" {
		header.Set("Content-Type", "application/json")
	}
}

// runsOnce reports whether the request must run at most once: it has an
// idempotency key, or its method is not idempotent.
func (a *arrival) runsOnce() bool {
	if a.keyed || a.call.Service == "" {
		return a.keyed
	}
	return a.call.Method == http.MethodPost || a.call.Method == http.MethodPatch
}

// expectedText returns the complete expected answer of a completion.
func (a *arrival) expectedText(plan *Plan) string {
	return strings.Join(engine.Answer(plan.key(a.model), a.promptText(), a.tokens), "")
}

// expectedEcho returns the path and query that the service must echo.
func (a *arrival) expectedEcho(run string) (path, query string) {
	parsed, err := url.Parse(a.servicePath(run))
	if err != nil {
		return "", "" // unreachable: the plan's check rejects such a path
	}
	return parsed.Path, parsed.RawQuery
}
