package capacity

import (
	"context"
	"maps"
	"time"

	"nutmeglane.example/nutmeglane/internal/bench/fleet"
	"nutmeglane.example/nutmeglane/internal/kv"
	"nutmeglane.example/nutmeglane/internal/standin/engine"
)

// Point is the measurement of one window.
type Point struct {
	Case   string `json:"case"`
	Series string `json:"series"`
	// Load is the load during the window: idle, changes, wakes, requests or
	// tokens.
	Load     string  `json:"load"`
	Entries  int     `json:"entries"`
	Agents   int     `json:"agents"`
	Replicas int     `json:"replicas"`
	Adapters int     `json:"adapters"`
	Seconds  float64 `json:"seconds"`
	// MachineLoad is the load average of the machine at the end of the
	// window, other processes included.
	MachineLoad string `json:"machine_load"`
	// Events is the number of changes, wakes, requests or tokens in the
	// window.
	Events  float64 `json:"events"`
	Unloads float64 `json:"unloads,omitempty"`
	// Agent, Entry and Steward are means over the processes of the role. Entry
	// excludes the entry that is the steward.
	Agent   Usage `json:"agent"`
	Entry   Usage `json:"entry"`
	Steward Usage `json:"steward"`
	// KVCallsPerSecond is the rate of KV calls by operation.
	KVCallsPerSecond map[kv.Op]float64 `json:"kv_calls_per_second"`
	KVBytesPerSecond float64           `json:"kv_bytes_per_second"`
	// HostBytesPerRead is the size of one response with the host list.
	HostBytesPerRead   float64 `json:"host_bytes_per_read"`
	HostReadsPerSecond float64 `json:"host_reads_per_second"`
	// SecondsToInForce is the time until the first configuration was in force
	// at all daemons.
	SecondsToInForce float64 `json:"seconds_to_in_force"`
}

// Usage is the mean resource usage of the processes of a role.
type Usage struct {
	Processes int `json:"processes"`
	// CPU is the fraction of a core.
	CPU         float64 `json:"cpu"`
	ResidentMiB float64 `json:"resident_mib"`
	Connections float64 `json:"connections"`
	InPerSecond float64 `json:"in_bytes_per_second"`
	OutPerSec   float64 `json:"out_bytes_per_second"`
}

func (u *Usage) add(before, after fleet.Sample, seconds float64) {
	u.Processes++
	u.CPU += (after.CPU - before.CPU).Seconds() / seconds
	u.ResidentMiB += float64(after.Resident) / (1 << 20)
	u.Connections += after.Metrics[fleet.MetricConnections]
	u.InPerSecond += (after.Metrics[fleet.MetricReceived] - before.Metrics[fleet.MetricReceived]) / seconds
	u.OutPerSec += (after.Metrics[fleet.MetricSent] - before.Metrics[fleet.MetricSent]) / seconds
}

func (u *Usage) mean() {
	n := float64(max(1, u.Processes))
	u.CPU, u.ResidentMiB, u.Connections = u.CPU/n, u.ResidentMiB/n, u.Connections/n
	u.InPerSecond, u.OutPerSec = u.InPerSecond/n, u.OutPerSec/n
}

// reading is a snapshot of all counters.
type reading struct {
	at                   time.Time
	entries, agents      []fleet.Sample
	calls                map[kv.Op]int64
	kvBytes              int64
	hostReads, hostBytes int64
	referee              engine.Report
}

func (s *caseRun) read(ctx context.Context) (r reading, err error) {
	if r.entries, err = fleet.Samples(ctx, s.fleet.Entries); err != nil {
		return r, err
	}
	if r.agents, err = fleet.Samples(ctx, s.fleet.Agents); err != nil {
		return r, err
	}
	r.at = time.Now()
	r.calls = s.fleet.Platform.KV.Stats().Calls
	_, r.kvBytes = s.fleet.Platform.KVBytes.Totals()
	r.hostReads, r.hostBytes = s.fleet.Platform.HostsBytes.Totals()
	r.referee = s.referee.Report()
	return r, nil
}

// point calculates the measurement of a window from the readings at its start
// and end.
func (s *caseRun) point(load string, events float64, before, after reading) Point {
	c := s.testCase
	seconds := after.at.Sub(before.at).Seconds()
	p := Point{
		Case: c.Name(), Series: c.Series, Load: load, Entries: c.Entries, Agents: c.Agents,
		Replicas: c.models() * c.replicas(), Adapters: c.Adapters, Seconds: seconds,
		MachineLoad: fleet.MachineLoad(), Events: events,
		Unloads:          float64(after.referee.Unloads - before.referee.Unloads),
		KVCallsPerSecond: map[kv.Op]float64{}, SecondsToInForce: s.warmTime.Seconds(),
	}
	for i := range after.entries {
		role := &p.Entry
		if after.entries[i].Metrics[fleet.MetricStewardElections] > 0 {
			role = &p.Steward
		}
		role.add(before.entries[i], after.entries[i], seconds)
	}
	for i := range after.agents {
		p.Agent.add(before.agents[i], after.agents[i], seconds)
	}
	for _, role := range []*Usage{&p.Entry, &p.Steward, &p.Agent} {
		role.mean()
	}
	for op := range maps.Keys(after.calls) {
		p.KVCallsPerSecond[op] = float64(after.calls[op]-before.calls[op]) / seconds
	}
	p.KVBytesPerSecond = float64(after.kvBytes-before.kvBytes) / seconds
	reads := float64(after.hostReads - before.hostReads)
	p.HostReadsPerSecond = reads / seconds
	p.HostBytesPerRead = float64(after.hostBytes-before.hostBytes) / max(1, reads)
	return p
}
