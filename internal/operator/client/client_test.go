package client

import (
	"context"
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
	"nutmeglane.example/nutmeglane/internal/core/config"
	"nutmeglane.example/nutmeglane/internal/operator"
	"nutmeglane.example/nutmeglane/internal/operator/auth"
)

const token = "secret"

// entry runs the config part behind a handler, with an in-memory KV service that can
// be made to fail.
type entry struct {
	part      *config.Part
	snapshots config.SnapshotBuilder
	handler   *operator.Handler
	kv        map[string][]byte
	mu        sync.Mutex
	// fault, if not OK, is the result of all KV calls.
	fault code.Code
	// loseHeadResult makes the next write of the head take effect but return
	// KVUnknown, as if the response were lost.
	loseHeadResult bool
	// dropEvents drops changes instead of passing them to the part.
	dropEvents bool
}

func (e *entry) post(event core.Event) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.dropEvents {
		e.step(event)
	}
}

func (e *entry) step(event core.Event) {
	for _, effect := range e.part.Step(0, event) {
		switch ev := effect.(type) {
		case core.KVGet:
			e.step(e.answer(ev.Tag, e.kv[ev.Key]))
		case core.KVCas:
			if e.fault == code.OK {
				e.kv[ev.Key] = ev.Value
			}
			result := e.answer(ev.Tag, nil)
			if e.loseHeadResult && ev.Key == core.KeyConfigHead {
				e.loseHeadResult, result.Code = false, code.KVUnknown
			}
			e.step(result)
		case core.ConfigApplied:
			inForce, err := e.snapshots.Apply(ev)
			if err != nil {
				panic(err)
			}
			e.handler.Update(inForce.Snapshot, inForce.Changed)
			e.step(inForce)
		default:
			e.handler.Do(effect)
		}
	}
}

func (e *entry) answer(tag uint64, value []byte) core.KVResult {
	result := core.KVResult{Tag: tag, Code: e.fault, Value: value}
	if value != nil {
		result.Revision = 1
	}
	return result
}

func newEntry(kv map[string][]byte, opts operator.Options) *entry {
	e := &entry{part: config.New(config.Config{KV: true, Incarnation: 1}), kv: kv}
	e.handler = operator.New(opts, e.post)
	return e
}

func startEntry(t *testing.T) (*entry, string) {
	e := newEntry(map[string][]byte{}, operator.Options{MaxBody: 4096, History: 3})
	return e, serve(t, e)
}

func serve(t *testing.T, e *entry) string {
	server := httptest.NewServer(auth.New(token, http.HandlerFunc(operator.Unauthorized)).Wrap(e.handler))
	t.Cleanup(func() {
		e.handler.Close() // ends watches, for which server.Close would wait
		server.Close()
	})
	return server.URL
}

func model(name string, version int64) api.Resource {
	return api.Resource{
		APIVersion: api.Version, Kind: api.KindModel, Metadata: api.Metadata{Name: name, ResourceVersion: version},
		Spec: &api.ModelSpec{Version: "1", MemoryMiB: 7, Replicas: api.ReplicaLimits{Max: 1}},
	}
}

func TestApplyGetListDelete(t *testing.T) {
	_, address := startEntry(t)
	c, ctx := New(address, token, nil), context.Background()
	key := api.Key{Kind: api.KindModel, Name: "beach"}

	if revision, err := c.Revision(ctx); err != nil || revision != 0 {
		t.Errorf("revision %d, %v", revision, err)
	}
	result, err := c.Apply(ctx, []api.Resource{model("beach", 0)}, ApplyOptions{})
	want := operator.Result{Revision: 1, Changes: []core.ConfigChange{{Key: key, Action: core.ActionCreated, ResourceVersion: 1}}}
	if diff := cmp.Diff(want, result); err != nil || diff != "" {
		t.Error(err, diff)
	}
	got, err := c.Get(ctx, key)
	if err != nil || got.Metadata.Generation != 1 || got.Spec.(*api.ModelSpec).MaxConcurrent != 8 {
		t.Errorf("got %+v, %v", got, err)
	}
	list, err := c.List(ctx, api.KindModel)
	if err != nil || len(list.Items) != 1 || list.Revision != 1 {
		t.Errorf("list %+v, %v", list, err)
	}
	dry, err := c.Delete(ctx, key, DeleteOptions{DryRun: true})
	if err != nil || dry.Revision != 1 || !dry.DryRun {
		t.Errorf("dry run %+v, %v", dry, err)
	}
	if deleted, err := c.Delete(ctx, key, DeleteOptions{ResourceVersion: 1}); err != nil || deleted.Revision != 2 {
		t.Errorf("delete %+v, %v", deleted, err)
	}
	if revision, err := c.Revision(ctx); err != nil || revision != 2 {
		t.Errorf("revision %d, %v", revision, err)
	}
}

