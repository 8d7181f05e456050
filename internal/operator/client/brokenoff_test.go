package client

import (
	"context"
	"net/http"
	"testing"

	"nutmeglane.example/nutmeglane/internal/api"
	"nutmeglane.example/nutmeglane/internal/framing"
	"nutmeglane.example/nutmeglane/internal/framing/framingtest"
	"nutmeglane.example/nutmeglane/internal/operator"
)

// Guards against a response of the API that broke off, or has no body, and counts as a list
// without resources.
func TestBrokenListFails(t *testing.T) {
	const list = `{"revision":3,"items":[]}`
	check := func(t *testing.T, s *framingtest.Server, whole bool) {
		if got, err := New(s.URL(), "", &http.Client{Transport: &http.Transport{}}).List(context.Background(), api.KindModel); (err == nil) != whole {
			t.Errorf("%+v, %v", got, err)
		}
	}
	framingtest.EachCut(t, http.StatusOK, "", list, check)
	t.Run("empty", func(t *testing.T) {
		s := framingtest.NewServer(t)
		s.Respond(framingtest.Response(framing.Length, http.StatusOK, "", ""), false)
		check(t, s, false)
	})
}

// Guards against a watch that broke off and is resumed after changes that did not arrive: its
// revision is that of the last whole bookmark.
func TestBrokenWatchResumesAfterItsLastBookmark(t *testing.T) {
	const (
		first  = `{"type":"BOOKMARK","revision":3}` + "\n"
		second = `{"type":"BOOKMARK","revision":4}`
	)
	framingtest.EachCut(t, http.StatusOK, "", first+second, func(t *testing.T, s *framingtest.Server, whole bool) {
		var last int64
		each := func(event operator.Event) error {
			last = event.Revision
			return nil
		}
		c := New(s.URL(), "", &http.Client{Transport: &http.Transport{}})
		at, err := c.Watch(context.Background(), api.KindModel, 0, each)
		if err == nil || at != last || (at == 4) != whole {
			t.Errorf("ended at %d, last bookmark %d, %v", at, last, err)
		}
	})
}

// Guards against a malformed response of the API that counts.
func TestMalformedListFails(t *testing.T) {
	framingtest.EachMalformed(t, `{"revision":3,"items":[]}`, func(t *testing.T, s *framingtest.Server) {
		if got, err := New(s.URL(), "", nil).List(context.Background(), api.KindModel); err == nil {
			t.Errorf("%+v", got)
		}
	})
}
