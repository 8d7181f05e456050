package agent

import (
	"strconv"
	"strings"

	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
)

// Metrics of an agent.
const (
	requestsTotal    core.Counter = "agent_requests_total"
	loadsTotal       core.Counter = "agent_loads_total"
	unloadsTotal     core.Counter = "agent_unloads_total"
	evictionsTotal   core.Counter = "agent_evictions_total"
	inventoriesTotal core.Counter = "agent_inventories_total"
	prefetchesTotal  core.Counter = "agent_prefetches_total"
	grantsTotal      core.Counter = "agent_grants_total"
	loadSeconds      core.Counter = "agent_load_seconds"
	queueSeconds     core.Counter = "agent_queue_seconds"
	yieldsTotal      core.Counter = "agent_yields_total"
)

// Counters returns the definitions of the metrics that an agent emits.
func Counters() []core.CounterDef {
	return []core.CounterDef{
		{Name: requestsTotal, Help: "Attempts refused or ended, by result code.", Labels: []string{"code"}},
		{Name: loadsTotal, Help: "Load orders answered, by result code.", Labels: []string{"code"}},
		{Name: unloadsTotal, Help: "Unload orders answered, by result code.", Labels: []string{"code"}},
		{Name: evictionsTotal, Help: "Idle checkpoints unloaded to make room."},
		{Name: inventoriesTotal, Help: "Inventories asked of the engine."},
		{Name: prefetchesTotal, Help: "Prefetch orders answered, by result code.", Labels: []string{"code"}},
		{Name: grantsTotal, Help: "Grants received: taken, stale or foreign.", Labels: []string{"result"}},
		{Name: loadSeconds, Help: "Duration of successful loads, by cache tier.", Labels: []string{"tier"}},
		{Name: yieldsTotal, Help: "Runs broken off to make room, to go on later."},
		{Name: queueSeconds, Help: "Time from a request's arrival to its start."},
	}
}

func (p *Part) emit(e core.Effect) { p.out = append(p.out, e) }

func (p *Part) count(name core.Counter, labels ...string) {
	p.emit(core.Count{Name: name, Labels: labels, Add: 1})
}

func (p *Part) countCode(name core.Counter, c code.Code) {
	p.count(name, strconv.Itoa(int(c)))
}

func (p *Part) observe(name core.Counter, value float64, labels ...string) {
	p.emit(core.Observe{Name: name, Labels: labels, Value: value})
}

// note emits a log line about a state change; fields are alternating keys and
// values.
func (p *Part) note(name string, fields ...string) {
	p.emit(core.Note{Name: name, Fields: fields})
}

func formatUint(n uint64) string { return strconv.FormatUint(n, 10) }

// splitKey splits "<name>@<version>".
func splitKey(key string) (name, version string) {
	name, version, _ = strings.Cut(key, "@")
	return name, version
}

func tierName(tier core.Tier) string {
	switch tier {
	case core.TierMemory:
		return "memory"
	case core.TierDisk:
		return "disk"
	}
	return "remote"
}
