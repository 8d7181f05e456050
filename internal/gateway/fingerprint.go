package gateway

import (
	"net/http"

	"github.com/cespare/xxhash/v2"

	"nutmeglane.example/nutmeglane/internal/core"
)

// fingerprint returns a hash that identifies a request across retries by its caller. It covers
// what stays the same when a request is sent again: the credentials, if any, method, host,
// target and body. The request id and the remaining time differ each time, and other headers
// may.
//
// The caller's network address is not included, because a caller that uses several zones or
// egress addresses has a different one for each. With the address, a request that crashed
// twelve servers was counted as four different ones.
//
// It takes 0.3 us for a body of 1.3 KB and 0.4 ms for one of 4 MB (BenchmarkFingerprint).
// xxhash is not collision-resistant against an attacker. However, to create a collision with
// the request of another caller, the attacker must know the body of that request and crash
// servers with its own.
func fingerprint(r *http.Request, body ...[]byte) core.Fingerprint {
	h := xxhash.New()
	for _, part := range []string{r.Header.Get("Authorization"), r.Method, r.Host, requestTarget(r)} {
		_, _ = h.WriteString(part) // never fails
		_, _ = h.Write([]byte{0})
	}
	for _, segment := range body {
		_, _ = h.Write(segment)
	}
	return core.Fingerprint(h.Sum64())
}
