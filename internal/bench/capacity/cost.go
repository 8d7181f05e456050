package capacity

import "nutmeglane.example/nutmeglane/internal/kv"

// Cost is the cost of one event: the usage of a loaded window minus that of the
// idle window of the same fleet, per event.
type Cost struct {
	Load     string `json:"load"`
	Case     string `json:"case"`
	Adapters int    `json:"adapters"`
	// Events is the number of events in the window.
	Events float64 `json:"events"`
	// Agent, Entry and Steward are the costs to one process of the role,
	// PerFleet those to all processes together.
	Agent    EventCost `json:"agent"`
	Entry    EventCost `json:"entry"`
	Steward  EventCost `json:"steward"`
	PerFleet EventCost `json:"fleet"`
	// KVCalls and KVBytes are the KV calls, by operation, and their bytes of
	// all processes together.
	KVCalls map[kv.Op]float64 `json:"kv_calls"`
	KVBytes float64           `json:"kv_bytes"`
}

// EventCost is the cost of one event.
type EventCost struct {
	CPUMicros float64 `json:"cpu_micros"`
	InBytes   float64 `json:"in_bytes"`
	OutBytes  float64 `json:"out_bytes"`
}

// costs compares each loaded window with the idle window that precedes it.
// Windows without an idle window of the same case or without events are left
// out.
func costs(points []Point) []Cost {
	var all []Cost
	var idle *Point
	for i := range points {
		p := &points[i]
		if p.Load == loadIdle {
			idle = p
			continue
		}
		if idle == nil || idle.Case != p.Case || p.Events == 0 {
			continue
		}
		all = append(all, cost(idle, p))
	}
	return all
}

func cost(idle, p *Point) Cost {
	perEvent := p.Seconds / p.Events
	c := Cost{Load: p.Load, Case: p.Case, Adapters: p.Adapters, Events: p.Events, KVCalls: map[kv.Op]float64{}}
	c.Agent = eventCost(&idle.Agent, &p.Agent, perEvent)
	c.Entry = eventCost(&idle.Entry, &p.Entry, perEvent)
	c.Steward = eventCost(&idle.Steward, &p.Steward, perEvent)
	c.PerFleet.add(c.Agent, p.Agent.Processes)
	c.PerFleet.add(c.Entry, p.Entry.Processes)
	c.PerFleet.add(c.Steward, p.Steward.Processes)
	for op, rate := range p.KVCallsPerSecond {
		c.KVCalls[op] = (rate - idle.KVCallsPerSecond[op]) * perEvent
	}
	c.KVBytes = (p.KVBytesPerSecond - idle.KVBytesPerSecond) * perEvent
	return c
}

func eventCost(idle, u *Usage, perEvent float64) EventCost {
	return EventCost{
		CPUMicros: (u.CPU - idle.CPU) * perEvent * 1e6,
		InBytes:   (u.InPerSecond - idle.InPerSecond) * perEvent,
		OutBytes:  (u.OutPerSec - idle.OutPerSec) * perEvent,
	}
}

func (c *EventCost) add(other EventCost, processes int) {
	n := float64(processes)
	c.CPUMicros += n * other.CPUMicros
	c.InBytes += n * other.InBytes
	c.OutBytes += n * other.OutBytes
}
