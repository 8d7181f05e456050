package front

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"nutmeglane.example/nutmeglane/internal/body"
	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
)

// Response headers of the system.
const (
	headerCode      = "Nutmeglane-Code"
	headerRequestID = "Nutmeglane-Request-Id"
	headerNotRun    = "Nutmeglane-Not-Run"
	reservedPrefix  = "Nutmeglane-"
)

// refusal is an error answer.
type refusal struct {
	code code.Code
	// field names the invalid header or body field; may be empty.
	field string
	// message describes the error. If empty, the code's meaning is sent.
	message    string
	retryAfter time.Duration
	// allow lists the allowed methods of the path, for BadMethod.
	allow string
	// unread is set if a part of the body has not been read.
	unread bool
}

func refusalOf(end core.RespondEnd) *refusal {
	return &refusal{code: end.Code, retryAfter: end.RetryAfter}
}

// errorBody is the JSON form of a refusal.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Code    code.Code `json:"code"`
	Name    string    `json:"name"`
	Message string    `json:"message"`
	Field   string    `json:"field,omitempty"`
	// NotRun is true if the request certainly did not run; false means that the
	// outcome is unknown.
	NotRun    bool   `json:"not_run"`
	RequestID string `json:"request_id"`
}

func (rf *refusal) body(id core.RequestID) []byte {
	message := rf.message
	if message == "" {
		message = rf.code.Meaning()
	}
	if rf.field != "" {
		message = rf.field + ": " + message
	}
	body, err := json.Marshal(errorBody{errorDetail{
		Code: rf.code, Name: rf.code.String(), Message: message, Field: rf.field,
		NotRun: rf.code.NotRun(), RequestID: id.String(),
	}})
	if err != nil {
		panic(err) // a struct of strings and numbers always encodes
	}
	return body
}

// refuse refuses a request that was not posted to the reducer.
func (in *incoming) refuse(rf *refusal) {
	if rf.unread {
		body.Refuse(in.w, in.r, func() { in.writeRefusal(rf) })
		return
	}
	in.writeRefusal(rf)
}

// writeRefusal writes a complete error answer. It must not be called after the
// response head was sent.
func (in *incoming) writeRefusal(rf *refusal) {
	header := in.w.Header()
	notRun := "unknown"
	if rf.code.NotRun() {
		notRun = "true"
	}
	header.Set(headerCode, strconv.Itoa(int(rf.code)))
	header.Set(headerNotRun, notRun)
	if rf.retryAfter > 0 {
		header.Set("Retry-After", retrySeconds(rf.retryAfter))
	}
	if rf.allow != "" {
		header.Set("Allow", rf.allow)
	}
	if rf.code == code.UnknownKey {
		header.Set("WWW-Authenticate", "Bearer")
	}
	in.writeJSON(rf.code.HTTPStatus(), rf.body(in.id))
}

// retrySeconds formats a duration for Retry-After. It rounds up, because a caller
// that retries too early is refused again.
func retrySeconds(d time.Duration) string {
	return strconv.Itoa(max(1, int(math.Ceil(d.Seconds()))))
}

// writeJSON sets Content-Length, so that a caller can detect a truncated answer.
func (in *incoming) writeJSON(status int, body []byte) {
	header := in.w.Header()
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	in.w.WriteHeader(status)
	if in.r.Method != http.MethodHead {
		_, _ = in.w.Write(body)
	}
}
