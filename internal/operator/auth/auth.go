// Package auth protects HTTP handlers with the operators' token.
package auth

import (
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"strings"
)

// Guard passes on requests that carry the token, as a bearer token or, for browsers, as
// the password of HTTP Basic authentication with any user name. A token in the URL is
// not accepted, because URLs are stored in logs and browser histories.
type Guard struct {
	token   string
	digest  [sha256.Size]byte
	refused http.Handler
}

// New returns a guard. With an empty token it passes on every request. Unauthorized
// requests are handled by refused, which must set a status.
func New(token string, refused http.Handler) Guard {
	return Guard{token: token, digest: sha256.Sum256([]byte(token)), refused: refused}
}

// Wrap returns a handler that calls next for authorized requests.
func (g Guard) Wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !g.allows(r) {
			w.Header().Add("WWW-Authenticate", "Bearer")
			w.Header().Add("WWW-Authenticate", `Basic realm="nutmeglane"`)
			g.refused.ServeHTTP(w, r)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// allows compares digests in constant time, so that the response time reveals nothing
// about the token, including its length.
func (g Guard) allows(r *http.Request) bool {
	if g.token == "" {
		return true
	}
	given, ok := tokenOf(r)
	digest := sha256.Sum256([]byte(given))
	return ok && subtle.ConstantTimeCompare(g.digest[:], digest[:]) == 1
}

func tokenOf(r *http.Request) (string, bool) {
	if _, password, ok := r.BasicAuth(); ok {
		return password, true
	}
	return strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
}
