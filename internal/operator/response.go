package operator

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"

	"nutmeglane.example/nutmeglane/internal/api"
	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/operator/status"
)

// retryAfterSeconds is the Retry-After value, in seconds, if the KV service or the
// configuration is unavailable.
const retryAfterSeconds = 5

// Revision is the response to a request for the revision in force.
type Revision struct {
	// Revision is 0 if no configuration is in force yet.
	Revision int64 `json:"revision"`
}

// Item is a resource with its status.
type Item struct {
	api.Resource
	Status *status.Status `json:"status,omitempty"`
}

// UnmarshalJSON implements json.Unmarshaler. Without it, the method of the embedded
// resource, which ignores the status, would be promoted.
func (i *Item) UnmarshalJSON(data []byte) error {
	var form struct {
		Status *status.Status `json:"status"`
	}
	if err := json.Unmarshal(data, &form); err != nil {
		return errors.Wrap(err, "decode status")
	}
	i.Status = form.Status
	return i.Resource.UnmarshalJSON(data)
}

// List is the response to a list request for a kind.
type List struct {
	// Revision is the revision from which a watch continues the list.
	Revision int64  `json:"revision"`
	Items    []Item `json:"items"`
}

// Result is the response to a change.
type Result struct {
	// Revision is the revision that the change created, or the newest one if it
	// created none.
	Revision int64               `json:"revision"`
	DryRun   bool                `json:"dryRun,omitempty"`
	Changes  []core.ConfigChange `json:"changes"`
}

// Failure is the body of every error response.
type Failure struct {
	Code    code.Code `json:"code"`
	Message string    `json:"message"`
	// Next recommends what to do next.
	Next    string        `json:"next,omitempty"`
	Details []api.Problem `json:"details,omitempty"`
}

func resultOf(done core.ApplyDone, dryRun bool) Result {
	return Result{Revision: done.Revision, DryRun: dryRun, Changes: done.Changes}
}

// codeHeader carries the result code of every error response.
const codeHeader = "Nutmeglane-Code"

func writeError(w http.ResponseWriter, status int, failure Failure) {
	w.Header().Set(codeHeader, strconv.Itoa(int(failure.Code)))
	writeJSON(w, status, failure)
}

// NotFound responds that the path or method does not exist.
func NotFound(w http.ResponseWriter, _ *http.Request) {
	writeError(w, http.StatusNotFound, Failure{
		Code: code.UnknownPath, Message: "no such path or method", Next: "resources are below " + Prefix + "/{kind}s",
	})
}

// Unauthorized responds that the token is missing or wrong.
func Unauthorized(w http.ResponseWriter, _ *http.Request) {
	writeError(w, http.StatusUnauthorized, Failure{
		Code: code.UnknownKey, Message: "missing or wrong bearer token",
		Next: "send the operators.token of the settings as a bearer token or as the password of HTTP Basic authentication",
	})
}

// CrossOrigin refuses a change that a browser sent on behalf of another site.
func CrossOrigin(w http.ResponseWriter, _ *http.Request) {
	writeError(w, http.StatusForbidden, Failure{
		Code: code.BadHeader, Message: "a browser sent this on behalf of another site; nothing was changed",
		Next: "use `nutmeglane` or another program that is no browser",
	})
}

// Draining is the response to a drain request.
type Draining struct {
	Host     string `json:"host"`
	Draining bool   `json:"draining"`
}

// WriteDraining responds that a graceful shutdown has started.
func WriteDraining(w http.ResponseWriter, host string) {
	writeJSON(w, http.StatusAccepted, Draining{Host: host, Draining: true})
}

// Lifted is the response to a lift request.
type Lifted struct {
	Host string `json:"host"`
	// Request is the fingerprint of the request.
	Request string `json:"request"`
}

// WriteLifted responds that the request is sent to servers again.
func WriteLifted(w http.ResponseWriter, host, request string) {
	writeJSON(w, http.StatusAccepted, Lifted{Host: host, Request: request})
}

// WriteNoFingerprint refuses a lift request without a valid fingerprint.
func WriteNoFingerprint(w http.ResponseWriter, err error) { writeBadQuery(w, err) }

func writeNotFound(w http.ResponseWriter, key api.Key) {
	writeError(w, http.StatusNotFound, Failure{
		Code: code.UnknownPath, Message: key.String() + " does not exist", Next: "list the kind to see the names",
	})
}

func writeBadQuery(w http.ResponseWriter, err error) {
	writeError(w, http.StatusBadRequest, Failure{Code: code.BadField, Message: err.Error(), Next: "correct the query"})
}

func writeBadResource(w http.ResponseWriter, problem api.Problem) {
	writeDeclarationError(w, &api.DeclarationError{Problems: []api.Problem{problem}})
}

func writeBodyError(w http.ResponseWriter, err error) {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		writeError(w, http.StatusRequestEntityTooLarge, Failure{
			Code: code.BodyTooLarge, Message: "body larger than " + strconv.FormatInt(tooLarge.Limit, 10) + " bytes",
		})
		return
	}
	writeError(w, http.StatusBadRequest, Failure{Code: code.BadBody, Message: "the body could not be read"})
}

func writeDeclarationError(w http.ResponseWriter, err error) {
	failure := refusal(code.BadDeclaration).failure
	var bad *api.DeclarationError
	if errors.As(err, &bad) {
		failure.Details = bad.Problems
	}
	writeError(w, http.StatusBadRequest, failure)
}

// writeRefusal responds with the reducer's reason for refusing a change.
func writeRefusal(w http.ResponseWriter, done core.ApplyDone) {
	refused := refusal(done.Code)
	if refused.status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", strconv.Itoa(retryAfterSeconds))
	}
	refused.failure.Details = done.Problems
	writeError(w, refused.status, refused.failure)
}

// refusalResponse is the response to a refused change.
type refusalResponse struct {
	status  int
	failure Failure
}

// refusal returns the response for the result code of a refused change.
func refusal(c code.Code) refusalResponse {
	answer := func(status int, message, next string) refusalResponse {
		return refusalResponse{status, Failure{Code: c, Message: message, Next: next}}
	}
	switch c {
	case code.BadDeclaration:
		return answer(http.StatusBadRequest, "the declarations are not valid; nothing was changed",
			"correct the fields named; `nutmeglane validate` checks without a system")
	case code.Conflict:
		return answer(http.StatusConflict, "a resource is not at the stated version; nothing was changed",
			"read it again, redo the change on what is there now, and send that")
	case code.KVConflict:
		return answer(http.StatusConflict, "other operators kept changing the configuration; nothing was changed", "send the change again")
	case code.KVUnknown:
		return answer(http.StatusGatewayTimeout, "the key-value service did not confirm the change; it may or may not take effect",
			"send the same change again once the key-value service answers: one that took effect is reported as unchanged; `nutmeglane diff` asks without changing anything")
	case code.BadMessage:
		return answer(http.StatusInternalServerError, "the configuration in the key-value service can't be read; nothing was changed",
			"see `Repair the configuration` in docs/OPERATIONS.md")
	case code.QueueFull:
		return answer(http.StatusServiceUnavailable, "too many changes are waiting here; nothing was changed", "send the change again after the time in Retry-After")
	default:
		return answer(http.StatusServiceUnavailable, "the key-value service can't be reached; nothing was changed", "send the change again after the time in Retry-After")
	}
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(value) // fails only if the caller has disconnected
}
