package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/engine/engineapi"
)

// errExpired aborts the sending of an order whose validity has ended.
var errExpired = errors.New("order has expired")

// order sends an order once fewer than MaxOrders are at the engine, and posts its
// result.
func (e *Executor) order(o core.Order) {
	e.post(core.OrderDone{Order: o.ID, Code: e.queueOrder(o)})
}

func (e *Executor) queueOrder(o core.Order) code.Code {
	if e.opts.Kind == core.BackendService {
		return code.EngineRefused
	}
	select {
	case e.orders <- struct{}{}:
		defer func() { <-e.orders }()
	case <-e.ctx.Done():
		return code.OrderExpired
	}
	return e.sendOrder(o)
}

func (e *Executor) sendOrder(o core.Order) code.Code {
	ctx, cancel := context.WithTimeout(e.ctx, e.opts.OrderTimeout)
	defer cancel()
	body, err := newOrderBody(o, e.opts.Now)
	if err != nil {
		return code.OrderExpired
	}
	request, err := e.api.New().Post(engineapi.PathOrders).Body(body).Request()
	if err != nil {
		return code.EngineRefused
	}
	request.ContentLength = body.size
	request.Header.Set("Content-Type", "application/json")
	var refusal engineapi.Refusal
	response, err := e.api.Do(request.WithContext(ctx), nil, &refusal)
	if body.expired.Load() {
		return code.OrderExpired
	}
	// From here on, the order may have taken effect unless the engine's answer
	// rules it out. An unreadable answer counts as a lost one.
	if err != nil {
		return code.EngineUnknown
	}
	if response.StatusCode == http.StatusOK {
		return code.OK
	}
	return refusalCode(refusal.Reason)
}

func refusalCode(reason engineapi.Reason) code.Code {
	switch reason {
	case engineapi.ReasonBadRequest, engineapi.ReasonRefused, engineapi.ReasonNotLoaded,
		engineapi.ReasonDraining:
		return code.EngineRefused
	case engineapi.ReasonFenced:
		return code.FencedOut
	case engineapi.ReasonExpired:
		return code.OrderExpired
	case engineapi.ReasonNoMemory:
		return code.EngineNoMemory
	case engineapi.ReasonStoreFailed:
		return code.StoreFailed
	case engineapi.ReasonFailed:
		return code.EngineFailed
	default:
		return code.EngineUnknown
	}
}

// orderBody is the encoded order. It checks the order's validity when net/http
// reads it, which is after the connection is open and immediately before the
// write.
//
// It guards against a late order that loads one replica too many: the process is
// paused, or the order delayed, between the reducer's decision and the sending,
// its tenure ends in the meantime, and another host loads the slot. An engine
// that ignores fencing numbers would execute the late order. If the order has
// expired, the read fails and the engine gets a request without its body, which
// it can't execute. A pause between this read and the following write remains
// possible; the tenure margin covers it.
type orderBody struct {
	size     int64
	data     *bytes.Reader
	notAfter core.Time
	now      func() core.Time
	expired  atomic.Bool
}

func newOrderBody(o core.Order, now func() core.Time) (*orderBody, error) {
	remaining := o.NotAfter.Sub(now())
	if remaining < 0 {
		return nil, errExpired
	}
	data, err := json.Marshal(engineapi.Order{
		Kind:           orderKind(o.Kind),
		Key:            o.Key,
		Role:           engineRole(o),
		Base:           o.Base,
		MemoryMiB:      o.MemoryMiB,
		CheckpointMiB:  o.CheckpointMiB,
		Fence:          o.Fence,
		ValidForMillis: max(1, remaining.Milliseconds()),
	})
	if err != nil {
		return nil, errors.Wrap(err, "encode order")
	}
	body := &orderBody{size: int64(len(data)), data: bytes.NewReader(data)}
	body.notAfter, body.now = o.NotAfter, now
	return body, nil
}

// Read implements io.Reader.
func (b *orderBody) Read(p []byte) (int, error) {
	if b.now() > b.notAfter {
		b.expired.Store(true)
		return 0, errExpired
	}
	return b.data.Read(p)
}

func orderKind(kind core.OrderKind) engineapi.Kind {
	switch kind {
	case core.OrderLoad:
		return engineapi.KindLoad
	case core.OrderUnload:
		return engineapi.KindUnload
	case core.OrderRole:
		return engineapi.KindRole
	default:
		return engineapi.KindPrefetch
	}
}

func engineRole(o core.Order) engineapi.Role {
	switch {
	case o.Kind != core.OrderRole:
		return ""
	case o.Role == core.EngineDraining:
		return engineapi.RoleDraining
	default:
		return engineapi.RoleServing
	}
}
