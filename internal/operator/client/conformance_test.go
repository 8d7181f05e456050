package client

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"

	"nutmeglane.example/nutmeglane/internal/api"
	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/operator"
)

var beach = api.Key{Kind: api.KindModel, Name: "beach"}

func wantCode(t *testing.T, err error, status int, want code.Code) *Error {
	t.Helper()
	var got *Error
	if !errors.As(err, &got) || got.Status != status || got.Code != want || got.Next == "" {
		t.Fatalf("got %v, want HTTP %d and code %d with what to do next", err, status, want)
	}
	return got
}

func TestCreatePatchDryRun(t *testing.T) {
	_, address := startEntry(t)
	c, ctx := New(address, token, nil), context.Background()
	revision := func(want int64) {
		t.Helper()
		if got := must(c.Revision(ctx))(t); got != want {
			t.Fatalf("revision %d, want %d", got, want)
		}
	}
	if dry := must(c.Create(ctx, model("beach", 0), true))(t); !dry.DryRun || dry.Changes[0].Action != core.ActionCreated {
		t.Errorf("dry run %+v", dry)
	}
	revision(0)
	must(c.Create(ctx, model("beach", 0), false))(t)
	_, err := c.Create(ctx, model("beach", 0), false)
	wantCode(t, err, http.StatusConflict, code.Conflict)
	must(c.Patch(ctx, beach, []byte(`{"spec": {"memoryMiB": 9, "maxConcurrent": 3}}`), true))(t)
	revision(1)
	must(c.Patch(ctx, beach, []byte(`{"spec": {"memoryMiB": 9, "maxConcurrent": 3}} /* with a comment */`), false))(t)
	must(c.Patch(ctx, beach, []byte(`{"spec": {"maxConcurrent": null}}`), false))(t)
	got := must(c.Get(ctx, beach))(t)
	spec := got.Spec.(*api.ModelSpec)
	if spec.MemoryMiB != 9 || spec.MaxConcurrent != api.DefaultModelConcurrent || got.Metadata.Generation != 3 || got.Status.ObservedGeneration != 3 {
		t.Errorf("got %+v, spec %+v", got, spec)
	}
	for patch, want := range map[string]code.Code{
		`{"metadata": {"resourceVersion": 1}}`: code.Conflict,
		`{"metadata": {"name": "other"}}`:      code.BadDeclaration,
		`{"spec": {"memoryMiB": -1}}`:          code.BadDeclaration,
		`{"speck": {}}`:                        code.BadDeclaration,
		`[]`:                                   code.BadBody,
		`{`:                                    code.BadBody,
		strings.Repeat("[", 100):               code.BadBody,
	} {
		_, err := c.Patch(ctx, beach, []byte(patch), false)
		var failure *Error
		if !errors.As(err, &failure) || failure.Code != want {
			t.Errorf("patch %s: %v, want code %d", patch, err, want)
		}
	}
	revision(3)
}

// must returns the value of a call and fails the test if the call returned an error.
func must[T any](value T, err error) func(*testing.T) T {
	return func(t *testing.T) T {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
		return value
	}
}

// Operators read the same version of a model and change it concurrently. Guards against a
// lost update: each write must either take effect on the version that was read, or be
// refused with both versions.
func TestConcurrentApplies(t *testing.T) {
	const operators = 8
	_, address := startEntry(t)
	ctx := context.Background()
	must(New(address, token, nil).Create(ctx, model("beach", 0), false))(t)
	var wait sync.WaitGroup
	results := make(chan error, operators)
	for i := range operators {
		wait.Go(func() {
			change := model("beach", 1)
			change.Spec.(*api.ModelSpec).MemoryMiB = int64(100 + i)
			_, err := New(address, token, nil).Apply(ctx, []api.Resource{change}, ApplyOptions{})
			results <- err
		})
	}
	wait.Wait()
	succeeded := 0
	for range operators {
		if err := <-results; err == nil {
			succeeded++
		} else if got := wantCode(t, err, http.StatusConflict, code.Conflict); got.Details[0].Got != "1" || got.Details[0].Wanted != "the current 2" {
			t.Errorf("details %v, want both versions", got.Details)
		}
	}
	if succeeded != 1 {
		t.Errorf("%d writes on the same version took effect", succeeded)
	}
}

