package capacity

import (
	"math/rand/v2"
	"time"

	"nutmeglane.example/nutmeglane/internal/api"
	"nutmeglane.example/nutmeglane/internal/bench/fleet"
	"nutmeglane.example/nutmeglane/internal/core"
)

// Size of the target deployment, which the simulation runs at.
const (
	targetAdapters = 42_000
	targetModels   = 130
	targetZones    = 8
	// wakesPerHour is the number of requests for random adapters per hour,
	// 35% of the number of adapters.
	wakesPerHour = targetAdapters * 35 / 100
)

// hostsRun is a simulation of one fleet in virtual time.
type hostsRun struct {
	agents, adapters int
	// settle is the time before the first window, window the length of each
	// window.
	settle, window time.Duration
}

// targetRun returns a run with the target deployment's number of adapters.
func targetRun(agents int) hostsRun {
	return hostsRun{agents: agents, adapters: targetAdapters, settle: 5 * time.Minute, window: 10 * time.Minute}
}

// HostsResult has the KV calls of the steward of a fleet with a given number of
// agents.
type HostsResult struct {
	Agents int `json:"agents"`
	// Seconds is the length of each window, in virtual time.
	Seconds float64 `json:"seconds"`
	// Quiet counts the calls in a window without requests, Waking those in a
	// window with requests for adapters at the target deployment's rate.
	Quiet  KVCounts `json:"quiet"`
	Waking KVCounts `json:"waking"`
	// Loads and Unloads count the orders in the waking window.
	Loads   int `json:"loads"`
	Unloads int `json:"unloads"`
	// Requests is the number of requests sent in the waking window.
	Requests int `json:"requests"`
}

// measure runs the reducers of the daemons in virtual time and counts their KV
// calls.
func (h hostsRun) measure() (HostsResult, error) {
	snapshot, err := api.Build(1, fleet.Declare(fleet.Declaration{
		Models: targetModels, Replicas: min(h.agents, 48), Adapters: h.adapters, MaxConcurrent: concurrency,
	}))
	if err != nil {
		return HostsResult{}, err
	}
	s, err := newSimulation(h.agents, targetZones, snapshot)
	if err != nil {
		return HostsResult{}, err
	}
	s.run(h.settle)
	result := HostsResult{Agents: h.agents, Seconds: h.window.Seconds()}
	before := s.kv.counts
	s.run(h.window)
	result.Quiet = s.kv.counts.minus(before)

	before = s.kv.counts
	loads, unloads := s.loads, s.unloads
	result.Requests = s.wakeAdapters(h)
	result.Waking = s.kv.counts.minus(before)
	result.Loads, result.Unloads = s.loads-loads, s.unloads-unloads
	return result, nil
}

// wakeAdapters sends requests for random adapters at the target deployment's
// rate during one window and returns their number.
func (s *simulation) wakeAdapters(h hostsRun) (requests int) {
	r := rand.New(rand.NewPCG(1, 1))
	interval := time.Hour / wakesPerHour
	for range int(h.window / interval) {
		s.request(r, core.Target{Adapter: fleet.AdapterName(r.IntN(h.adapters))})
		s.run(interval)
		requests++
	}
	return requests
}
