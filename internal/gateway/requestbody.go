package gateway

import (
	"context"
	"log/slog"
	"net/http"

	"github.com/cockroachdb/errors"

	"nutmeglane.example/nutmeglane/internal/body"
	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/router"
)

// defaultBodyBytes is the limit of a request's body while there is no configured one.
const defaultBodyBytes = 1 << 20

// maxBodyBytes returns the limit of a request's body, and makes sure that a body of that size finds
// room.
func (g *Gateway) maxBodyBytes() int64 {
	limit := int64(defaultBodyBytes)
	g.Inspect(func(r *router.Router) {
		if l := r.Limits().MaxBodyBytes; l > 0 {
			limit = l
		}
	})
	if g.largestBody.Swap(limit) != limit {
		g.opts.Bodies.SetLargest(limit)
	}
	return limit
}

// refuseBody answers a request whose body was not read to its end.
func (g *Gateway) refuseBody(w http.ResponseWriter, r *http.Request, id string, err error) {
	var refused *body.Refusal
	if !errors.As(err, &refused) {
		refuse(w, id, code.BadBody, 0, "the body could not be read")
		return
	}
	g.opts.Requests.LogAttrs(context.Background(), slog.LevelInfo, "body refused", append(refused.Attrs(),
		slog.String("request", id), slog.Int64("announced", r.ContentLength))...)
	body.Refuse(w, r, func() { refuse(w, id, refused.Code, refused.RetryAfter, refused.Reason) })
}
