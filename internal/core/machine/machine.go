// Package machine composes the sub-reducers of a process into one: it passes each event
// to all parts of the process's role and returns their effects as data.
package machine

import "nutmeglane.example/nutmeglane/internal/core"

// Named is a part with its name in the state dump.
type Named struct {
	Name string
	Part core.Part
}

// Machine composes parts. It is not safe for concurrent use; one event loop owns it.
type Machine struct {
	parts []Named
	wake  core.Time
}

// New composes parts, which process each event in the order given.
func New(parts ...Named) *Machine {
	return &Machine{parts: parts, wake: core.Never}
}

// Step passes one event to all parts and returns their effects, in order. The last effect
// is a Wake if the time of the next needed Tick changed.
func (m *Machine) Step(now core.Time, event core.Event) []core.Effect {
	if _, ok := event.(core.Tick); ok {
		m.wake = core.Never
	}
	var effects []core.Effect
	next := core.Never
	for _, p := range m.parts {
		effects = append(effects, p.Part.Step(now, event)...)
	}
	for _, p := range m.parts {
		next = min(next, p.Part.Next())
	}
	if next != m.wake {
		m.wake = next
		effects = append(effects, core.Wake{At: next})
	}
	return effects
}

// Dump returns the state of every part by name.
func (m *Machine) Dump() map[string]any {
	dump := make(map[string]any, len(m.parts))
	for _, p := range m.parts {
		dump[p.Name] = p.Part.Dump()
	}
	return dump
}
