package kv_test

import (
	"net/http"
	"testing"

	"github.com/cockroachdb/errors"

	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/framing/framingtest"
	"nutmeglane.example/nutmeglane/internal/kv"
)

// Guards against an answer of the key-value service that broke off and counts as complete: a
// list without the rest of its keys, a batch of changes that were not all read, a write as done
// or as without effect.
func TestBrokenAnswers(t *testing.T) {
	const item = `{"key":"k","value":"dg==","revision":4}`
	calls := []struct {
		name, answer string
		broken       code.Code
		call         func(*testing.T, *kv.Client) error
	}{
		{"get", item, code.KVUnavailable, func(t *testing.T, c *kv.Client) error {
			_, err := c.Get(t.Context(), "k")
			return err
		}},
		{"cas", item, code.KVUnknown, func(t *testing.T, c *kv.Client) error {
			_, err := c.Cas(t.Context(), kv.CasRequest{Key: "k"})
			return err
		}},
		{"lease", `{"lease":7}`, code.KVUnknown, func(t *testing.T, c *kv.Client) error {
			_, err := c.Grant(t.Context(), testTimeout)
			return err
		}},
		{"keepalive", `{"lease":7}`, code.KVUnknown, func(t *testing.T, c *kv.Client) error {
			return c.KeepAlive(t.Context(), 7)
		}},
		{"list", `{"revision":4,"items":[` + item + `]}`, code.KVUnavailable, func(t *testing.T, c *kv.Client) error {
			_, err := c.List(t.Context(), "k")
			return err
		}},
		{"watch", "\n\n" + `{"revision":4,"changes":[` + item + `]}`, code.KVUnavailable, func(t *testing.T, c *kv.Client) error {
			_, err := c.Watch(t.Context(), "k", 3)
			return err
		}},
	}
	for _, test := range calls {
		t.Run(test.name, func(t *testing.T) {
			framingtest.EachCut(t, http.StatusOK, "", test.answer, func(t *testing.T, s *framingtest.Server, whole bool) {
				want := test.broken
				if whole {
					want = code.OK
				}
				err := test.call(t, newClient(t, s.URL(), kv.ClientOptions{CallTimeout: testTimeout}))
				if kv.CodeOf(err) != want {
					t.Errorf("%v, want code %d", err, want)
				}
			})
		})
	}
}

// Guards against a conflict whose answer broke off and that counts as one with a current value:
// the next write would be based on it.
func TestBrokenConflict(t *testing.T) {
	const current = `{"key":"k","value":"dg==","revision":4}`
	framingtest.EachCut(t, http.StatusConflict, "", current, func(t *testing.T, s *framingtest.Server, whole bool) {
		item, err := newClient(t, s.URL(), kv.ClientOptions{CallTimeout: testTimeout}).Cas(t.Context(), kv.CasRequest{Key: "k"})
		var failure *kv.Error
		if !errors.As(err, &failure) {
			t.Fatalf("%v", err)
		}
		switch {
		case whole && (failure.Code != code.KVConflict || item.Revision != 4):
			t.Errorf("code %d, %+v", failure.Code, item)
		case !whole && failure.Code == code.KVConflict:
			t.Errorf("a conflict with %+v", item)
		}
	})
}

// Guards against a malformed answer of the key-value service that counts: a read, or a write as done or
// as without effect.
func TestMalformedAnswers(t *testing.T) {
	framingtest.EachMalformed(t, `{"key":"k","value":"dg==","revision":4}`, func(t *testing.T, s *framingtest.Server) {
		client := newClient(t, s.URL(), kv.ClientOptions{CallTimeout: testTimeout})
		if got, err := client.Get(t.Context(), "k"); kv.CodeOf(err) != code.KVUnavailable {
			t.Errorf("get %+v, %v", got, err)
		}
		if got, err := client.Cas(t.Context(), kv.CasRequest{Key: "k"}); kv.CodeOf(err) != code.KVUnknown {
			t.Errorf("cas %+v, %v", got, err)
		}
	})
}
