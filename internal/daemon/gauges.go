package daemon

import (
	"github.com/prometheus/client_golang/prometheus"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/core/agent"
	"nutmeglane.example/nutmeglane/internal/core/config"
	"nutmeglane.example/nutmeglane/internal/core/entry"
	"nutmeglane.example/nutmeglane/internal/core/steward"
)

// gauge is a value read from the reducer's state when metrics are collected.
type gauge struct {
	desc *prometheus.Desc
	// read returns false if the dump has no state for the gauge, as in a
	// process of another role.
	read func(dump map[string]any) (float64, bool)
}

// gauges implements prometheus.Collector. It reads all values from one dump, so
// that they are consistent.
type gauges struct {
	dump func() map[string]any
}

// Describe implements prometheus.Collector.
func (g gauges) Describe(out chan<- *prometheus.Desc) {
	for _, each := range allGauges {
		out <- each.desc
	}
}

// Collect implements prometheus.Collector. After the reducer's loop has ended
// there is no state, and it returns no values.
func (g gauges) Collect(out chan<- prometheus.Metric) {
	dump := g.dump()
	for _, each := range allGauges {
		if value, ok := each.read(dump); ok {
			out <- prometheus.MustNewConstMetric(each.desc, prometheus.GaugeValue, value)
		}
	}
}

// newGauge returns a gauge that reads the state of one part of the reducer.
func newGauge[T any](part, name, help string, read func(T) float64) gauge {
	return gauge{
		desc: prometheus.NewDesc("nutmeglane_"+name, help, nil, nil),
		read: func(dump map[string]any) (float64, bool) {
			state, ok := dump[part].(T)
			if !ok {
				return 0, false
			}
			return read(state), true
		},
	}
}

func boolToFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

var allGauges = []gauge{
	newGauge("config", "config_revision", "Configuration revision in force.",
		func(s config.Dump) float64 { return float64(s.InForce) }),
	newGauge("config", "config_peers_behind", "Connected processes with an older revision in force, or none known.",
		func(s config.Dump) float64 {
			behind := 0
			for _, revision := range s.Peers {
				if revision < s.InForce {
					behind++
				}
			}
			return float64(behind)
		}),
	newGauge("entry", "entry_requests_open", "Callers' requests at this entry.",
		func(s entry.State) float64 { return float64(s.Requests) }),
	newGauge("entry", "entry_requests_waiting", "Callers' requests at this entry that no agent has yet.",
		func(s entry.State) float64 { return float64(s.Waiting) }),
	newGauge("entry", "entry_agents_usable", "Agents that this entry sends new work to.",
		func(s entry.State) float64 {
			usable := 0
			for _, a := range s.Agents {
				usable += int(boolToFloat(a.Usable))
			}
			return float64(usable)
		}),
	newGauge("steward", "kv_reachable", "1 while calls to the KV service work.",
		func(s steward.State) float64 { return boolToFloat(s.KVUp) }),
	newGauge("steward", "steward_in_office", "1 while this entry is the steward.",
		func(s steward.State) float64 { return boolToFloat(s.InOffice) }),
	newGauge("steward", "slots_owned", "Slots with an owner that may load them, by the tables as watched here.",
		func(s steward.State) float64 { return countSlots(s.Slots, core.SlotOwned) }),
	newGauge("steward", "slots_releasing", "Slots whose owner is asked to release them, by the tables as watched here.",
		func(s steward.State) float64 { return countSlots(s.Slots, core.SlotReleasing) }),
	newGauge("agent", "agent_tenure_remaining_seconds", "Time until this agent has to give up what it loaded; below 0 it loads nothing.",
		func(s agent.State) float64 { return s.TenureUntil.Sub(s.Now).Seconds() }),
	newGauge("agent", "agent_memory_total_mib", "Accelerator memory of the host, in MiB.",
		func(s agent.State) float64 { return float64(s.TotalMiB) }),
	newGauge("agent", "agent_memory_reserved_mib", "Accelerator memory reserved for loaded and loading checkpoints, in MiB.",
		func(s agent.State) float64 { return float64(s.ReservedMiB) }),
	newGauge("agent", "agent_requests_running", "Requests that run at the backend server.",
		func(s agent.State) float64 { return float64(s.Running) }),
	newGauge("agent", "agent_requests_queued", "Requests that wait at the agent.",
		func(s agent.State) float64 { return float64(s.Queued) }),
	newGauge("agent", "agent_checkpoints_loaded", "Models and adapters loaded in the engine.",
		func(s agent.State) float64 {
			loaded := 0
			for _, item := range s.Items {
				loaded += int(boolToFloat(item.State == "loaded"))
			}
			return float64(loaded)
		}),
}

func countSlots(slots []core.Slot, state core.SlotState) float64 {
	count := 0
	for _, slot := range slots {
		count += int(boolToFloat(slot.State == state))
	}
	return float64(count)
}
