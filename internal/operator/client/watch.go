package client

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"nutmeglane.example/nutmeglane/internal/api"
	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/operator"
)

// watchOptions are the query parameters of a watch.
type watchOptions struct {
	Watch           bool  `url:"watch"`
	ResourceVersion int64 `url:"resourceVersion,omitempty"`
}

// Watch calls each for the changes of a kind after a revision, or first for the existing
// resources if the revision is 0. It returns when the context is done, the stream ends or
// each fails, with the revision to resume from and the error; see IsTooOld.
func (c *Client) Watch(ctx context.Context, kind api.Kind, revision int64, each func(operator.Event) error) (int64, error) {
	request, err := c.base.New().Get(operator.Prefix + "/" + kind.Plural()).
		QueryStruct(watchOptions{Watch: true, ResourceVersion: revision}).Request()
	if err != nil {
		return revision, errors.Wrap(err, "build request")
	}
	response, err := c.http.Do(request.WithContext(ctx))
	if err != nil {
		return revision, errors.Wrap(err, "watch")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return revision, decodeFailure(response)
	}
	decoder := json.NewDecoder(response.Body)
	for {
		var event operator.Event
		if err := decoder.Decode(&event); err != nil {
			return revision, errors.Wrap(err, "watch ended")
		}
		switch {
		case event.Type == operator.Failed && event.Failure != nil:
			return revision, &Error{Status: http.StatusGone, Failure: *event.Failure}
		case event.Type == operator.Bookmark:
			revision = event.Revision
		}
		if err := each(event); err != nil {
			return revision, err
		}
	}
}

// IsTooOld reports whether err means that a watch can't be resumed and the resources must
// be listed again.
func IsTooOld(err error) bool {
	var failure *Error
	return errors.As(err, &failure) && failure.Code == code.WatchTooOld
}

func decodeFailure(response *http.Response) error {
	failure := &Error{Status: response.StatusCode}
	body, err := io.ReadAll(response.Body)
	if err == nil {
		err = json.Unmarshal(body, &failure.Failure)
	}
	if err != nil {
		failure.Message = "the answer can't be read"
	}
	return failure
}
