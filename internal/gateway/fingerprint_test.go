package gateway

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"nutmeglane.example/nutmeglane/internal/core"
)

func asking(remote, method, target, body, id string) (*http.Request, []byte) {
	r := httptest.NewRequest(method, target, strings.NewReader(body))
	r.RemoteAddr, r.Host = remote, "callers.example"
	r.Header.Set("Nutmeglane-Request-Id", id)
	return r, []byte(body)
}

// A caller sends a request again with a new id, over a new connection, and by way of
// another zone, where it has another address. Told apart by that, a request that crashed
// twelve servers went on to each zone's router as a new one. It is the same work; the
// same path or body alone is not, and neither is what one with other credentials asks.
func TestFingerprintIsOfTheWork(t *testing.T) {
	first := fingerprint(asking("100.64.0.9:4000", "POST", "/a/b?n=1", "note", "r1"))
	for _, from := range []string{"100.64.0.9:4001", "100.67.0.2:4000"} {
		if again := fingerprint(asking(from, "POST", "/a/b?n=1", "note", "r2")); again != first {
			t.Errorf("sent again from %s as %s, first as %s", from, again, first)
		}
	}
	other, body := asking("100.64.0.9:4000", "POST", "/a/b?n=1", "note", "r1")
	other.Header.Set("Authorization", "Bearer b")
	for name, other := range map[string]core.Fingerprint{
		"credential": fingerprint(other, body),
		"method":     fingerprint(asking("100.64.0.9:4000", "PUT", "/a/b?n=1", "note", "r1")),
		"path":       fingerprint(asking("100.64.0.9:4000", "POST", "/a/c?n=1", "note", "r1")),
		"query":      fingerprint(asking("100.64.0.9:4000", "POST", "/a/b?n=2", "note", "r1")),
		"body":       fingerprint(asking("100.64.0.9:4000", "POST", "/a/b?n=1", "notes", "r1")),
	} {
		if other == first {
			t.Errorf("another %s has the same fingerprint", name)
		}
	}
}

// BenchmarkFingerprint measures what telling requests apart costs, by body.
func BenchmarkFingerprint(b *testing.B) {
	for _, size := range []int{0, 1300, 18_000, 4 << 20} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			r, body := asking("100.64.0.9:4000", "POST", "/a/b", strings.Repeat("x", size), "r1")
			b.SetBytes(int64(size))
			for b.Loop() {
				fingerprint(r, body)
			}
		})
	}
}