// The write of the head takes effect and the response is lost. Guards against reporting a
// failure, after which the operator would apply again or assume that nothing changed.
func TestLostHeadWriteResponse(t *testing.T) {
	e, address := startEntry(t)
	c, ctx := New(address, token, nil), context.Background()
	e.loseHeadResult = true
	result, err := c.Apply(ctx, []api.Resource{model("beach", 0)}, ApplyOptions{})
	if err != nil || result.Revision != 1 || result.Changes[0].Action != core.ActionCreated {
		t.Errorf("result %+v, %v", result, err)
	}
}

func TestPrune(t *testing.T) {
	_, address := startEntry(t)
	c, ctx := New(address, token, nil), context.Background()
	must(c.Apply(ctx, []api.Resource{model("beach", 0), model("club", 0)}, ApplyOptions{}))(t)
	_, err := c.Apply(ctx, nil, ApplyOptions{Prune: true})
	wantCode(t, err, http.StatusBadRequest, code.BadDeclaration)
	result := must(c.Apply(ctx, []api.Resource{model("beach", 0)}, ApplyOptions{Prune: true}))(t)
	want := []core.ConfigChange{
		{Key: beach, Action: core.ActionUnchanged, ResourceVersion: 1},
		{Key: api.Key{Kind: api.KindModel, Name: "club"}, Action: core.ActionDeleted},
	}
	if diff := cmp.Diff(want, result.Changes); diff != "" {
		t.Errorf("changes (-want +got):\n%s", diff)
	}
}

var errEnough = errors.New("enough events")

// collectEvents returns count events of a watch, as "TYPE name" or "BOOKMARK", and the
// revision at which it can be resumed.
func collectEvents(c *Client, revision int64, count int) ([]string, int64, error) {
	var got []string
	at, err := c.Watch(context.Background(), api.KindModel, revision, func(event operator.Event) error {
		line := string(event.Type)
		if event.Object != nil {
			line += " " + event.Object.Metadata.Name
		}
		if got = append(got, line); len(got) == count {
			return errEnough
		}
		return nil
	})
	return got, at, err
}

// A client loses the connection of its watch and resumes. The events in between must be
// delivered once and in order. If the entry does not have them, because there were too
// many or it was restarted, the client must receive an error and not a stream with a gap.
func TestWatch(t *testing.T) {
	e, address := startEntry(t)
	c, ctx := New(address, token, nil), context.Background()
	apply := func(resources ...api.Resource) { must(c.Apply(ctx, resources, ApplyOptions{}))(t) }
	expect := func(c *Client, from int64, at int64, want ...string) {
		t.Helper()
		got, reached, err := collectEvents(c, from, len(want))
		if diff := cmp.Diff(want, got); diff != "" || reached != at || !errors.Is(err, errEnough) {
			t.Fatalf("watch from %d reached %d, %v (-want +got):\n%s", from, reached, err, diff)
		}
	}
	apply(model("beach", 0)) // 1
	expect(c, 0, 1, "ADDED beach", "BOOKMARK")
	apply(model("club", 0)) // 2
	changed := model("beach", 0)
	changed.Spec.(*api.ModelSpec).MemoryMiB = 8
	apply(changed)                                                                      // 3
	must(c.Delete(ctx, api.Key{Kind: api.KindModel, Name: "club"}, DeleteOptions{}))(t) // 4
	expect(c, 1, 4, "ADDED club", "MODIFIED beach", "DELETED club", "BOOKMARK")
	expect(c, 3, 4, "DELETED club", "BOOKMARK")

	// An open watch receives later changes.
	up := make(chan struct{})
	var live []string
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, _ = c.Watch(ctx, api.KindModel, 4, func(event operator.Event) error {
			live = append(live, string(event.Type))
			if len(live) == 1 {
				close(up)
			}
			if len(live) == 3 {
				return errEnough
			}
			return nil
		})
	}()
	<-up
	apply(model("permit", 0)) // 5
	<-done
	if diff := cmp.Diff([]string{"BOOKMARK", "ADDED", "BOOKMARK"}, live); diff != "" {
		t.Errorf("live watch (-want +got):\n%s", diff)
	}

	// The history holds three changes, so the one of revision 2 was discarded.
	_, _, err := collectEvents(c, 1, 1)
	wantCode(t, err, http.StatusGone, code.WatchTooOld)
	if !IsTooOld(err) {
		t.Error("IsTooOld is false")
	}
	// A restarted entry resumes only from revisions since its start.
	restarted := newEntry(e.kv, operator.Options{})
	restarted.post(core.KVValue{Key: core.KeyConfigHead, Value: e.kv[core.KeyConfigHead], Revision: 1})
	c = New(serve(t, restarted), token, nil)
	_, _, err = collectEvents(c, 4, 1)
	wantCode(t, err, http.StatusGone, code.WatchTooOld)
	expect(c, 5, 5, "BOOKMARK")
	expect(c, 0, 5, "ADDED beach", "ADDED permit", "BOOKMARK")
}

