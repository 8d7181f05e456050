package auth

import (
	"net/http"
	"net/http/httptest"
	"testing"
)

// Guards against accepting a request without the exact token, such as a prefix of it, an
// empty password, or the token in the URL.
func TestGuard(t *testing.T) {
	const token = "0123456789abcdef"
	status := func(code int) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(code) })
	}
	basic := func(password string) func(*http.Request) {
		return func(r *http.Request) { r.SetBasicAuth("anyone", password) }
	}
	header := func(value string) func(*http.Request) {
		return func(r *http.Request) { r.Header.Set("Authorization", value) }
	}
	for name, test := range map[string]struct {
		token string
		set   func(*http.Request)
		want  int
	}{
		"no token asked for": {"", func(*http.Request) {}, 200},
		"bearer":             {token, header("Bearer " + token), 200},
		"basic":              {token, basic(token), 200},
		"none":               {token, func(*http.Request) {}, 401},
		"empty bearer":       {token, header("Bearer "), 401},
		"prefix":             {token, header("Bearer " + token[:15]), 401},
		"longer":             {token, header("Bearer " + token + "0"), 401},
		"bare":               {token, header(token), 401},
		"wrong password":     {token, basic("x"), 401},
		"token as user":      {token, func(r *http.Request) { r.SetBasicAuth(token, "") }, 401},
		"token in the URL":   {token, func(r *http.Request) { r.URL.RawQuery = "token=" + token }, 401},
	} {
		t.Run(name, func(t *testing.T) {
			r := httptest.NewRequest(http.MethodGet, "/debug/state", nil)
			test.set(r)
			w := httptest.NewRecorder()
			New(test.token, status(401)).Wrap(status(200)).ServeHTTP(w, r)
			if w.Code != test.want {
				t.Errorf("status %d, want %d", w.Code, test.want)
			}
			if challenges := len(w.Header().Values("WWW-Authenticate")); test.want == 401 && challenges != 2 {
				t.Errorf("%d challenges", challenges)
			}
		})
	}
}
