package entry

import (
	"cmp"
	"strings"

	"nutmeglane.example/nutmeglane/internal/api"
	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
)

func compareSlots(a, b core.SlotID) int {
	return cmp.Or(strings.Compare(a.Model, b.Model), cmp.Compare(a.Index, b.Index))
}

// adapterOrder caches core.AdapterSlots of one adapter; it stays valid across
// configurations and slot tables that leave both counts unchanged.
type adapterOrder struct {
	count, max int
	indexes    []uint16
}

// target is what a request's target resolves to under the configuration in force.
type target struct {
	base    *model // nil for services, or while no slot table names the model
	max     int    // slots of the base model
	order   []uint16
	adapter string
	// moving is set while no slot of the base model may hold adapters.
	moving  bool
	service string
	// concurrent is the number of requests that a replica runs at a time.
	concurrent int
	priority   api.Priority
}

// size is the number of candidate slots.
func (t *target) size() int {
	if t.adapter != "" {
		return len(t.order)
	}
	return t.max
}

// index returns the i-th slot index in preference order, the same at every
// entry.
func (t *target) index(i int) int {
	if t.adapter != "" {
		return int(t.order[i])
	}
	return i
}

// replica returns the i-th replica in preference order, or nil if that slot has none.
func (t *target) replica(i int) *replica {
	index := t.index(i)
	if t.base == nil || index >= len(t.base.replicas) {
		return nil
	}
	rep := t.base.replicas[index]
	if t.adapter != "" && rep != nil && rep.slot.AdapterMax == 0 {
		return nil
	}
	return rep
}

// resolve looks a request's target up in the configuration.
func (p *Part) resolve(want *core.Target) (target, code.Code) {
	switch {
	case p.snapshot == nil:
		return target{}, code.NotReady
	case want.Service != "":
		return p.resolveService(want.Service)
	case want.Adapter != "":
		return p.resolveAdapter(want)
	default:
		return p.resolveModel(want.Model)
	}
}

func (p *Part) resolveService(name string) (target, code.Code) {
	service := p.snapshot.Services[name]
	if service == nil {
		return target{}, code.UnknownService
	}
	t := target{service: name, concurrent: max(1, service.Spec.MaxConcurrent)}
	t.priority = api.PriorityInteractive
	return t, code.OK
}

func (p *Part) resolveModel(name string) (target, code.Code) {
	spec := p.snapshot.Models[name]
	if spec == nil {
		return target{}, code.UnknownModel
	}
	return target{
		base:       p.models[name],
		max:        spec.Spec.Replicas.Max,
		concurrent: max(1, spec.Spec.MaxConcurrent),
		priority:   cmp.Or(spec.Spec.Priority, api.PriorityInteractive),
	}, code.OK
}

func (p *Part) resolveAdapter(want *core.Target) (target, code.Code) {
	adapter := p.snapshot.Adapters[want.Adapter]
	if adapter == nil || want.Model != "" && want.Model != adapter.Spec.Base {
		return target{}, code.UnknownModel
	}
	want.Model = adapter.Spec.Base
	t, result := p.resolveModel(want.Model)
	if result != code.OK {
		return t, result
	}
	t.adapter = want.Adapter
	if t.base != nil {
		t.order = p.adapterSlots(want.Adapter, adapter.Spec.Replicas.Max, t.base.adapterMax)
		t.moving = t.base.adapterMax == 0 && len(t.base.replicas) > 0
	}
	t.priority = cmp.Or(adapter.Spec.Priority, t.priority)
	return t, code.OK
}

func (p *Part) adapterSlots(name string, count, max int) []uint16 {
	order, ok := p.adapters[name]
	if !ok || order.count != count || order.max != max {
		order = adapterOrder{count, max, core.AdapterSlots(name, count, max)}
		p.adapters[name] = order
	}
	return order.indexes
}
