package gateway

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"nutmeglane.example/nutmeglane/internal/core"
)

func newRequest(remote, method, target, body, id string) (*http.Request, []byte) {
	r := httptest.NewRequest(method, target, strings.NewReader(body))
	r.RemoteAddr, r.Host = remote, "callers.example"
	r.Header.Set("Nutmeglane-Request-Id", id)
	return r, []byte(body)
}

// A caller repeats a request with a new id, over a new connection and in another zone, where it
// has a different address. The fingerprint must stay the same: otherwise a request that has
// crashed twelve servers counts as a new one at the router of each zone. A request that
// differs in credentials, method, path, query or body must have another fingerprint.
func TestFingerprintIdentifiesRepeatedRequest(t *testing.T) {
	first := fingerprint(newRequest("100.64.0.9:4000", "POST", "/a/b?n=1", "note", "r1"))
	for _, from := range []string{"100.64.0.9:4001", "100.67.0.2:4000"} {
		if again := fingerprint(newRequest(from, "POST", "/a/b?n=1", "note", "r2")); again != first {
			t.Errorf("repeated from %s: fingerprint %s, first %s", from, again, first)
		}
	}
	other, body := newRequest("100.64.0.9:4000", "POST", "/a/b?n=1", "note", "r1")
	other.Header.Set("Authorization", "Bearer b")
	for name, other := range map[string]core.Fingerprint{
		"credential": fingerprint(other, body),
		"method":     fingerprint(newRequest("100.64.0.9:4000", "PUT", "/a/b?n=1", "note", "r1")),
		"path":       fingerprint(newRequest("100.64.0.9:4000", "POST", "/a/c?n=1", "note", "r1")),
		"query":      fingerprint(newRequest("100.64.0.9:4000", "POST", "/a/b?n=2", "note", "r1")),
		"body":       fingerprint(newRequest("100.64.0.9:4000", "POST", "/a/b?n=1", "notes", "r1")),
	} {
		if other == first {
			t.Errorf("a different %s gives the same fingerprint", name)
		}
	}
}

// BenchmarkFingerprint measures the time of a fingerprint by the size of the body.
func BenchmarkFingerprint(b *testing.B) {
	for _, size := range []int{0, 1300, 18_000, 4 << 20} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			r, body := newRequest("100.64.0.9:4000", "POST", "/a/b", strings.Repeat("x", size), "r1")
			b.SetBytes(int64(size))
			for b.Loop() {
				fingerprint(r, body)
			}
		})
	}
}