// FuzzHTTP sends arbitrary requests to the API. Each response must be one of the API's, in
// JSON, and the configuration must stay readable.
func FuzzHTTP(f *testing.F) {
	good, err := json.Marshal(model("beach", 0))
	if err != nil {
		f.Fatal(err)
	}
	for _, seed := range []struct{ method, path, body string }{
		{"POST", "/apply", string(good)}, {"POST", "/apply?prune=true&dryRun=true", "[" + string(good) + "]"},
		{"POST", "/apply?prune=yes", "[]"}, {"POST", "/models", string(good)}, {"GET", "/models", ""},
		{"GET", "/models?watch=true&resourceVersion=9", ""}, {"GET", "/models?watch=true&resourceVersion=-1", ""},
		{"PATCH", "/models/beach", `{"spec":{"replicas":{"max":null}},"status":{}}`}, {"PATCH", "/models/beach", `{"metadata":[]}`},
		{"DELETE", "/models/beach?resourceVersion=x", ""}, {"DELETE", "/models/..%2f", ""}, {"GET", "/rollout", ""},
		{"PUT", "/models/beach", "{}"}, {"POST", "/apply", strings.Repeat("[", 5000)}, {"GET", "/models/%00", ""},
	} {
		f.Add(seed.method, seed.path, seed.body)
	}
	f.Fuzz(func(t *testing.T, method, path, body string) {
		request, err := http.NewRequest(method, "http://entry"+operator.Prefix+path, strings.NewReader(body))
		if err != nil {
			return // no HTTP client could send it
		}
		e := newEntry(map[string][]byte{}, operator.Options{MaxBody: 4096})
		e.handler.SetSnapshot(must(api.Build(1, []api.Resource{fullModel()}))(t))
		e.handler.Close() // ends watches at once
		w := httptest.NewRecorder()
		e.handler.ServeHTTP(w, request)
		kind := w.Header().Get("Content-Type")
		if w.Code >= 400 {
			var failure operator.Failure
			if err := json.Unmarshal(w.Body.Bytes(), &failure); err != nil || failure.Code == code.OK || failure.Message == "" {
				t.Errorf("%s %s: HTTP %d without a failure: %s", method, path, w.Code, w.Body)
			}
		} else if w.Code/100 == 2 && kind != "application/json" && kind != "application/x-ndjson" {
			t.Errorf("%s %s: content type %q", method, path, kind)
		}
		for _, r := range e.handler.Snapshot().Resources(api.KindModel) {
			if r.Metadata.Name == "" {
				t.Error("a model without a name came into force")
			}
		}
	})
}

func fullModel() api.Resource {
	r := model("beach", 1)
	spec := r.Spec.(*api.ModelSpec)
	spec.CheckpointMiB, spec.MaxConcurrent = 7, 1
	return r
}
