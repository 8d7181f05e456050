package front

import (
	"fmt"
	"net/http"
	"net/textproto"
	"slices"
	"strconv"
	"strings"
	"time"

	"nutmeglane.example/nutmeglane/internal/api"
	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/engine/engineapi"
)

// Request headers that the system reads.
const (
	headerAuthorization  = "Authorization"
	headerIdempotencyKey = "Idempotency-Key"
	headerIdempotent     = "Idempotent"
	headerTimeout        = "Request-Timeout"
	headerPriority       = "Priority"
)

const (
	minTimeout  = 50 * time.Millisecond
	maxKeyBytes = 255
)

// callHeaders holds the parsed values of the request headers that the system
// reads, apart from Authorization.
type callHeaders struct {
	timeout time.Duration
	key     string
	// priority is empty if the caller set none.
	priority   api.Priority
	idempotent bool
}

func parseHeaders(h http.Header, opts Options) (callHeaders, *refusal) {
	var parsed callHeaders
	var refused *refusal
	if parsed.timeout, refused = parseTimeout(h, opts); refused != nil {
		return parsed, refused
	}
	if parsed.key, refused = parseKey(h); refused != nil {
		return parsed, refused
	}
	if parsed.priority, refused = parsePriority(h); refused != nil {
		return parsed, refused
	}
	parsed.idempotent, refused = parseIdempotent(h)
	return parsed, refused
}

// singleValue returns the value of a header that must not be repeated: two hops
// could pick different values and treat the request differently.
func singleValue(h http.Header, name string) (value string, given bool, refused *refusal) {
	switch values := h.Values(name); len(values) {
	case 0:
		return "", false, nil
	case 1:
		return values[0], true, nil
	default:
		return "", false, badHeader(name, "given more than once")
	}
}

func badHeader(name, message string) *refusal {
	return &refusal{code: code.BadHeader, field: name, message: message}
}

func parseTimeout(h http.Header, opts Options) (time.Duration, *refusal) {
	text, given, refused := singleValue(h, headerTimeout)
	if refused != nil || !given {
		return opts.DefaultTimeout, refused
	}
	// ParseFloat alone would accept "1e3", "Inf" and "NaN".
	decimal := text != "" && strings.Trim(text, "0123456789.") == ""
	seconds, err := strconv.ParseFloat(text, 64)
	low, high := minTimeout.Seconds(), opts.MaxTimeout.Seconds()
	if !decimal || err != nil || seconds < low || seconds > high {
		return 0, &refusal{code: code.BadTimeout, field: headerTimeout,
			message: fmt.Sprintf("want decimal seconds from %g to %g", low, high)}
	}
	return time.Duration(seconds * float64(time.Second)), nil
}

func parseKey(h http.Header) (string, *refusal) {
	key, given, refused := singleValue(h, headerIdempotencyKey)
	if refused != nil || !given {
		return "", refused
	}
	printable := !strings.ContainsFunc(key, func(r rune) bool { return r < ' ' || r > '~' })
	if key == "" || len(key) > maxKeyBytes || !printable {
		return "", badHeader(headerIdempotencyKey, "want 1 to 255 printable ASCII characters")
	}
	return key, nil
}

// parsePriority ignores values in the format of RFC 9218, such as "u=1, i", which
// browsers send in the same header to order the downloads of one page.
func parsePriority(h http.Header) (api.Priority, *refusal) {
	text, given, refused := singleValue(h, headerPriority)
	if refused != nil || !given {
		return "", refused
	}
	switch p := api.Priority(strings.ToLower(text)); {
	case p == api.PriorityInteractive || p == api.PriorityBatch:
		return p, nil
	case text == "i" || strings.HasPrefix(text, "i,") || strings.HasPrefix(text, "u="):
		return "", nil
	default:
		return "", badHeader(headerPriority, `want "interactive" or "batch"`)
	}
}

func parseIdempotent(h http.Header) (bool, *refusal) {
	text, given, refused := singleValue(h, headerIdempotent)
	if refused != nil || !given {
		return true, refused
	}
	switch strings.ToLower(text) {
	case "true":
		return true, nil
	case "false":
		return false, nil
	default:
		return false, badHeader(headerIdempotent, `want "true" or "false"`)
	}
}

// hopByHop lists the headers that apply to a single connection (RFC 9110, 7.6.1).
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// notForwarded lists the request headers that are not forwarded: those that the
// next hop's client sets itself, and those that the system reads. The API key is
// a secret between the caller and this system and must not reach a backend
// server. Idempotency-Key is forwarded, for services that support it.
var notForwarded = []string{
	"Content-Length", "Expect", "Host",
	headerAuthorization, headerIdempotent, headerPriority, headerTimeout,
}

func forwardedRequestHeaders(h http.Header) []core.HeaderKV { return endToEndHeaders(h, notForwarded) }

// markNonIdempotent adds the header that tells backend servers that a request
// must run at most once.
func markNonIdempotent(header []core.HeaderKV, arrived core.RequestArrived) []core.HeaderKV {
	if arrived.Idempotent {
		return header
	}
	return append(header, core.HeaderKV{Name: engineapi.HeaderNonIdempotent, Value: "true"})
}

// endToEndHeaders returns the end-to-end headers in the order of their names. It
// omits the system's own headers and those in without.
func endToEndHeaders(h http.Header, without []string) []core.HeaderKV {
	perConnection := connectionOptions(h.Values("Connection"))
	var list []core.HeaderKV
	for _, name := range core.SortedKeys(h) {
		if !isEndToEnd(name, perConnection) || slices.Contains(without, name) {
			continue
		}
		for _, value := range h[name] {
			list = append(list, core.HeaderKV{Name: name, Value: value})
		}
	}
	return list
}

// connectionOptions returns the names of the headers that a Connection header
// lists as applying to a single connection.
func connectionOptions(values []string) []string {
	var names []string
	for _, value := range values {
		for name := range strings.SplitSeq(value, ",") {
			names = append(names, textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)))
		}
	}
	return names
}

func isEndToEnd(name string, perConnection []string) bool {
	return !slices.Contains(hopByHop, name) && !slices.Contains(perConnection, name) &&
		!strings.HasPrefix(name, reservedPrefix)
}

// copyAnswerHeaders copies a backend server's end-to-end headers. It omits the
// system's own, so that a backend server can't set, for example,
// Nutmeglane-Not-Run.
func copyAnswerHeaders(into http.Header, from []core.HeaderKV) {
	h := http.Header{}
	for _, field := range from {
		h.Add(field.Name, field.Value)
	}
	for _, field := range endToEndHeaders(h, nil) {
		into.Add(field.Name, field.Value)
	}
}
