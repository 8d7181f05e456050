package front

import (
	"net/http"
	"net/url"
	"path"
	"slices"
	"strconv"
	"strings"

	"nutmeglane.example/nutmeglane/internal/api"
	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
)

const servicesPath = "/services/"

// defaultIdempotentMethods is the default of ServiceSpec.IdempotentMethods.
var defaultIdempotentMethods = []string{
	http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete,
}

// serveService forwards a request to a plain service.
func (f *Front) serveService(in *incoming) *refusal {
	name, rest := splitServicePath(in.r.URL)
	service := in.config.Services[name]
	if service == nil {
		return &refusal{code: code.UnknownService, field: "path"}
	}
	if refused := checkServiceCall(in.r); refused != nil {
		return refused
	}
	arrived, refused := in.readRequest()
	if refused != nil {
		return refused
	}
	arrived.Target = core.Target{Service: name}
	arrived.Path = rest
	arrived.Priority = in.priority(&arrived)
	arrived.Idempotent = arrived.Idempotent && isIdempotent(service.Spec, in.r.Method, rest)
	arrived.Header = markNonIdempotent(forwardedRequestHeaders(in.r.Header), arrived)
	f.relay(in, arrived, &rawAnswer{in: in})
	return nil
}

// checkServiceCall refuses requests that can't be forwarded. CONNECT requests a
// tunnel, and TRACE would reveal the headers that the system adds. In HTTP/1.0
// the end of an answer of unknown length is the end of the connection, so that a
// truncated answer would look complete.
func checkServiceCall(r *http.Request) *refusal {
	if r.Method == http.MethodConnect || r.Method == http.MethodTrace {
		return &refusal{code: code.BadMethod, allow: "GET, HEAD, OPTIONS, POST, PUT, PATCH, DELETE"}
	}
	if !r.ProtoAtLeast(1, 1) {
		return &refusal{code: code.BadHeader, field: "protocol", message: "want HTTP/1.1 or later"}
	}
	return nil
}

// splitServicePath returns the service's name, and the path and query of the
// request to it, escaped as the caller sent them.
func splitServicePath(u *url.URL) (name, rest string) {
	name, rest, _ = strings.Cut(strings.TrimPrefix(u.EscapedPath(), servicesPath), "/")
	rest = "/" + rest
	if u.RawQuery != "" {
		rest += "?" + u.RawQuery
	}
	return name, rest
}

// isIdempotent reports whether a request may be retried after a failure, by the
// service's declaration. The path is compared as sent and as a service might
// interpret it, unescaped and cleaned: otherwise "/x/../charges" would not match
// a declared "/charges", and a retry could run the charge twice.
func isIdempotent(spec api.ServiceSpec, method, rest string) bool {
	methods := spec.IdempotentMethods
	if len(methods) == 0 {
		methods = defaultIdempotentMethods
	}
	if !slices.Contains(methods, method) {
		return false
	}
	raw, _, _ := strings.Cut(rest, "?")
	readings := []string{raw, path.Clean(raw)}
	if unescaped, err := url.PathUnescape(raw); err == nil {
		readings = append(readings, unescaped, path.Clean(unescaped))
	}
	for _, prefix := range spec.NonIdempotentPaths {
		for _, reading := range readings {
			if strings.HasPrefix(reading, prefix) || reading+"/" == prefix {
				return false
			}
		}
	}
	return true
}

// rawAnswer writes a plain service's answer unchanged.
type rawAnswer struct {
	in        *incoming
	started   bool
	unflushed bool
	// remaining is the number of body bytes that are still expected by the head's
	// Content-Length, or unknownLength if there is none.
	remaining int64
}

const unknownLength = -1

// answerLength returns the number of body bytes that the caller expects after a
// head, or unknownLength.
func (in *incoming) answerLength(head core.RespondHead) int64 {
	if in.r.Method == http.MethodHead || head.Status == http.StatusNoContent || head.Status == http.StatusNotModified {
		return 0
	}
	length, err := strconv.ParseInt(in.w.Header().Get("Content-Length"), 10, 64)
	if err != nil || length < 0 {
		return unknownLength
	}
	return length
}

// complete reports whether all bytes of the answer's declared length were written.
//
// A caller that has the complete answer reuses its connection. If the agent fails
// before it reports the end of the answer, closing the connection at that time
// would reset the caller's next request.
func (a *rawAnswer) complete() bool { return a.started && a.remaining == 0 }

const (
	minFinalStatus = 200
	maxStatus      = 599
)

func (a *rawAnswer) head(head core.RespondHead) error {
	// net/http panics on a status that is out of range, and an informational
	// status would leave the answer without a final one.
	if head.Status < minFinalStatus || head.Status > maxStatus || a.started {
		return answerError{code.BackendFailed}
	}
	a.started, a.unflushed = true, true
	header := a.in.w.Header()
	copyAnswerHeaders(header, head.Header)
	if len(header["Content-Type"]) == 0 {
		header["Content-Type"] = nil // prevents detection by net/http
	}
	a.remaining = a.in.answerLength(head)
	a.in.w.WriteHeader(head.Status)
	return nil
}

func (a *rawAnswer) data(data core.RespondData) error {
	if !a.started {
		return answerError{code.BackendFailed}
	}
	a.unflushed = true
	n, err := a.in.w.Write(data.Payload)
	if a.remaining != unknownLength {
		a.remaining -= int64(n)
	}
	return err
}

func (a *rawAnswer) flush() error {
	if !a.unflushed {
		return nil
	}
	a.unflushed = false
	return a.in.control.Flush()
}

// end aborts the connection if the answer fails after its head was sent. If it
// returned, net/http would end the body properly, and the caller would treat the
// truncated answer as complete.
func (a *rawAnswer) end(end core.RespondEnd) {
	switch {
	case a.started && end.Code != code.OK:
		panic(http.ErrAbortHandler)
	case !a.started && end.Code == code.OK:
		a.in.writeRefusal(&refusal{code: code.BackendFailed})
	case !a.started:
		a.in.writeRefusal(refusalOf(end))
	}
}