func TestRefusals(t *testing.T) {
	ctx, beach := context.Background(), api.Key{Kind: api.KindModel, Name: "beach"}
	apply := func(resources ...api.Resource) func(*Client) error {
		return func(c *Client) error { _, err := c.Apply(ctx, resources, ApplyOptions{}); return err }
	}
	bad := model("beach", 0)
	bad.Spec.(*api.ModelSpec).MemoryMiB = -1
	large := model("beach", 0)
	large.Metadata.Labels = map[string]string{"x": strings.Repeat("x", 8000)}
	for _, test := range []struct {
		name   string
		token  string
		fault  code.Code
		call   func(*Client) error
		status int
		code   code.Code
		detail string
	}{
		{"no token", "", 0, apply(), http.StatusUnauthorized, code.UnknownKey, ""},
		{"wrong token", "secrets", 0, apply(), http.StatusUnauthorized, code.UnknownKey, ""},
		{"invalid", token, 0, apply(bad), http.StatusBadRequest, code.BadDeclaration, "Model/beach: spec.memoryMiB: got -1, wanted 1 to 16777216"},
		{"too large", token, 0, apply(large), http.StatusRequestEntityTooLarge, code.BodyTooLarge, ""},
		{"conflict", token, 0, apply(model("beach", 7)), http.StatusConflict, code.Conflict, "Model/beach: metadata.resourceVersion: got 7, wanted the current 1"},
		{"outage", token, code.KVUnavailable, apply(model("other", 0)), http.StatusServiceUnavailable, code.KVUnavailable, ""},
		{"absent", token, 0, func(c *Client) error { _, err := c.Get(ctx, api.Key{Kind: api.KindModel, Name: "x"}); return err }, http.StatusNotFound, code.UnknownPath, ""},
		{"delete absent", token, 0, func(c *Client) error {
			_, err := c.Delete(ctx, api.Key{Kind: api.KindModel, Name: "x"}, DeleteOptions{})
			return err
		}, http.StatusNotFound, code.UnknownPath, ""},
		{"delete stale", token, 0, func(c *Client) error {
			_, err := c.Delete(ctx, beach, DeleteOptions{ResourceVersion: 5})
			return err
		}, http.StatusConflict, code.Conflict, "Model/beach: metadata.resourceVersion: got 5, wanted the current 1"},
		{"unknown kind", token, 0, func(c *Client) error { _, err := c.List(ctx, "Robot"); return err }, http.StatusNotFound, code.UnknownPath, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			e, address := startEntry(t)
			if err := apply(model("beach", 0))(New(address, token, nil)); err != nil {
				t.Fatal(err)
			}
			e.fault = test.fault
			err := test.call(New(address, test.token, nil))
			var got *Error
			if !errors.As(err, &got) || got.Status != test.status || got.Code != test.code {
				t.Fatalf("got %v, want status %d and code %d", err, test.status, test.code)
			}
			if test.detail != "" && (len(got.Details) != 1 || got.Details[0].String() != test.detail) {
				t.Errorf("details %v, want %q", got.Details, test.detail)
			}
		})
	}
}

// A caller disconnects while its change is in progress. Its pending entry must be
// removed: the late result is dropped, and the next caller receives its own result.
func TestCallerDisconnects(t *testing.T) {
	e, address := startEntry(t)
	e.dropEvents = true
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	request := httptest.NewRequest(http.MethodPost, operator.Prefix+"/apply", strings.NewReader("[]")).WithContext(ctx)
	request.Header.Set("Authorization", "Bearer "+token)
	recorder := httptest.NewRecorder()
	e.handler.ServeHTTP(recorder, request)
	if recorder.Code != http.StatusGatewayTimeout {
		t.Errorf("status %d", recorder.Code)
	}
	e.dropEvents = false
	e.handler.Do(core.ApplyDone{ID: 1, Code: code.Conflict})
	if _, err := New(address, token, nil).Apply(context.Background(), []api.Resource{model("beach", 0)}, ApplyOptions{}); err != nil {
		t.Error(err)
	}
}
