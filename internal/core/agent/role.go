package agent

import (
	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
)

// roleState is the role of the engine as last reported, and the pending order
// that changes it.
type roleState struct {
	// draining is set if the last inventory showed the engine as draining,
	// until the order that ends this is answered. A draining engine refuses
	// loads and runs.
	draining bool
	// order is the ID of the pending order, 0 if there is none.
	order uint64
	// fence is the highest fencing number of role orders that the engine has
	// shown or that this agent has used.
	//
	// A process that is leaving may be paused while its order to drain is in
	// flight, and the order may arrive after its successor has set the engine
	// to serving again. Neither incarnations nor slot generations grow from
	// process to process on a host. The engine shows the highest number that it
	// has seen, and each order carries a higher one, so that the late order has
	// a lower one. If an engine ignores the numbers, the next inventory shows
	// the effect of the late order, and the engine is set to serving again.
	fence uint64
}

// drainEngine orders the engine to refuse new work, after the Leaving notices
// are sent. The agent does not wait for the answer, because a leaving agent
// orders no new runs or loads in any case.
func (p *Part) drainEngine() {
	if p.service == nil {
		p.orderRole(core.EngineDraining)
	}
}

// updateRole sets an engine that a predecessor left draining to serving. An
// engine can outlive its agent; the predecessor ordered it to drain when
// leaving, and without a new order the accelerator would stay unused. Each
// inventory shows the role, and nothing is loaded or run until the engine has
// answered the order.
func (p *Part) updateRole(ev core.Inventory) {
	r := &p.role
	r.fence = max(r.fence, ev.RoleFence)
	r.draining = ev.Role == core.EngineDraining
	if r.draining && !p.leaving && r.order == 0 {
		p.note("engine found draining")
		p.orderRole(core.EngineServing)
	}
}

func (p *Part) orderRole(role core.EngineRole) {
	p.orderCount++
	p.role.fence++
	p.role.order = p.orderCount
	p.emit(core.Order{
		ID: p.orderCount, Kind: core.OrderRole, Role: role, Fence: p.role.fence,
		NotAfter: p.now.Add(p.cfg.Timings.OrderValidity),
	})
}

// roleDone processes the answer of the engine to a role order. After a failure
// the next inventory shows the role, and the order is repeated if it is still
// needed.
func (p *Part) roleDone(result code.Code) {
	p.role.order = 0
	switch {
	case p.leaving:
	case result == code.OK:
		p.role.draining = false
		p.markAllDirty()
	default:
		p.note("engine role not changed", "code", formatUint(uint64(result)))
		p.scheduleInventory(p.now.Add(firstBackoff))
	}
}
