// Package client calls the operators' API of an entry.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/dghubble/sling"

	"nutmeglane.example/nutmeglane/internal/api"
	"nutmeglane.example/nutmeglane/internal/framing"
	"nutmeglane.example/nutmeglane/internal/operator"
	"nutmeglane.example/nutmeglane/internal/operator/status"
)

// Error is an error response of the API.
type Error struct {
	// Status is the HTTP status.
	Status int
	operator.Failure
}

// Error implements error, with one line for each detail.
func (e *Error) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "error %d (HTTP %d): %s", e.Code, e.Status, e.Message)
	for _, detail := range e.Details {
		b.WriteString("\n" + detail.String())
	}
	if e.Next != "" {
		b.WriteString("\nnext: " + e.Next)
	}
	return b.String()
}

// Client calls the API of one entry. It is safe for concurrent use.
type Client struct {
	base *sling.Sling
	http *http.Client
}

// New returns a client for the entry at address, a URL such as
// "http://127.0.0.1:8081". The token may be empty. If httpClient is nil, one
// without TLS settings is used.
func New(address, token string, httpClient *http.Client) *Client {
	base := sling.New().Base(strings.TrimSuffix(address, "/"))
	if token != "" {
		base.Set("Authorization", "Bearer "+token)
	}
	if httpClient == nil {
		httpClient = &http.Client{Transport: framing.NewTransport(&http.Transport{})}
	}
	return &Client{base: base, http: httpClient}
}

// ApplyOptions modify Apply.
type ApplyOptions struct {
	DryRun bool `url:"dryRun,omitempty"`
	Prune  bool `url:"prune,omitempty"`
}

// DeleteOptions modify Delete.
type DeleteOptions struct {
	DryRun bool `url:"dryRun,omitempty"`
	// ResourceVersion, if not 0, must be the current one.
	ResourceVersion int64 `url:"resourceVersion,omitempty"`
}

// Apply creates or replaces resources, all or none. Errors of the API are
// *Error.
func (c *Client) Apply(ctx context.Context, resources []api.Resource, opts ApplyOptions) (operator.Result, error) {
	document, err := api.EncodeDocument(resources)
	if err != nil {
		return operator.Result{}, err
	}
	request := c.base.New().Post(operator.Prefix+"/apply").QueryStruct(opts).
		Set("Content-Type", "application/json").Body(bytes.NewReader(document))
	return call[operator.Result](ctx, c, request)
}

// Create creates one resource, which must not exist.
func (c *Client) Create(ctx context.Context, resource api.Resource, dryRun bool) (operator.Result, error) {
	request := c.base.New().Post(operator.Prefix + "/" + resource.Kind.Plural()).
		QueryStruct(ApplyOptions{DryRun: dryRun}).BodyJSON(resource)
	return call[operator.Result](ctx, c, request)
}

// Patch changes fields of one resource by a JSON merge patch.
func (c *Client) Patch(ctx context.Context, key api.Key, patch []byte, dryRun bool) (operator.Result, error) {
	request := c.base.New().Patch(path(key)).QueryStruct(ApplyOptions{DryRun: dryRun}).
		Set("Content-Type", "application/merge-patch+json").Body(bytes.NewReader(patch))
	return call[operator.Result](ctx, c, request)
}

// Get returns one resource with its status.
func (c *Client) Get(ctx context.Context, key api.Key) (operator.Item, error) {
	return call[operator.Item](ctx, c, c.base.New().Get(path(key)))
}

// List returns all resources of a kind with their status.
func (c *Client) List(ctx context.Context, kind api.Kind) (operator.List, error) {
	return call[operator.List](ctx, c, c.base.New().Get(operator.Prefix+"/"+kind.Plural()))
}

// Rollout returns the revision in force at each daemon known to the entry.
func (c *Client) Rollout(ctx context.Context) (status.Rollout, error) {
	return call[status.Rollout](ctx, c, c.base.New().Get(operator.Prefix+"/rollout"))
}

// Drain starts the graceful shutdown of the process at the address.
func (c *Client) Drain(ctx context.Context) (operator.Draining, error) {
	return call[operator.Draining](ctx, c, c.base.New().Post(operator.DrainPath))
}

// Lift allows the request with the fingerprint to be sent to backend servers again.
func (c *Client) Lift(ctx context.Context, fingerprint string) (operator.Lifted, error) {
	query := struct {
		Request string `url:"request"`
	}{fingerprint}
	return call[operator.Lifted](ctx, c, c.base.New().Post(operator.LiftPath).QueryStruct(query))
}

// State returns the state dump of the process at the address.
func (c *Client) State(ctx context.Context) (json.RawMessage, error) {
	return call[json.RawMessage](ctx, c, c.base.New().Get("/debug/state"))
}

// Delete deletes one resource.
func (c *Client) Delete(ctx context.Context, key api.Key, opts DeleteOptions) (operator.Result, error) {
	return call[operator.Result](ctx, c, c.base.New().Delete(path(key)).QueryStruct(opts))
}

// Revision returns the revision in force at the entry.
func (c *Client) Revision(ctx context.Context) (int64, error) {
	revision, err := call[operator.Revision](ctx, c, c.base.New().Get(operator.Prefix+"/revision"))
	return revision.Revision, err
}

func path(key api.Key) string {
	return operator.Prefix + "/" + key.Kind.Plural() + "/" + url.PathEscape(key.Name)
}

// call sends a request and decodes the response.
func call[T any](ctx context.Context, c *Client, builder *sling.Sling) (T, error) {
	var answer T
	request, err := builder.Request()
	if err != nil {
		return answer, errors.Wrap(err, "build request")
	}
	var failure operator.Failure
	response, err := c.base.New().Client(c.http).Do(request.WithContext(ctx), &answer, &failure)
	if err != nil {
		return answer, errors.Wrapf(err, "%s %s", request.Method, request.URL.Path)
	}
	if response.StatusCode/100 != 2 {
		return answer, &Error{Status: response.StatusCode, Failure: failure}
	}
	if response.ContentLength == 0 { // not decoded by sling
		return answer, errors.Newf("%s %s: response without a body", request.Method, request.URL.Path)
	}
	return answer, nil
}
